"""`python -m egretsill.documentation`: print the reference tables of the operators' guide.

With `write` and the directory of the pages, update the marked parts of the pages instead.
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
        sys.exit("usage: python -m egretsill.documentation [write DIRECTORY]")
