"""What every command of the tool is made of."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from absl import flags
from absl.flags import FlagValues

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_CANCELLED = 5


@dataclass(frozen=True, slots=True)
class Command:
    """One command of `egretsillctl`.

    Attributes:
        usage: its positional arguments, as help shows them.
        summary: what it is for, in a line.
        flags: its own flags, read before `run`.
        run: takes the parsed flags and the positional arguments, returns the exit code.
    """

    name: str
    usage: str
    summary: str
    flags: FlagValues
    run: Callable[[FlagValues, Sequence[str]], int]


def new_flags() -> FlagValues:
    """Return flags of a command with what all commands share."""
    values = FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_enum(
        "output", "text", ["text", "json"], "How the result is printed.", flag_values=values
    )
    flags.DEFINE_bool("help", False, "Show what this command takes.", flag_values=values)
    return values
