"""Entry point and list of commands of `egretsillctl`."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from ..commands import Command, run_program
from . import (
    _call,
    _check,
    _compile,
    _diff,
    _emulate,
    _experiment,
    _explain,
    _report,
    _status,
    _trace,
)

PROGRAM = "egretsillctl"
INTRODUCTION = f"""{PROGRAM} COMMAND [--flags] ARGUMENTS

Checks, compiles and compares declarations, explains decisions, reads the daemons' status, traces
flows through logs, calls a service, reports measures and plays emulated days. `{PROGRAM} COMMAND
--help` shows the usage of a command.

Commands:"""


def make_commands() -> Sequence[Command]:
    """Return all commands in the order shown in help."""
    return [
        _check.make_command(),
        _compile.make_command(),
        _diff.make_command(),
        _explain.make_command(),
        _status.make_command(),
        _trace.make_command(),
        _call.make_command(),
        _report.make_command(),
        _emulate.make_command(),
        _experiment.make_command(),
    ]


def main(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code.

    Args:
        arguments: command-line arguments without the program name.
    """
    return run_program(PROGRAM, INTRODUCTION, make_commands(), arguments)


def run() -> None:
    """Run the tool as a program."""
    sys.exit(main(sys.argv[1:]))
