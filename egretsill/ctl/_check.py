"""`egretsillctl check`: validates a declaration of services before it is published.

A declaration is a base file with an optional overlay of a site. A valid one is reviewed for what
can never take effect and for limits that contradict each other, and compared with the publication
in force if its directory is given.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import (
    Bundle,
    ConfigurationError,
    DeclarationRejected,
    Finding,
    Problem,
    Service,
    load_declaration,
    review,
)
from ._bundle_files import read_publication_files
from ._diff import Difference, compare_services, difference_fields


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Numbers of classes, targets and slots of a valid service."""

    name: str
    classes: int
    targets: int
    slots: int


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a check; a declaration is accepted if there are no problems.

    Attributes:
        problems: errors, with which it can't be compiled.
        services: summary of the services of a valid declaration.
        findings: what can't work as it seems to be meant.
        differences: from the publication in force; None if it was not compared.
        compared_revision: revision of that publication, 0 if it was not compared.
    """

    problems: tuple[Problem, ...]
    services: tuple[ServiceSummary, ...]
    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] | None = None
    compared_revision: int = 0

    @property
    def accepted(self) -> bool:
        """Return whether the declaration can be compiled."""
        return not self.problems

    def to_text(self) -> str:
        """Return the result as text for operators."""
        if self.problems:
            return "\n".join(each.message for each in self.problems)
        lines = [
            f"{each.name}: {each.classes} classes, {each.targets} targets, {each.slots} slots"
            for each in self.services
        ]
        lines += [f"warning: {each.message}" for each in self.findings]
        if self.differences is not None:
            lines.append(f"revision {self.compared_revision}: {len(self.differences)} differences")
            lines += [f"  {each.to_text()}" for each in self.differences]
        return "\n".join(lines)

    def to_json(self) -> str:
        """Return the result as JSON."""
        problems = [problem_fields(each) for each in self.problems]
        result: dict[str, object] = {
            "accepted": self.accepted,
            "problems": problems,
            "services": [asdict(each) for each in self.services],
            "warnings": [_finding_fields(each) for each in self.findings],
        }
        if self.differences is not None:
            result["compared_revision"] = self.compared_revision
            result["differences"] = [difference_fields(each) for each in self.differences]
        return json.dumps(result)


def make_command() -> Command:
    """Return the `check` command."""
    values = new_flags()
    flags.DEFINE_string(
        "against", None, "Directory of the publication in force, to compare.", flag_values=values
    )
    flags.DEFINE_bool("strict", False, "Fail if there are warnings.", flag_values=values)
    return Command(
        "check",
        "BASE [OVERLAY]",
        "Check a base file, optionally with a site's overlay, and list all problems.",
        values,
        _run,
    )


def check(base: Path, overlay: Path | None = None, in_force: Bundle | None = None) -> CheckResult:
    """Return the problems of a declaration, or what it declares and what is doubtful in it.

    Args:
        base: the base file.
        overlay: the overlay of a site, if any.
        in_force: a publication to compare with, if any.
    """
    try:
        services = load_declaration(base, overlay)
    except DeclarationRejected as error:
        return CheckResult(error.problems, ())
    summaries = tuple(_summarize(each) for each in services.values())
    findings = tuple(review(services))
    if in_force is None:
        return CheckResult((), summaries, findings)
    differences = compare_services(in_force.services, services)
    return CheckResult((), summaries, findings, differences, in_force.revision)


def problem_fields(problem: Problem) -> Mapping[str, str]:
    """Return a problem as fields for JSON."""
    return {
        "type": type(problem).__name__,
        "file": problem.file,
        "section": problem.section,
        "key": problem.key,
        "reason": problem.reason,
    }


def _finding_fields(finding: Finding) -> Mapping[str, str]:
    return {
        "type": type(finding).__name__,
        "service": finding.service,
        "class": finding.part,
        "reason": finding.reason,
    }


def _summarize(service: Service) -> ServiceSummary:
    slots = sum(target.slots for target in service.targets)
    return ServiceSummary(service.name, len(service.classes), len(service.targets), slots)


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if not 1 <= len(arguments) <= 2:
        print("check takes BASE and optionally OVERLAY", file=sys.stderr)
        return EXIT_USAGE
    try:
        in_force = read_publication_files(Path(values.against)).bundle if values.against else None
    except (ConfigurationError, OSError) as error:
        print(f"check: {error}", file=sys.stderr)
        return EXIT_FAILED
    base, overlay = Path(arguments[0]), Path(arguments[1]) if arguments[1:] else None
    result = check(base, overlay, in_force)
    print(result.to_json() if values.output == "json" else result.to_text())
    is_failed = not result.accepted or (values.strict and result.findings)
    return EXIT_FAILED if is_failed else EXIT_OK
