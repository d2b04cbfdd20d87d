"""`python -m egretsill.quickstart`: runs a scenario, or writes the files of one site."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import trio
from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags, run_program
from ._operations import LATEST_REVISION, run_operations
from ._replacement import run_replacement
from ._run import load_plan, run_quickstart
from ._score import Verdict
from ._site_files import write_site_files
from ._site_plan import FIRST_PORTS

PROGRAM = "python -m egretsill.quickstart"
INTRODUCTION = f"""{PROGRAM} [COMMAND] [--flags]

Without a command: run. Exit code 0 if every promise was kept, 1 if not.

Commands:"""


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    return _print_verdict(trio.run(run_quickstart))


def _replace(values: FlagValues, arguments: Sequence[str]) -> int:
    return _print_verdict(trio.run(run_replacement))


def _operate(values: FlagValues, arguments: Sequence[str]) -> int:
    verdict = trio.run(run_operations)
    code = _print_verdict(verdict)
    return code if verdict.revision_in_force == LATEST_REVISION else EXIT_FAILED


def _print_verdict(verdict: Verdict) -> int:
    print(verdict.to_json())
    return EXIT_OK if verdict.promises_kept else EXIT_FAILED


def _write_site(values: FlagValues, arguments: Sequence[str]) -> int:
    if len(arguments) != 1:
        print("write-site requires exactly one DIRECTORY", file=sys.stderr)
        return EXIT_USAGE
    directory = Path(arguments[0]).resolve()
    directory.mkdir(parents=True, exist_ok=True)
    write_site_files(load_plan(values.user, directory), directory)
    return EXIT_OK


def _make_commands() -> Sequence[Command]:
    site_flags = new_flags()
    flags.DEFINE_enum(
        "user",
        "kallioniemi",
        list(FIRST_PORTS),
        "User whose site is written.",
        flag_values=site_flags,
    )
    return [
        Command(
            "run", "", "Run both sites in one process and check the promises.", new_flags(), _run
        ),
        Command(
            "replace",
            "",
            "Replace all balancers and targets of a site twice, one by one, and check promises.",
            new_flags(),
            _replace,
        ),
        Command(
            "operate",
            "",
            "Rotate keys, stop the platform, restore an old revision, and check the promises.",
            new_flags(),
            _operate,
        ),
        Command(
            "write-site",
            "DIRECTORY",
            "Write the settings, certificate and VM list of a site.",
            site_flags,
            _write_site,
        ),
    ]


if __name__ == "__main__":
    sys.exit(run_program(PROGRAM, INTRODUCTION, _make_commands(), sys.argv[1:] or ["run"]))
