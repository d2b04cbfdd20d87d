"""`egretsillctl diff`: compares two published bundles."""

from __future__ import annotations

import dataclasses
import enum
import json
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import Bundle, ConfigurationError, Limits, Service
from ._bundle_files import read_publication_files


class DifferenceKind(enum.Enum):
    """How a part differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference in a part of a bundle.

    Attributes:
        part: kind and name of the part, such as "service catalog" or "target catalog-1".
        field: name of the changed attribute; "" if the whole part was added or removed.
        before: old value as text; "" if the part was added.
        after: new value as text; "" if the part was removed.
    """

    kind: DifferenceKind
    part: str
    field: str = ""
    before: str = ""
    after: str = ""

    def to_text(self) -> str:
        """Return the difference as one line of text."""
        if self.kind is DifferenceKind.CHANGED:
            return f"{self.part}: {self.field} {self.before} -> {self.after}"
        return f"{self.part}: {self.kind.value}"


@dataclass(frozen=True, slots=True)
class DiffResult:
    """All differences between two bundles."""

    before: int
    after: int
    differences: tuple[Difference, ...]

    def to_text(self) -> str:
        """Return the result as text for operators."""
        lines = [f"revision {self.before} -> {self.after}: {len(self.differences)} differences"]
        return "\n".join([*lines, *(f"  {each.to_text()}" for each in self.differences)])

    def to_json(self) -> str:
        """Return the result as JSON."""
        differences = [difference_fields(each) for each in self.differences]
        return json.dumps({"before": self.before, "after": self.after, "differences": differences})


def difference_fields(difference: Difference) -> Mapping[str, str]:
    """Return a difference as fields for JSON."""
    return {**asdict(difference), "kind": difference.kind.value}


def make_command() -> Command:
    """Return the `diff` command."""
    return Command(
        "diff", "BEFORE AFTER", "Compare the bundles in two directories.", new_flags(), _run
    )


def diff(before: Bundle, after: Bundle) -> DiffResult:
    """Return the differences between two bundles."""
    differences = compare_services(before.services, after.services)
    return DiffResult(before.revision, after.revision, differences)


def compare_services(
    before: Mapping[str, Service], after: Mapping[str, Service]
) -> tuple[Difference, ...]:
    """Return the differences between two sets of services, by name."""
    differences: list[Difference] = []
    for name, old, new in _pair_by_name(before, after):
        differences.extend(_compare_services(name, old, new))
    return tuple(differences)


def _compare_services(name: str, old: Service | None, new: Service | None) -> Iterator[Difference]:
    yield from _compare(f"service {name}", old, new, skipped=("classes", "targets"))
    if old is None or new is None:
        return
    classes = _pair_by_name(_index_by_name(old.classes), _index_by_name(new.classes))
    for each, old_class, new_class in classes:
        yield from _compare(f"class {name}/{each}", old_class, new_class)
    for each, old_target, new_target in _pair_by_name(
        _index_by_name(old.targets), _index_by_name(new.targets)
    ):
        yield from _compare(f"target {each}", old_target, new_target)


def _compare(part: str, old: Any, new: Any, skipped: Sequence[str] = ()) -> Iterator[Difference]:
    if old is None or new is None:
        yield Difference(DifferenceKind.ADDED if old is None else DifferenceKind.REMOVED, part)
        return
    for name, before, after in _changed_fields(old, new):
        if name not in skipped:
            texts = (_format_value(before), _format_value(after))
            yield Difference(DifferenceKind.CHANGED, part, name, *texts)


def _changed_fields(old: Any, new: Any) -> Iterator[tuple[str, Any, Any]]:
    """Yield the name and both values of each field that differs, those of limits one by one."""
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if isinstance(before, Limits) and isinstance(after, Limits):
            yield from _changed_fields(before, after)
        elif before != after:
            yield field.name, before, after


def _index_by_name(parts: Sequence[Any]) -> Mapping[str, Any]:
    return {each.name: each for each in parts}


def _pair_by_name(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[tuple[str, Any | None, Any | None]]:
    for name in sorted(before.keys() | after.keys()):
        yield name, before.get(name), after.get(name)


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ", ".join(_format_value(each) for each in value)
    return str(value)


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if len(arguments) != 2:
        print("diff takes BEFORE and AFTER", file=sys.stderr)
        return EXIT_USAGE
    try:
        before, after = (read_publication_files(Path(each)).bundle for each in arguments)
    except (ConfigurationError, OSError) as error:
        print(f"diff: {error}", file=sys.stderr)
        return EXIT_FAILED
    result = diff(before, after)
    print(result.to_json() if values.output == "json" else result.to_text())
    return EXIT_OK
