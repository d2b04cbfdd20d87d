"""Picks a command by its name, reads its flags and runs it."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence

from absl import flags

from ._command import EXIT_OK, EXIT_USAGE, Command


def run_program(
    program: str, introduction: str, commands: Sequence[Command], arguments: Sequence[str]
) -> int:
    """Run one command and return its exit code.

    Args:
        program: name for help and errors.
        introduction: what the program is for, shown above its commands.
        commands: in the order of help.
        arguments: without the program's own name.
    """
    by_name = {each.name: each for each in commands}
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(_introduction(introduction, by_name))
        return EXIT_OK if arguments else EXIT_USAGE
    command = by_name.get(arguments[0])
    if command is None:
        print(f"{program}: no command {arguments[0]}", file=sys.stderr)
        print(_introduction(introduction, by_name), file=sys.stderr)
        return EXIT_USAGE
    try:
        positional = command.flags([command.name, *arguments[1:]])[1:]
    except flags.Error as error:
        print(f"{program} {command.name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if command.flags.help:
        print(_help(program, command))
        return EXIT_OK
    return command.run(command.flags, positional)


def _introduction(introduction: str, commands: Mapping[str, Command]) -> str:
    width = max(map(len, commands))
    lines = [f"  {each.name.ljust(width)}  {each.summary}" for each in commands.values()]
    return "\n".join([introduction, *lines])


def _help(program: str, command: Command) -> str:
    usage = f"{program} {command.name} [--flags] {command.usage}"
    return "\n".join([usage, "", command.summary, command.flags.get_help()])
