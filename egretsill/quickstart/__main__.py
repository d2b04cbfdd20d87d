"""`python -m egretsill.quickstart`: runs the scene, or writes the files of one site."""

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
    return _tell(trio.run(run_quickstart))


def _replace(values: FlagValues, arguments: Sequence[str]) -> int:
    return _tell(trio.run(run_replacement))


def _operate(values: FlagValues, arguments: Sequence[str]) -> int:
    verdict = trio.run(run_operations)
    code = _tell(verdict)
    return code if verdict.revision_in_force == LATEST_REVISION else EXIT_FAILED


def _tell(verdict: Verdict) -> int:
    print(verdict.to_json())
    return EXIT_OK if verdict.promises_kept else EXIT_FAILED


def _write_site(values: FlagValues, arguments: Sequence[str]) -> int:
    if len(arguments) != 1:
        print("write-site takes one DIRECTORY", file=sys.stderr)
        return EXIT_USAGE
    directory = Path(arguments[0]).resolve()
    directory.mkdir(parents=True, exist_ok=True)
    write_site_files(load_plan(values.user, directory), directory)
    return EXIT_OK


def _make_commands() -> Sequence[Command]:
    site_flags = new_flags()
    flags.DEFINE_enum(
        "user", "kallioniemi", list(FIRST_PORTS), "Whose site.", flag_values=site_flags
    )
    return [
        Command("run", "", "Run both sites in one process and judge.", new_flags(), _run),
        Command(
            "replace",
            "",
            "Replace every process of a site, one by one and twice, and judge.",
            new_flags(),
            _replace,
        ),
        Command(
            "operate",
            "",
            "Rotate keys, take the platform away, give an old one back, and judge.",
            new_flags(),
            _operate,
        ),
        Command(
            "write-site",
            "DIRECTORY",
            "Write settings, certificate and VM list of a site.",
            site_flags,
            _write_site,
        ),
    ]


if __name__ == "__main__":
    sys.exit(run_program(PROGRAM, INTRODUCTION, _make_commands(), sys.argv[1:] or ["run"]))
