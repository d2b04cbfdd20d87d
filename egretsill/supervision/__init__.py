"""Limits an unexpected exception to the piece of work in which it happens."""

from ._failure import FailureDescription, describe_failure, leaves
from ._parts import Part
from ._supervisor import Supervisor

__all__ = ["FailureDescription", "Part", "Supervisor", "describe_failure", "leaves"]
