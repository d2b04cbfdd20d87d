"""Entries of targets in force and of departed ones, merged from complete content and changes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence, Set
from dataclasses import replace
from typing import TypeAlias

from ._model import Target, TargetPhase
from ._target_changes import TargetChange, TargetChangeKind, TargetChanges
from ._target_index import TargetIndex, TargetPlace
from ._target_view import NEVER, TargetView
from ._vm_claims import CLAIM_SECONDS, LAPSE_GRACE_SECONDS, ClaimTerms
from ._write_order import (
    WriteOrder,
    compare_revisions,
    compare_writes,
    denies_drain,
    is_same_run,
    is_successor,
)

COPY_SETTLING_SECONDS = 10.0  # by then entries that only a copy still had have expired
MAXIMUM_RETAINED = 10_000  # departed targets kept; two a second over the retention, and slack


# Name and place. Another writer may have written over a target's entry and named another place.
_DepartedKey: TypeAlias = tuple[str, int, int, str]


class TargetEntries:
    """Targets by name.

    After the store has come back from a copy, the order of the writers decides for
    `COPY_SETTLING_SECONDS` whether an entry of the new era is taken. Later the store decides.

    Args:
        retention_seconds: how long departed targets are kept.
        own_place: place of the target that this process runs beside; None if there is none.
    """

    def __init__(self, retention_seconds: float, own_place: TargetPlace | None = None) -> None:
        self._retention_seconds = retention_seconds
        self._current: dict[str, TargetView] = {}
        self._departed: OrderedDict[_DepartedKey, TargetView] = OrderedDict()
        self._own_place = own_place
        self._changes = TargetChanges()
        self._index = TargetIndex(self._changes, own_place)
        self._routed_services: Set[str] | None = None
        self._generation = 0
        self._changed_at: float | None = None
        self._grace_until = NEVER
        self._return_grace_until = NEVER
        self._settled_at = NEVER
        self._confirmed_at = NEVER
        self._outdated: set[str] = set()
        self._outdated_count = 0

    @property
    def current(self) -> Mapping[str, TargetView]:
        """Return the targets in force, including those whose missing entries are awaited."""
        return self._current

    @property
    def index(self) -> TargetIndex:
        """Return all targets by service and by VM."""
        if self._changed_at is not None:
            self._index.rebuild(
                self._current,
                self._departed.values(),
                ClaimTerms(
                    self._routed_services, self.is_settled(self._changed_at), self._confirmed_at
                ),
                self._changed_at,
            )
            self._changed_at = None
        return self._index

    @property
    def generation(self) -> int:
        """Return a number that increases with each change."""
        return self._generation

    @property
    def outdated(self) -> int:
        """Return how many of the store's present entries are passed over for a later write."""
        return len(self._outdated)

    @property
    def outdated_count(self) -> int:
        """Return how often entries were passed over for a later write since the start."""
        return self._outdated_count

    def is_routed(self, service: str) -> bool:
        """Return whether a service counts as routed."""
        return self._routed_services is None or service in self._routed_services

    def denied_drains(self) -> Sequence[Target]:
        """Return earlier writes of present entries by which targets drain that these call ready."""
        found = []
        for view in self._departed.values():
            present = self._current.get(view.target.name)
            if present is None or view.missing_since is None:
                continue
            is_held = self._confirmed_at < view.missing_since + CLAIM_SECONDS
            if is_held and denies_drain(present.target, view.target):
                found.append(view.target)
        return found

    def domains(self) -> Mapping[int, str]:
        """Return the failure domain of each VM that has a target in force of a routed service."""
        index = self.index
        domains = {
            each.target.host: each.target.failure_domain
            for each in self._current.values()
            if self.is_routed(each.target.service)
        }
        for host in index.contested_hosts:
            claims = [
                each
                for each in index.on_host(host)
                if each.has_entry and self.is_routed(each.target.service)
            ]
            if claims:
                domains[host] = min(claims, key=_domain_rank).target.failure_domain
        return domains

    def take_changes(self) -> tuple[Sequence[TargetChange], int]:
        """Remove and return what changed since the last call, and how many changes were omitted."""
        _ = self.index  # entries are compared with others of their VMs when it is rebuilt
        return self._changes.take()

    def set_routed_services(self, services: Set[str] | None, now: float) -> None:
        """Set the services to which the configuration in force has routes; None for any."""
        if services != self._routed_services:
            self._routed_services = services
            self._note_change(now)

    def is_settled(self, now: float) -> bool:
        """Return whether the store alone decides about entries."""
        return now >= self._settled_at

    def note_confirmation(self, confirmed_at: float) -> None:
        """Record when the content was last confirmed to match the store's."""
        self._confirmed_at = confirmed_at

    def start_grace(self, now: float) -> None:
        """Await missing entries of ready targets, which may have lapsed for want of renewal."""
        self._grace_until = now + LAPSE_GRACE_SECONDS

    def start_settling(self, now: float) -> None:
        """Await all missing entries, and prefer later writes, as the store has lost some."""
        self._grace_until = self._return_grace_until = now + LAPSE_GRACE_SECONDS
        self._settled_at = now + COPY_SETTLING_SECONDS

    def forget_outdated(self) -> None:
        """Forget which entries were passed over, as all of them are about to be merged again."""
        self._outdated.clear()

    def merge(
        self, changed: Sequence[Target], removed: Sequence[str], now: float
    ) -> tuple[Sequence[Target], Sequence[str]]:
        """Merge entries; return those that were taken, and the names of those that were removed.

        All of them are merged, or none if one of them raises an exception.
        """
        names = dict.fromkeys(removed)
        taken: list[TargetView] = []
        latest: dict[str, TargetView] = {}
        for target in changed:
            known = latest.get(target.name) or self._current.get(target.name)
            if self._is_taken(target, known, now):
                known_since = self._known_since(target, known, now)
                view = TargetView(target, now + target.warmup_seconds, known_since)
                latest[target.name] = view
                taken.append(view)
        is_first = not self._current and not self._departed
        for view in taken:
            # First content would have a line for each target of the fleet.
            if not is_first or self._is_at_own_vm(view.target):
                self._note_taken(view, now)
            self._write(view, now)
        gone = [name for name in names if self._remove(name, now)]
        if taken or gone:
            self._note_change(now)
        return [each.target for each in taken], gone

    def tick(self, now: float) -> bool:
        """Drop expired targets; return whether any targets in use may have changed."""
        expired = [name for name, each in self._current.items() if each.has_departed(now)]
        for name in expired:
            self._move_to_departed(name, now)
        while self._departed:
            key, view = next(iter(self._departed.items()))
            missing_since = view.missing_since if view.missing_since is not None else now
            if (
                now - missing_since < self._retention_seconds
                and len(self._departed) < MAXIMUM_RETAINED
            ):
                break
            del self._departed[key]
            expired.append(view.target.name)
        is_changed = bool(expired) or self._confirmed_at >= self.index.next_settlement
        if is_changed:
            self._note_change(now)
        return is_changed

    def _is_at_own_vm(self, target: Target) -> bool:
        return self._own_place is not None and target.host == self._own_place.host

    def _note_taken(self, view: TargetView, now: float) -> None:
        target, known = view.target, self._current.get(view.target.name)
        before = known.target if known is not None else None
        if before is None or not is_same_run(target, before):
            self._changes.note(TargetChangeKind.KNOWN, target, now)
        if before is None or before.phase is not target.phase:
            is_ready = target.phase is TargetPhase.READY
            kind = TargetChangeKind.READY if is_ready else TargetChangeKind.DRAINING
            self._changes.note(kind, target, now)

    def _write(self, view: TargetView, now: float) -> None:
        target = view.target
        known = self._current.get(target.name)
        self._outdated.discard(target.name)
        if known is not None:
            is_other_run = not is_same_run(target, known.target)
            if is_other_run or denies_drain(target, known.target):
                self._keep_departed(known, now)
        self._current[target.name] = view

    def _known_since(self, target: Target, known: TargetView | None, now: float) -> float:
        """Return the local time since which a run of a target is known."""
        formers = (known, self._departed.get(_departed_key(target)))
        same = [each for each in formers if each is not None and is_same_run(target, each.target)]
        return same[0].known_since if same else now

    def _is_taken(self, target: Target, known: TargetView | None, now: float) -> bool:
        """Return whether to take an entry; note one that a copy of the store has brought back.

        Args:
            target: the entry.
            known: the entry of its name before it.
            now: local time.
        """
        departed = self._departed.get(_departed_key(target))
        former = known or departed
        if former is None:
            return True
        is_settled = self.is_settled(now)
        order = compare_writes(target, former.target)
        if is_settled and order is not WriteOrder.SAME:
            # What the copy lacked is written again, so the store's own order counts.
            order = compare_revisions(target, former.target)
        if known is None:
            is_taken = is_settled or order is WriteOrder.LATER
        elif known.missing_since is not None:
            is_same_era = target.revision.era == known.target.revision.era
            is_taken = is_same_era or order is not WriteOrder.EARLIER
        else:
            is_taken = order is WriteOrder.LATER
        is_held = known is not None and order is WriteOrder.SAME
        if not is_taken and not is_held and not is_settled:
            self._outdated.add(target.name)
            self._outdated_count += 1
        return is_taken

    def _remove(self, name: str, now: float) -> bool:
        self._outdated.discard(name)
        known = self._current.get(name)
        if known is None or known.missing_since is not None:
            return False
        is_ready = known.target.phase is TargetPhase.READY
        grace_until = self._grace_until if is_ready else self._return_grace_until
        if now < grace_until:
            self._changes.note(TargetChangeKind.AWAITED, known.target, now)
            self._current[name] = replace(known, missing_since=now, grace_until=grace_until)
        else:
            self._move_to_departed(name, now)
        return True

    def _move_to_departed(self, name: str, now: float) -> None:
        known = self._current.pop(name)
        self._changes.note(TargetChangeKind.DEPARTED, known.target, now)
        self._keep_departed(known, now)

    def _keep_departed(self, view: TargetView, now: float) -> None:
        """Keep a departed run, unless a later one of the same name and place is kept."""
        key = _departed_key(view.target)
        kept = self._departed.get(key)
        if kept is not None and is_successor(kept.target, view.target):
            return
        self._departed.pop(key, None)
        self._departed[key] = replace(view, missing_since=now, grace_until=NEVER)

    def _note_change(self, now: float) -> None:
        """Mark the index as outdated; the next query rebuilds it, since changes come in bursts."""
        self._generation += 1
        self._changed_at = now


def _departed_key(target: Target) -> _DepartedKey:
    return target.name, target.host, target.port, target.service


def _domain_rank(view: TargetView) -> tuple[bool, bool, int, str]:
    started = view.target.started_milliseconds
    return bool(view.superseded_by), not started, started, view.target.name
