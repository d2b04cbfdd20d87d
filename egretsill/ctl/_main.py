"""Picks the command, reads its flags and runs it."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence

from absl import flags

from . import _call, _explain, _status
from ._command import EXIT_OK, EXIT_USAGE, Command

PROGRAM = "egretsillctl"
INTRODUCTION = f"""{PROGRAM} COMMAND [--flags] ARGUMENTS

Checks, compiles and compares declarations, explains decisions, reads the daemons' status
and calls a service. `{PROGRAM} COMMAND --help` tells what a command takes.

Commands:"""


def make_commands() -> Mapping[str, Command]:
    """Return all commands by name."""
    commands = [
        _call.make_command(),
        _explain.make_command(),
        _status.make_command(),
    ]
    return {each.name: each for each in commands}


def main(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code.

    Args:
        arguments: without the program's own name.
    """
    commands = make_commands()
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(_introduction(commands))
        return EXIT_OK if arguments else EXIT_USAGE
    command = commands.get(arguments[0])
    if command is None:
        print(f"{PROGRAM}: no command {arguments[0]}", file=sys.stderr)
        print(_introduction(commands), file=sys.stderr)
        return EXIT_USAGE
    try:
        positional = command.flags([command.name, *arguments[1:]])[1:]
    except flags.Error as error:
        print(f"{PROGRAM} {command.name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if command.flags.help:
        print(_help(command))
        return EXIT_OK
    return command.run(command.flags, positional)


def run() -> None:
    """Run the tool as a program."""
    sys.exit(main(sys.argv[1:]))


def _introduction(commands: Mapping[str, Command]) -> str:
    width = max(map(len, commands))
    lines = [f"  {each.name.ljust(width)}  {each.summary}" for each in commands.values()]
    return "\n".join([INTRODUCTION, *lines])


def _help(command: Command) -> str:
    usage = f"{PROGRAM} {command.name} [--flags] {command.usage}"
    return "\n".join([usage, "", command.summary, command.flags.get_help()])
