"""Command-line programs with several commands, each with its own flags."""

from ._command import (
    EXIT_CANCELLED,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    Command,
    new_flags,
)
from ._program import run_program

__all__ = [
    "EXIT_CANCELLED",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "Command",
    "new_flags",
    "run_program",
]
