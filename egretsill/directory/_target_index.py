"""Targets by service and by VM."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ._model import Target
from ._write_order import is_successor

NEVER = float("-inf")
COPY_SETTLING_SECONDS = 10.0  # by then entries that only a copy still had have expired

KeyT = TypeVar("KeyT")


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target's entry together with what this process knows about it.

    Attributes:
        target: the entry.
        warmup_ends_at: local time at which its warm-up ends.
        missing_since: local time at which its entry was found missing; None while it exists.
        grace_until: end of the period in which a missing entry may return and still counts.
    """

    target: Target
    warmup_ends_at: float
    missing_since: float | None = None
    grace_until: float = NEVER

    @property
    def is_awaited(self) -> bool:
        """Return whether its entry is missing but was expected to return when it was found so."""
        return self.missing_since is not None and self.grace_until > self.missing_since

    def has_departed(self, now: float) -> bool:
        """Return whether its entry is missing and not expected to return."""
        return self.missing_since is not None and self.grace_until <= now


class TargetIndex:
    """Targets in force and departed ones, by service and by VM."""

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[TargetView, ...]] = {}
        self._by_host: dict[int, tuple[TargetView, ...]] = {}
        self._replaced_at: dict[str, float] = {}

    def of_service(self, service: str) -> Sequence[TargetView]:
        """Return a service's targets."""
        return self._by_service.get(service, ())

    def on_host(self, host: int) -> Sequence[TargetView]:
        """Return the targets on a VM."""
        return self._by_host.get(host, ())

    @property
    def services(self) -> Collection[str]:
        """Return the services that have targets."""
        return self._by_service.keys()

    @property
    def hosts(self) -> Collection[int]:
        """Return the VMs that have targets."""
        return self._by_host.keys()

    def rebuild(
        self,
        current: Mapping[str, TargetView],
        departed: Collection[TargetView],
        routed_services: Collection[str] | None,
        now: float,
    ) -> None:
        """Index all targets again.

        Args:
            current: the targets in force, by name.
            departed: the targets whose entries are gone.
            routed_services: the services of the configuration in force, None for any.
            now: local time.
        """
        by_service: dict[str, list[TargetView]] = {}
        by_host: dict[int, list[TargetView]] = {}
        in_force = self._without_replaced(current, departed, routed_services, now)
        for view in (*in_force, *departed):
            by_service.setdefault(view.target.service, []).append(view)
            by_host.setdefault(view.target.host, []).append(view)
        self._by_service, self._by_host = _as_tuples(by_service), _as_tuples(by_host)

    def _without_replaced(
        self,
        current: Mapping[str, TargetView],
        departed: Iterable[TargetView],
        routed_services: Collection[str] | None,
        now: float,
    ) -> Iterable[TargetView]:
        """Yield the targets; one whose address belongs to a newer target is yielded as departed.

        The entry of a crashed target stays in the store for a while, when the next target at its
        address may already have its own entry. A copy of the store may have only the former, which
        is replaced even if the next target's entry is missing for longer than it is awaited.

        Only a target of a routed service replaces others. Any writer may register an address under
        a service of its own, while the target there lives.
        """
        newest: dict[tuple[int, int], TargetView] = {}
        recent = (each for each in departed if _has_recently_departed(each, now))
        for view in (*current.values(), *recent):
            if routed_services is not None and view.target.service not in routed_services:
                continue
            place = (view.target.host, view.target.port)
            known = newest.get(place)
            if known is None or is_successor(view.target, known.target):
                newest[place] = view
        kept = set()
        for name, view in current.items():
            holder = newest.get((view.target.host, view.target.port), view)
            if holder is view or not is_successor(holder.target, view.target):
                kept.add(name)
        self._replaced_at = {
            name: self._replaced_at.get(name, now) for name in current if name not in kept
        }
        for name, view in current.items():
            if name in kept:
                yield view
            else:
                yield TargetView(view.target, view.warmup_ends_at, self._replaced_at[name])


def newest_view(views: Iterable[TargetView]) -> TargetView | None:
    """Return the newest of the targets on a VM; those with an entry go before those without."""
    newest: TargetView | None = None
    for view in views:
        if newest is None or _is_newer(view, newest):
            newest = view
    return newest


def _has_recently_departed(view: TargetView, now: float) -> bool:
    return view.missing_since is not None and now - view.missing_since < COPY_SETTLING_SECONDS


def _is_newer(view: TargetView, other: TargetView) -> bool:
    has_entry = view.missing_since is None
    if has_entry != (other.missing_since is None):
        return has_entry
    return is_successor(view.target, other.target)


def _as_tuples(groups: Mapping[KeyT, list[TargetView]]) -> dict[KeyT, tuple[TargetView, ...]]:
    return {key: tuple(views) for key, views in groups.items()}
