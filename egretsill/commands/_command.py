"""Definition of a command, its exit codes and shared flags."""

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
    """One command of a command-line program.

    Attributes:
        usage: its positional arguments, as shown in help.
        summary: its purpose in one line.
        flags: its flags, parsed before `run` is called.
        run: function of the parsed flags and the positional arguments that returns the exit code.
    """

    name: str
    usage: str
    summary: str
    flags: FlagValues
    run: Callable[[FlagValues, Sequence[str]], int]


def new_flags() -> FlagValues:
    """Return new flags that contain those shared by all commands."""
    values = FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_enum(
        "output", "text", ["text", "json"], "How the result is printed.", flag_values=values
    )
    flags.DEFINE_bool("help", False, "Show the usage of this command.", flag_values=values)
    return values
