"""Targets by service and by VM."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from ._model import Target
from ._target_changes import TargetChangeKind, TargetChanges
from ._target_view import NEVER, TargetView
from ._vm_claims import ClaimTerms, next_settlement, settle_claims

KeyT = TypeVar("KeyT")


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where a process finds the target that it runs beside.

    Attributes:
        host: IPv4 address of the VM, as a number.
        port: port on which the target receives packets.
        service: the service that it belongs to.
    """

    host: int
    port: int
    service: str

    def has(self, target: Target) -> bool:
        """Return whether an entry is for this place."""
        return (target.host, target.port, target.service) == (self.host, self.port, self.service)


@dataclass(frozen=True, slots=True)
class _Outranked:
    """By which other entries one doesn't count.

    Attributes:
        superseded_by: as in its view.
        drained_by: as in its view.
        since: local time since which the same entry supersedes it, or since which it drains.
    """

    superseded_by: str
    drained_by: str
    since: float


class TargetIndex:
    """Targets in force and departed ones, by service and by VM.

    Args:
        changes: records which entries supersede or drain others.
        own_place: place of the target that this process runs beside; None if there is none. Other
            entries for its VM are left out as soon as one is for that place.
    """

    def __init__(self, changes: TargetChanges, own_place: TargetPlace | None = None) -> None:
        self._changes = changes
        self._own_place = own_place
        self._by_service: dict[str, tuple[TargetView, ...]] = {}
        self._by_host: dict[int, tuple[TargetView, ...]] = {}
        self._outranked: dict[str, _Outranked] = {}
        self._contested_hosts: tuple[int, ...] = ()
        self._next_settlement = math.inf

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

    @property
    def contested_hosts(self) -> Collection[int]:
        """Return the VMs for which there are several entries, or were until recently."""
        return self._contested_hosts

    @property
    def next_settlement(self) -> float:
        """Return the confirmation time from which other entries may count at contested VMs."""
        return self._next_settlement

    def rebuild(
        self,
        current: Mapping[str, TargetView],
        departed: Collection[TargetView],
        terms: ClaimTerms,
        now: float,
    ) -> None:
        """Index all targets again.

        Args:
            current: the targets in force, by name.
            departed: the targets whose entries are gone.
            terms: what decides about several entries for one VM.
            now: local time.
        """
        by_service: dict[str, list[TargetView]] = {}
        by_host: dict[int, list[TargetView]] = {}
        for view in (*current.values(), *departed):
            by_host.setdefault(view.target.host, []).append(view)
        outranked: dict[str, _Outranked] = {}
        self._contested_hosts = tuple(host for host, views in by_host.items() if len(views) > 1)
        contesting = (each for host in self._contested_hosts for each in by_host[host])
        self._next_settlement = next_settlement(contesting, terms.confirmed_at)
        for host, views in by_host.items():
            if len(views) > 1:
                views = self._at_own_place(views)
                settled = settle_claims(views, terms)
                views = by_host[host] = [self._outrank(each, outranked, now) for each in settled]
            for view in views:
                by_service.setdefault(view.target.service, []).append(view)
        for name in self._outranked.keys() - outranked.keys():
            if name in current:
                target = current[name].target
                self._changes.note(TargetChangeKind.IN_USE_AGAIN, target, now)
        self._outranked = outranked
        self._by_service, self._by_host = _as_tuples(by_service), _as_tuples(by_host)

    def _at_own_place(self, views: list[TargetView]) -> list[TargetView]:
        """Return those of a VM's entries that may be of its target."""
        place = self._own_place
        if place is None or views[0].target.host != place.host:
            return views
        matching = [each for each in views if place.has(each.target)]
        return matching or views

    def _outrank(
        self, view: TargetView, outranked: dict[str, _Outranked], now: float
    ) -> TargetView:
        """Record by which entries another one doesn't count; a superseded one has departed."""
        if not view.superseded_by and not view.drained_by:
            return view
        name = view.target.name
        before = self._outranked.get(name)
        is_known = before is not None and before.superseded_by == view.superseded_by
        since = before.since if before is not None and is_known else now
        outranked[name] = _Outranked(view.superseded_by, view.drained_by, since)
        if before is None or outranked[name] != before:
            kind = TargetChangeKind.SUPERSEDED if view.superseded_by else TargetChangeKind.DRAINED
            by = view.superseded_by or view.drained_by
            self._changes.note(kind, view.target, now, by)
        if not view.superseded_by:
            return view
        return replace(view, missing_since=since, grace_until=NEVER)


def _as_tuples(groups: Mapping[KeyT, list[TargetView]]) -> dict[KeyT, tuple[TargetView, ...]]:
    return {key: tuple(views) for key, views in groups.items()}
