"""`python -m egretsill.documentation`: prints the reference tables of the operators' guide.

With `write` and the directory of the pages it brings their marked parts up to date instead.
"""

import sys
from pathlib import Path

from ._pages import write_pages
from ._reference import make_reference

match sys.argv[1:]:
    case []:
        sys.stdout.write(make_reference())
    case ["write", directory]:
        write_pages(Path(directory))
    case _:
        sys.exit("takes nothing, or: write DIRECTORY")
