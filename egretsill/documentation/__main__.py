"""`python -m egretsill.documentation`: prints what the guides take from the code.

Without an argument: the reference tables of the operators' guide. With the name of a protocol: the
table of its messages.
"""

import sys

from ._message_tables import PROTOCOLS, message_table
from ._reference import make_reference

match sys.argv[1:]:
    case []:
        sys.stdout.write(make_reference())
    case [protocol] if protocol in PROTOCOLS:
        sys.stdout.write(message_table(PROTOCOLS[protocol]))
    case _:
        sys.exit(f"takes nothing or one of {', '.join(PROTOCOLS)}")
