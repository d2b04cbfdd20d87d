#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start, after the build of the deploy file.
# The programs are those of deploy/system.toml with the libraries in target/deps. The stand-ins use
# the standard library only, so there is nothing to build; this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
for folder in review/6 review/7 review/8 review/9 review/10; do
    for file in "$folder"/*.py; do
        test -f "$file" || continue
        python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    done
done
