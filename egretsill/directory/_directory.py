"""A process's view of routes and targets, merged from the store and from peers.

The view never goes back: the highest configuration version wins, and content of a lower revision
is ignored. Content carries the store's revision at its last change and the time since any
process's linearizable read last confirmed it, so that processes can compare content without
reading the store.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ._change_log import ChangeLog, ContentChanges, apply_route_changes, route_changes
from ._former_routes import FormerRoutes
from ._model import Changes, Route, RouteTable, Snapshot, Target, TargetPhase

OUTAGE_SECONDS = 1.5  # without confirmation for longer, entries may have lapsed for want of renewal
LAPSE_GRACE_SECONDS = 2.5  # running targets renew within 2 s of the store's return, plus lag
RETENTION_SECONDS = 60.0  # default age at which a flow may be forgotten
CONFIRMATION_STEP_SECONDS = 0.25  # a relayed read seems newer by the delay, some hundredths of 1 s
MAXIMUM_RETAINED = 10_000  # departed targets kept; two a second over the retention, and slack
NEVER = float("-inf")

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

    def has_departed(self, now: float) -> bool:
        """Return whether its entry is missing and not expected to return."""
        return self.missing_since is not None and self.grace_until <= now


class Directory:
    """Routes and targets in force at one process."""

    def __init__(self, retention_seconds: float = RETENTION_SECONDS) -> None:
        self._retention_seconds = retention_seconds
        self._table: RouteTable | None = None
        self._former_routes = FormerRoutes(retention_seconds)
        self._targets: dict[str, TargetView] = {}
        self._departed: OrderedDict[str, TargetView] = OrderedDict()
        self._by_service: dict[str, tuple[TargetView, ...]] = {}
        self._by_host: dict[int, tuple[TargetView, ...]] = {}
        self._replaced_at: dict[str, float] = {}
        self._content_revision = 0
        self._confirmed_at = NEVER
        self._grace_until = NEVER
        self._generation = 0
        self._changed_at: float | None = None
        self._log = ChangeLog()
        self._outdated_entries = 0

    @property
    def generation(self) -> int:
        """Return a number that increases with each change of targets in force or departed."""
        return self._generation

    @property
    def table(self) -> RouteTable | None:
        """Return the configuration in force."""
        return self._table

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 before the first."""
        return self._table.version if self._table else 0

    @property
    def content_revision(self) -> int:
        """Return the store's revision at the last change in force at this process."""
        return self._content_revision

    @property
    def confirmed_at(self) -> float:
        """Return the local time at which the content was last confirmed to match the store's."""
        return self._confirmed_at

    @property
    def is_known(self) -> bool:
        """Return whether there is a configuration and the store's targets were read."""
        return self._table is not None and self._content_revision > 0

    @property
    def has_content(self) -> bool:
        """Return whether any content of the store was read."""
        return self._content_revision > 0

    @property
    def outdated_entries(self) -> int:
        """Return how many entries were passed over because a later one is known."""
        return self._outdated_entries

    @property
    def targets(self) -> Sequence[Target]:
        """Return the entries in the store, without lapsed ones that only this process keeps."""
        return [each.target for each in self._targets.values() if each.missing_since is None]

    def route(self, host: int, port: int) -> Route | None:
        """Return the route of a service address."""
        return self._table.routes.get((host, port)) if self._table else None

    def is_withdrawn(self, host: int, port: int) -> bool:
        """Return whether a service address of an earlier configuration was withdrawn."""
        return self._former_routes.is_withdrawn((host, port))

    def flow_services(self, route: Route) -> Sequence[str]:
        """Return the services that may have open flows of a route, those in force first.

        A new configuration does not move open flows.
        """
        former = self._former_routes.services((route.host, route.port))
        return tuple(dict.fromkeys((*route.services, *former))) if former else route.services

    def targets_of(self, service: str) -> Sequence[TargetView]:
        """Return a service's targets, including departed ones whose flows may still be open."""
        self._refresh_index()
        return self._by_service.get(service, ())

    def target_at(self, host: int, service: str) -> TargetView | None:
        """Return the newest target of a service on a VM."""
        self._refresh_index()
        found = [each for each in self._by_host.get(host, ()) if each.target.service == service]
        return max(found, key=_recency, default=None)

    def has_target_on(self, host: int) -> bool:
        """Return whether a VM has a target, or had one until recently."""
        self._refresh_index()
        return host in self._by_host

    def is_replaced(self, view: TargetView) -> bool:
        """Return whether another target now has the address of this one."""
        self._refresh_index()
        return any(
            each.missing_since is None
            and each.target.port == view.target.port
            and each.target.name != view.target.name
            for each in self._by_host.get(view.target.host, ())
        )

    def domains(self) -> Mapping[int, str]:
        """Return the failure domain of each VM that has a target in force."""
        return {each.target.host: each.target.failure_domain for each in self._targets.values()}

    def changes_since(self, revision: int) -> ContentChanges | None:
        """Return the changes since a revision, or None if the complete content is needed."""
        return self._log.since(revision)

    def apply_snapshot(
        self, snapshot: Snapshot, now: float, confirmed_at: float | None = None
    ) -> bool:
        """Merge a linearizable read of the store; return whether anything in force changed.

        Args:
            snapshot: what was read.
            now: local time.
            confirmed_at: local time at which it certainly matched the store; now if not given.
        """
        if snapshot.at < self._content_revision:
            return False
        self._start_grace_after_outage(now)
        current = {each.name: each for each in snapshot.targets}
        removed = [name for name in self._targets if name not in current]
        changes = Changes(snapshot.at, snapshot.table, tuple(current.values()), tuple(removed))
        is_first = self._content_revision == 0
        changed = self._merge(changes, now)
        if is_first:
            self._content_revision = snapshot.at
        self._note_confirmation(now if confirmed_at is None else confirmed_at)
        return changed

    def apply_changes(
        self, changes: Changes, now: float, confirmed_at: float | None = None
    ) -> bool:
        """Merge the response of a watch; return whether anything in force changed.

        Args:
            changes: the response.
            now: local time.
            confirmed_at: as for a snapshot.
        """
        if changes.at < self._content_revision:
            return False
        self._start_grace_after_outage(now)
        changed = self._merge(changes, now)
        self._note_confirmation(now if confirmed_at is None else confirmed_at)
        return changed

    def apply_peer_content(
        self,
        revision: int,
        table: RouteTable | None,
        targets: Iterable[Target],
        age_seconds: float,
        now: float,
    ) -> bool:
        """Merge a peer's content unless it is older; return whether anything changed."""
        if revision < self._content_revision:
            return False
        self._start_grace_after_outage(now - age_seconds)
        current = {each.name: each for each in targets}
        removed = [name for name in self._targets if name not in current]
        changed = self._merge(
            Changes(revision, table, tuple(current.values()), tuple(removed)), now
        )
        self._content_revision = revision
        self.confirm(revision, age_seconds, now)
        return changed

    def apply_peer_changes(
        self, changes: ContentChanges, age_seconds: float, now: float
    ) -> bool | None:
        """Merge a peer's changes since a revision.

        Returns:
            Whether anything changed; None if this process lacks the base of the changes.
        """
        if changes.revision <= self._content_revision:
            return False
        if changes.base > self._content_revision or self._content_revision == 0:
            return None
        table = None
        if changes.routes is not None and changes.routes.version > self.version:
            if self._table is None or changes.routes.base_version > self.version:
                return None
            table = apply_route_changes(self._table, changes.routes)
        self._start_grace_after_outage(now - age_seconds)
        changed = self._merge(
            Changes(changes.revision, table, changes.targets, changes.removed), now
        )
        self._content_revision = changes.revision
        self.confirm(changes.revision, age_seconds, now)
        return changed

    def confirm(self, revision: int, age_seconds: float, now: float) -> None:
        """Record that a read by any process confirmed a revision some seconds ago.

        Processes relay confirmations, so the same read arrives by several paths and seems newer
        each time. Only a confirmation that is newer by more than that counts as another read.
        """
        confirmed_at = now - age_seconds
        is_known = revision == self._content_revision and revision > 0
        if is_known and confirmed_at - self._confirmed_at > CONFIRMATION_STEP_SECONDS:
            self._start_grace_after_outage(confirmed_at)
            self._note_confirmation(confirmed_at)

    def tick(self, now: float) -> bool:
        """Drop expired targets and former routes; return whether any target was dropped."""
        expired = [name for name, each in self._targets.items() if each.has_departed(now)]
        for name in expired:
            self._move_to_departed(name, now)
        while self._departed:
            name, view = next(iter(self._departed.items()))
            missing_since = view.missing_since if view.missing_since is not None else now
            if (
                now - missing_since < self._retention_seconds
                and len(self._departed) < MAXIMUM_RETAINED
            ):
                break
            del self._departed[name]
            expired.append(name)
        self._former_routes.sweep(now)
        if expired:
            self._invalidate_index(now)
        return bool(expired)

    def _note_confirmation(self, confirmed_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _start_grace_after_outage(self, now: float) -> None:
        if self._confirmed_at != NEVER and now - self._confirmed_at > OUTAGE_SECONDS:
            self._grace_until = now + LAPSE_GRACE_SECONDS

    def _merge(self, changes: Changes, now: float) -> bool:
        before = self._table
        is_newer = changes.table is not None and changes.table.version > self.version
        if is_newer:
            self._table = changes.table
            self._former_routes.record_change(before, self._table, now)
        written = [each for each in changes.changed if self._merge_target(each, now)]
        removed = [name for name in changes.removed if self._remove(name, now)]
        if not is_newer and not written and not removed:
            return False
        if written or removed:
            self._invalidate_index(now)
        self._log_changes(changes.at, before, written, removed)
        self._content_revision = max(changes.at, self._content_revision)
        return True

    def _log_changes(
        self,
        revision: int,
        table_before: RouteTable | None,
        written: Sequence[Target],
        removed: Sequence[str],
    ) -> None:
        """Log a change for peers, if it has a base revision."""
        base = self._content_revision
        if base == 0 or revision <= base:
            self._log.clear()
            return
        routes = None
        if self._table is not table_before and self._table is not None:
            if table_before is None:
                self._log.clear()
                return
            routes = route_changes(table_before, self._table)
        self._log.append(ContentChanges(base, revision, routes, tuple(written), tuple(removed)))

    def _merge_target(self, target: Target, now: float) -> bool:
        known = self._targets.get(target.name)
        if (
            known is not None
            and known.missing_since is None
            and target.revision <= known.target.revision
        ):
            self._outdated_entries += target != known.target
            return False
        if known is not None and known.target.started_milliseconds != target.started_milliseconds:
            self._departed[target.name] = TargetView(known.target, known.warmup_ends_at, now)
        self._targets[target.name] = TargetView(target, now + target.warmup_seconds)
        return True

    def _remove(self, name: str, now: float) -> bool:
        known = self._targets.get(name)
        if known is None or known.missing_since is not None:
            return False
        if now < self._grace_until and known.target.phase is TargetPhase.READY:
            self._targets[name] = TargetView(
                known.target, known.warmup_ends_at, now, self._grace_until
            )
        else:
            self._move_to_departed(name, now)
        return True

    def _move_to_departed(self, name: str, now: float) -> None:
        known = self._targets.pop(name)
        self._departed.pop(name, None)
        self._departed[name] = TargetView(known.target, known.warmup_ends_at, now)

    def _invalidate_index(self, now: float) -> None:
        """Mark the index as outdated; the next query rebuilds it, since changes come in bursts."""
        self._generation += 1
        self._changed_at = now

    def _refresh_index(self) -> None:
        if self._changed_at is None:
            return
        now, self._changed_at = self._changed_at, None
        by_service: dict[str, list[TargetView]] = {}
        by_host: dict[int, list[TargetView]] = {}
        for view in (*self._iterate_current_views(now), *self._departed.values()):
            by_service.setdefault(view.target.service, []).append(view)
            by_host.setdefault(view.target.host, []).append(view)
        self._by_service = _as_tuples(by_service)
        self._by_host = _as_tuples(by_host)

    def _iterate_current_views(self, now: float) -> Iterable[TargetView]:
        """Yield the targets; one whose address belongs to a newer target is yielded as departed.

        The entry of a crashed target stays in the store for a while, when the next target at its
        address may already have its own entry.
        """
        newest: dict[tuple[int, int], TargetView] = {}
        for view in self._targets.values():
            place = (view.target.host, view.target.port)
            known = newest.get(place)
            if known is None or _recency(view) > _recency(known):
                newest[place] = view
        kept = {each.target.name for each in newest.values()}
        self._replaced_at = {
            name: self._replaced_at.get(name, now) for name in self._targets if name not in kept
        }
        for name, view in self._targets.items():
            if name in kept:
                yield view
            else:
                yield TargetView(view.target, view.warmup_ends_at, self._replaced_at[name])


def _recency(view: TargetView) -> tuple[bool, int]:
    return view.missing_since is None, view.target.revision


def _as_tuples(groups: Mapping[KeyT, list[TargetView]]) -> dict[KeyT, tuple[TargetView, ...]]:
    return {key: tuple(views) for key, views in groups.items()}
