"""`python -m egretsill.documentation`: prints the reference tables of the operators' guide."""

import sys

from ._reference import make_reference

sys.stdout.write(make_reference())
