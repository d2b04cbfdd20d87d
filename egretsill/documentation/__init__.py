"""Generates the reference parts of the guides from the code."""

from ._reference import make_reference

__all__ = ["make_reference"]
