#!/usr/bin/env bash
# Runs the example site of one user as separate processes on loopback: platform, fabric and backend
# servers as stand-ins, three balancers and ten agents. It calls the services, kills a balancer while
# an upload runs, publishes a second revision, pauses an agent under load and shuts a balancer down.
# On exit it stops the processes that it started, by process ID.
#
# Usage: examples/fleet.sh [kallioniemi|sibiu]     PYTHON sets the interpreter (.venv/bin/python).
set -u
cd "$(dirname "$0")/.."
user=${1:-kallioniemi}
python=${PYTHON:-.venv/bin/python}
directory=$(mktemp -d)
case $user in
    kallioniemi) base=20000; read_service=hakusana; write_service=vastaanotto; write_path=/glossaries/draft ;;
    sibiu) base=21000; read_service=catalog; write_service=upload; write_path=/sheets/design ;;
    *) echo "fleet.sh: unknown user $user" >&2; exit 2 ;;
esac
pids=()
backends=()
failures=0

start() {
    local name=$1
    shift
    "$@" >"$directory/$name.out" 2>&1 &
    pids+=($!)
    last_pid=$!
}

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$directory"
}
trap stop_all EXIT

expect() {
    local what=$1
    shift
    if "$@"; then echo "ok      $what"; else echo "FAILED  $what"; failures=$((failures + 1)); fi
}

ctl() { "$python" -m egretsill.ctl "$@"; }
call() {
    local port=$1 authority=$2
    shift 2
    ctl call --address="127.0.0.1:$port" --authority="$authority.example" \
        --authorities="$directory/certificate.pem" "$@"
}

"$python" -m egretsill.quickstart write-site --user="$user" "$directory" || exit 1
ctl compile --revision=1 --out="$directory/published" "examples/$user.ini" "examples/$user-site.ini" || exit 1

start platform "$python" -m egretsill.stand_ins platform \
    --listen="127.0.0.1:$((base + 10))" --directory="$directory/published"
while read -r target service backend slots; do
    start "backend-$target" "$python" -m egretsill.stand_ins backend-server \
        --listen="$backend" --service="$service" --slots="$slots"
    start "agent-$target" "$python" -m egretsill.daemon --settings="$directory/settings/agent-$target.ini"
    backends+=("$backend")
    if [ "$service" = "$write_service" ]; then paused_agent_pid=$last_pid; fi
done <"$directory/backends"
fabric=()
for number in 1 2 3; do
    start "balancer-$number" "$python" -m egretsill.daemon \
        --settings="$directory/settings/$user-balancer-$number.ini"
    balancer_pids[number]=$last_pid
    first=$((base + 600 + 10 * (number - 1)))
    fabric+=("--balancer=127.0.0.1:$((base + 1))=127.0.0.1:$first,127.0.0.1:$((base + 2))=127.0.0.1:$((first + 1))")
done
start fabric "$python" -m egretsill.stand_ins fabric "${fabric[@]}"

for _ in $(seq 60); do
    ctl status --output=json "127.0.0.1:$((base + 560))" 2>/dev/null | grep -q '"members_alive": 12' && break
    sleep 0.5
done

echo "-- status of the balancers and two agents"
ctl status "127.0.0.1:$((base + 560))" "127.0.0.1:$((base + 561))" "127.0.0.1:$((base + 700))" "127.0.0.1:$((base + 701))"

expect "a read is answered" call $((base + 1)) $read_service /entry/1
echo
head -c 3000000 /dev/zero >"$directory/body"
expect "an upload of 3 MB is answered" call $((base + 2)) $write_service --method=POST --body="$directory/body" $write_path
echo

echo "-- one balancer is killed while an upload runs"
call $((base + 2)) $write_service --method=POST --body="$directory/body" $write_path >"$directory/answer" 2>"$directory/outcome" &
upload=$!
kill -KILL "${balancer_pids[2]}"
expect "the upload completes" wait "$upload"
expect "a read is answered while one of three balancers is down" call $((base + 1)) $read_service /entry/2
echo
echo "-- a second revision is published"
ctl compile --revision=2 --out="$directory/published" "examples/$user.ini" "examples/$user-site.ini"
sleep 4
ctl status "127.0.0.1:$((base + 560))" "127.0.0.1:$((base + 700))"
expect "revision 2 is in force" sh -c "'$python' -m egretsill.ctl status --output=json 127.0.0.1:$((base + 560)) | grep -q '\"revision\": 2'"

echo "-- an agent is paused for 3 s during uploads that must run at most once"
head -c 200000 /dev/zero >"$directory/small"
calls=()
for number in $(seq 8); do
    call $((base + 2)) $write_service --method=POST --body="$directory/small" --deadline="20 s" \
        --header="x-request-marker: once-$number" $write_path >"$directory/call-$number" 2>&1 &
    calls+=($!)
    if [ "$number" -eq 4 ]; then kill -STOP "$paused_agent_pid"; fi
done
sleep 3
kill -CONT "$paused_agent_pid"
for pid in "${calls[@]}"; do wait "$pid"; done
grep -hoE "^(answered|refused|unknown|cancelled).*|\}(answered|refused|unknown|cancelled).*" "$directory"/call-? | sort | uniq -c
expect "no request ran twice or was misdirected" "$python" -m egretsill.stand_ins counts "${backends[@]}"

echo "-- graceful shutdown of a balancer"
kill -TERM "${balancer_pids[3]}"
wait "${balancer_pids[3]}"
expect "the balancer exited with code 0" test $? -eq 0
exit $((failures > 0))
