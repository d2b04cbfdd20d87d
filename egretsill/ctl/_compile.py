"""`egretsillctl compile`: writes the values to publish for a declaration."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import (
    ConfigurationError,
    DeclarationRejected,
    compile_publication,
    load_declaration,
)
from ._bundle_files import RevisionNotHigher, read_publication_files, write_publication_files
from ._check import problem_fields


@dataclass(frozen=True, slots=True)
class CompileResult:
    """Result of compiling a declaration.

    Attributes:
        changed_files: number of files with new content; the others are unchanged.
    """

    revision: int
    digest: str
    services: int
    changed_files: int

    def to_text(self) -> str:
        """Return the result as text for operators."""
        return (
            f"revision {self.revision}, digest {self.digest}, {self.services} services, "
            f"{self.changed_files} files changed; publish `head` last"
        )

    def to_json(self) -> str:
        """Return the result as JSON."""
        return json.dumps(asdict(self))


def make_command() -> Command:
    """Return the `compile` command."""
    values = new_flags()
    flags.DEFINE_integer(
        "revision", None, "Number of this revision.", lower_bound=1, flag_values=values
    )
    flags.DEFINE_string(
        "out", None, "Directory for the values; a revision in it is continued.", flag_values=values
    )
    return Command(
        "compile",
        "BASE [OVERLAY]",
        "Write the values to publish for a declaration, one file each.",
        values,
        _run,
    )


def compile_declaration(
    base: Path, overlay: Path | None, revision: int, directory: Path
) -> CompileResult:
    """Write the values of a declaration to a directory.

    Raises:
        DeclarationRejected: if the declaration has problems.
        ConfigurationError: if the revision is not above the published one, or a value can't be
            published.
        OSError: if a file can't be read or written.
    """
    services = load_declaration(base, overlay)
    published = (directory / "head").exists()
    previous = read_publication_files(directory) if published else None
    if previous is not None and revision <= previous.head.revision:
        raise RevisionNotHigher(revision, previous.head.revision)
    publication = compile_publication(services, revision, previous)
    changed = write_publication_files(directory, publication)
    return CompileResult(revision, publication.head.digest, len(services), changed)


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if not 1 <= len(arguments) <= 2 or not values.revision or not values.out:
        print("compile takes --revision, --out, BASE and optionally OVERLAY", file=sys.stderr)
        return EXIT_USAGE
    base, overlay = Path(arguments[0]), Path(arguments[1]) if len(arguments) == 2 else None
    as_json = values.output == "json"
    try:
        result = compile_declaration(base, overlay, values.revision, Path(values.out))
    except DeclarationRejected as error:
        problems = [problem_fields(each) for each in error.problems]
        print(json.dumps({"problems": problems}) if as_json else str(error), file=sys.stderr)
        return EXIT_FAILED
    except (ConfigurationError, OSError) as error:
        print(f"compile: {error}", file=sys.stderr)
        return EXIT_FAILED
    print(result.to_json() if as_json else result.to_text())
    return EXIT_OK
