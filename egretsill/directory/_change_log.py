"""Log of changes to a directory, kept to bring peers with an earlier revision up to date."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from ._evacuations import Evacuation
from ._model import Changes, Route, RouteTable, Target, TargetPhase, WarmUpTerms
from ._revision import StoreRevision
from ._write_order import denies_drain

_Item = TypeVar("_Item")
_Key = TypeVar("_Key")

MAXIMUM_STEPS = 256  # changes kept; two rolling releases of a hundred targets make about 400


@dataclass(frozen=True, slots=True)
class RouteChanges:
    """How a configuration differs from an earlier one.

    Attributes:
        base_versions: versions of the earlier configurations to which the changes apply.
        version: version of the later configuration.
        idle_seconds: idle time after which a flow may be forgotten.
        changed: routes that are new or differ.
        removed: addresses and ports of routes that no longer exist.
        warm_up: all terms by service of the later configuration; they are few.
    """

    base_versions: Sequence[int]
    version: int
    idle_seconds: float
    changed: Sequence[Route]
    removed: Sequence[tuple[int, int]]
    warm_up: Mapping[str, WarmUpTerms] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ContentChanges:
    """Net changes since a revision.

    Since they are net changes, they apply to every state from the base to the revision.

    Attributes:
        base: the revision to which the changes apply, of the same era as `revision`.
        revision: the store's revision at the last of the changes.
        routes: changes of the configuration, None if there are none.
        targets: entries that were written, and before each one an earlier write of it by which its
            target drains, if it denies that.
        removed: names of entries that no longer exist.
        evacuations: failure domains that the operators have evacuated.
        restored: failure domains that are no longer evacuated.
    """

    base: StoreRevision
    revision: StoreRevision
    routes: RouteChanges | None
    targets: Sequence[Target]
    removed: Sequence[str]
    evacuations: Sequence[Evacuation] = ()
    restored: Sequence[str] = ()

    def as_changes(self, table: RouteTable | None) -> Changes:
        """Return them as if they had been read from the store.

        Args:
            table: the configuration that the route changes give, None without any.
        """
        return Changes(
            self.revision,
            table,
            self.targets,
            self.removed,
            evacuations=self.evacuations,
            restored=self.restored,
        )


def route_changes(before: RouteTable, after: RouteTable) -> RouteChanges:
    """Return how a configuration differs from an earlier one."""
    changed = [each for key, each in after.routes.items() if before.routes.get(key) != each]
    removed = [key for key in before.routes if key not in after.routes]
    return RouteChanges(
        (before.version,), after.version, after.idle_seconds, changed, removed, after.warm_up
    )


def apply_route_changes(table: RouteTable, changes: RouteChanges) -> RouteTable:
    """Return a configuration with changes applied; its version must be one of their bases."""
    routes = dict(table.routes)
    for key in changes.removed:
        routes.pop(key, None)
    routes.update({(each.host, each.port): each for each in changes.changed})
    return RouteTable(changes.version, routes, changes.idle_seconds, changes.warm_up)


class ChangeLog:
    """The last changes of a directory in order; the base of each is the revision before it."""

    def __init__(self) -> None:
        self._steps: deque[ContentChanges] = deque(maxlen=MAXIMUM_STEPS)

    def append(self, step: ContentChanges) -> None:
        """Append a change; if it doesn't follow the last one, the earlier ones are dropped."""
        if self._steps and self._steps[-1].revision != step.base:
            self._steps.clear()
        self._steps.append(step)

    def clear(self) -> None:
        """Drop all changes, because the content was replaced as a whole."""
        self._steps.clear()

    def since(self, revision: StoreRevision) -> ContentChanges | None:
        """Return the net changes since a revision, or None if they are no longer known."""
        if not self._steps or not self._steps[0].base <= revision < self._steps[-1].revision:
            return None
        steps = [each for each in self._steps if each.revision > revision]
        targets, removed = _net_changes(
            ((each.targets, each.removed) for each in steps), lambda each: each.name
        )
        written = [target for each in steps for target in each.targets]
        evacuations, restored = _net_changes(
            ((each.evacuations, each.restored) for each in steps),
            lambda each: each.failure_domain,
        )
        return ContentChanges(
            steps[0].base,
            steps[-1].revision,
            _combine_route_changes([each.routes for each in steps if each.routes is not None]),
            _with_denied_drains(targets, written),
            removed,
            evacuations,
            restored,
        )


def _with_denied_drains(targets: Iterable[Target], written: Iterable[Target]) -> tuple[Target, ...]:
    """Return entries, each after the last of its earlier writes whose drain it denies, if any.

    Without it, peers wouldn't learn that the target drains.
    """
    drains: dict[str, list[Target]] = {}
    for each in written:
        if each.phase is TargetPhase.DRAINING:
            drains.setdefault(each.name, []).append(each)
    found = []
    for target in targets:
        denied = [each for each in drains.get(target.name, ()) if denies_drain(target, each)]
        found += [*denied[-1:], target]
    return tuple(found)


def _combine_route_changes(steps: Sequence[RouteChanges]) -> RouteChanges | None:
    if not steps:
        return None
    changed, removed = _net_changes(
        ((each.changed, each.removed) for each in steps), lambda each: (each.host, each.port)
    )
    bases, last = tuple(base for step in steps for base in step.base_versions), steps[-1]
    return RouteChanges(
        bases,
        last.version,
        last.idle_seconds,
        changed,
        removed,
        last.warm_up,
    )


def _net_changes(
    steps: Iterable[tuple[Iterable[_Item], Iterable[_Key]]], key_of: Callable[[_Item], _Key]
) -> tuple[tuple[_Item, ...], tuple[_Key, ...]]:
    """Return what was written last and what was removed for good.

    Args:
        steps: what each step wrote, and the keys of what it removed before.
        key_of: returns the key of what was written.
    """
    written: dict[_Key, _Item] = {}
    removed: dict[_Key, None] = {}
    for step_written, step_removed in steps:
        for key in step_removed:
            written.pop(key, None)
            removed[key] = None
        for item in step_written:
            written[key_of(item)] = item
            removed.pop(key_of(item), None)
    return tuple(written.values()), tuple(removed)
