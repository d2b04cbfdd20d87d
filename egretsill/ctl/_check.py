"""`egretsillctl check`: validates a declaration of services.

A declaration is a base file with an optional overlay of a site.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import DeclarationRejected, Problem, Service, load_declaration


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Numbers of classes, targets and slots of a valid service."""

    name: str
    classes: int
    targets: int
    slots: int


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a check; a declaration is accepted if there are no problems."""

    problems: tuple[Problem, ...]
    services: tuple[ServiceSummary, ...]

    @property
    def accepted(self) -> bool:
        """Return whether the declaration can be compiled."""
        return not self.problems

    def to_text(self) -> str:
        """Return the result as text for operators."""
        if self.problems:
            return "\n".join(each.message for each in self.problems)
        return "\n".join(
            f"{each.name}: {each.classes} classes, {each.targets} targets, {each.slots} slots"
            for each in self.services
        )

    def to_json(self) -> str:
        """Return the result as JSON."""
        problems = [problem_fields(each) for each in self.problems]
        services = [asdict(each) for each in self.services]
        return json.dumps({"accepted": self.accepted, "problems": problems, "services": services})


def make_command() -> Command:
    """Return the `check` command."""
    return Command(
        "check",
        "BASE [OVERLAY]",
        "Check a base file, optionally with a site's overlay, and list all problems.",
        new_flags(),
        _run,
    )


def check(base: Path, overlay: Path | None = None) -> CheckResult:
    """Return the problems of a declaration, or the services that it declares."""
    try:
        services = load_declaration(base, overlay)
    except DeclarationRejected as error:
        return CheckResult(error.problems, ())
    return CheckResult((), tuple(_summarize(each) for each in services.values()))


def problem_fields(problem: Problem) -> Mapping[str, str]:
    """Return a problem as fields for JSON."""
    return {
        "type": type(problem).__name__,
        "file": problem.file,
        "section": problem.section,
        "key": problem.key,
        "reason": problem.reason,
    }


def _summarize(service: Service) -> ServiceSummary:
    slots = sum(target.slots for target in service.targets)
    return ServiceSummary(service.name, len(service.classes), len(service.targets), slots)


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if not 1 <= len(arguments) <= 2:
        print("check takes BASE and optionally OVERLAY", file=sys.stderr)
        return EXIT_USAGE
    result = check(*map(Path, arguments))
    print(result.to_json() if values.output == "json" else result.to_text())
    return EXIT_OK if result.accepted else EXIT_FAILED
