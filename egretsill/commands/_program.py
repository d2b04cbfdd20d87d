"""Selects a command by name, parses its flags and runs it."""

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
        program: program name for help and errors.
        introduction: purpose of the program, shown above its commands.
        commands: the commands, in the order shown in help.
        arguments: command-line arguments without the program name.
    """
    commands_by_name = {each.name: each for each in commands}
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(_format_introduction(introduction, commands_by_name))
        return EXIT_OK if arguments else EXIT_USAGE
    command = commands_by_name.get(arguments[0])
    if command is None:
        print(f"{program}: unknown command {arguments[0]}", file=sys.stderr)
        print(_format_introduction(introduction, commands_by_name), file=sys.stderr)
        return EXIT_USAGE
    try:
        positional = command.flags([command.name, *arguments[1:]])[1:]
    except flags.Error as error:
        print(f"{program} {command.name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if command.flags.help:
        print(_format_help(program, command))
        return EXIT_OK
    return command.run(command.flags, positional)


def _format_introduction(introduction: str, commands: Mapping[str, Command]) -> str:
    width = max(map(len, commands))
    lines = [f"  {each.name.ljust(width)}  {each.summary}" for each in commands.values()]
    return "\n".join([introduction, *lines])


def _format_help(program: str, command: Command) -> str:
    usage = f"{program} {command.name} [--flags] {command.usage}"
    return "\n".join([usage, "", command.summary, command.flags.get_help()])
