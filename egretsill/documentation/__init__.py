"""The parts of the operators' guide that are made from the code."""

from ._reference import make_reference

__all__ = ["make_reference"]
