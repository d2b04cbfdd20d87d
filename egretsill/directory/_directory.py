"""A process's view of routes, targets and evacuations, merged from the store and from peers.

The view never goes back: the highest configuration version wins, and content of a lower revision
is ignored. Content carries the store's revision at its last change and the time since any
process's linearizable read last confirmed it, so that processes can compare content without
reading the store.

A store that comes back from a copy begins a new era, whose content replaces that of earlier ones.
Until operators and targets have written again what the copy lacks, the order of their own writes
decides: configurations have a version, and entries a start time and a sequence.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from ._change_log import ChangeLog, ContentChanges, apply_route_changes, route_changes
from ._evacuations import Evacuation, Evacuations, EvacuationView
from ._former_routes import FormerRoutes
from ._model import Changes, Route, RouteTable, Snapshot, Target, WarmUpTerms
from ._revision import NO_REVISION, StoreRevision
from ._store_return import StoreReturn
from ._target_changes import TargetChange
from ._target_entries import TargetEntries
from ._target_index import TargetPlace
from ._target_view import NEVER, TargetView, newest_view

OUTAGE_SECONDS = 1.5  # without confirmation for longer, entries may have lapsed for want of renewal
RETENTION_SECONDS = 60.0  # default age at which a flow may be forgotten
CONFIRMATION_STEP_SECONDS = 0.25  # a relayed read seems newer by the delay, some hundredths of 1 s


class Directory:
    """Routes and targets in force at one process.

    Args:
        retention_seconds: how long departed targets and former routes are kept.
        own_place: place of the target that this process runs beside; None if there is none. Other
            entries for its VM tell it nothing of that target.
    """

    def __init__(
        self,
        retention_seconds: float = RETENTION_SECONDS,
        own_place: TargetPlace | None = None,
    ) -> None:
        self._table: RouteTable | None = None
        self._former_routes = FormerRoutes(retention_seconds)
        self._entries = TargetEntries(retention_seconds, own_place)
        self._evacuations = Evacuations()
        self._content_revision = NO_REVISION
        self._confirmed_at = NEVER
        self._first_content_at = NEVER
        self._log = ChangeLog()
        self._last_return: StoreReturn | None = None

    @property
    def generation(self) -> int:
        """Return a number that increases with each change of targets or evacuations."""
        return self._entries.generation + self._evacuations.generation

    @property
    def table(self) -> RouteTable | None:
        """Return the configuration in force."""
        return self._table

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 before the first."""
        return self._table.version if self._table else 0

    @property
    def content_revision(self) -> StoreRevision:
        """Return the store's revision at the last change in force at this process."""
        return self._content_revision

    @property
    def confirmed_at(self) -> float:
        """Return the local time at which the content was last confirmed to match the store's."""
        return self._confirmed_at

    @property
    def is_known(self) -> bool:
        """Return whether there is a configuration and the store's targets were read."""
        return self._table is not None and self.has_content

    @property
    def has_content(self) -> bool:
        """Return whether any content of the store was read."""
        return self._content_revision != NO_REVISION

    @property
    def first_content_at(self) -> float:
        """Return the local time at which the first content came; -inf before."""
        return self._first_content_at

    @property
    def outdated_entries(self) -> int:
        """Return how often entries were passed over for a later write since the start."""
        return self._entries.outdated_count

    @property
    def last_return(self) -> StoreReturn | None:
        """Return the store's last return from a copy that this process learned of."""
        return self._last_return

    @property
    def targets(self) -> Sequence[Target]:
        """Return the entries in the store, without lapsed ones that only this process keeps."""
        return [
            each.target for each in self._entries.current.values() if each.missing_since is None
        ]

    @property
    def targets_for_peers(self) -> Sequence[Target]:
        """Return the entries in the store, after earlier writes by which their targets drain."""
        return [*self._entries.denied_drains(), *self.targets]

    @property
    def evacuations(self) -> Sequence[EvacuationView]:
        """Return the evacuations in force, with those that the store has lost but not for long."""
        return self._evacuations.views

    @property
    def evacuations_in_store(self) -> Sequence[Evacuation]:
        """Return the evacuations in the store."""
        return self._evacuations.in_store

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether no new flow may go to the targets of a failure domain."""
        return failure_domain in self._evacuations

    def take_target_changes(self) -> tuple[Sequence[TargetChange], int]:
        """Remove and return what changed of targets, and how many changes were omitted."""
        return self._entries.take_changes()

    def route(self, host: int, port: int) -> Route | None:
        """Return the route of a service address."""
        return self._table.routes.get((host, port)) if self._table else None

    def warm_up_terms(self, service: str) -> WarmUpTerms | None:
        """Return what is asked for a service's targets in warm-up, None if no pace is."""
        return self._table.warm_up.get(service) if self._table else None

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
        return self._entries.index.of_service(service)

    def target_at(self, host: int, service: str) -> TargetView | None:
        """Return the newest target of a service on a VM."""
        return newest_view(
            each for each in self._entries.index.on_host(host) if each.target.service == service
        )

    def targets_on(self, host: int) -> Sequence[TargetView]:
        """Return the targets on a VM, including departed ones whose flows may still be open."""
        return self._entries.index.on_host(host)

    @property
    def target_hosts(self) -> Collection[int]:
        """Return the VMs that have targets, or had some until recently."""
        return self._entries.index.hosts

    def is_routed(self, service: str) -> bool:
        """Return whether the configuration in force has routes to a service.

        Targets of other services may have open flows of an earlier configuration, or be waiting
        for a later one. Their entries may also be of another writer, so they say nothing about
        other targets or about where processes of the system run. Without any route, every service
        counts as routed.
        """
        return self._entries.is_routed(service)

    def other_services(self, services: Collection[str]) -> Sequence[str]:
        """Return the services that have targets, except the given ones; routed ones come first."""
        others = [each for each in self._entries.index.services if each not in services]
        return sorted(others, key=lambda each: not self.is_routed(each))

    def domains(self) -> Mapping[int, str]:
        """Return the failure domain of each VM that has a target in force of a routed service.

        All processes must agree on it, also where several entries may be of a VM's target.
        """
        return self._entries.domains()

    def lacks(self, revision: StoreRevision, version: int) -> bool:
        """Return whether a peer with this content and configuration has newer ones.

        The version is compared as well: a configuration that a copy of the store lacks stays in
        force at the processes that had it, under a revision that doesn't tell.
        """
        return revision > self._content_revision or version > self.version

    def needs_complete_read(self, now: float) -> bool:
        """Return whether entries that were passed over for the order of writes can be settled.

        An entry that is still in the store after the settling time is in force, whatever
        its writer's order.
        """
        return self._entries.outdated > 0 and self._entries.is_settled(now)

    def changes_since(self, revision: StoreRevision) -> ContentChanges | None:
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
        changed = self._merge_complete(
            snapshot.at, snapshot.table, snapshot.targets, snapshot.evacuations, now
        )
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
        if changes.at.era != self._content_revision.era or changes.at < self._content_revision:
            return False
        self._start_grace_after_outage(now)
        changed = self._merge(changes, now)
        self._note_confirmation(now if confirmed_at is None else confirmed_at)
        return changed

    def apply_peer_content(
        self,
        revision: StoreRevision,
        table: RouteTable | None,
        targets: Iterable[Target],
        age_seconds: float,
        now: float,
        evacuations: Collection[Evacuation] = (),
    ) -> bool:
        """Merge a peer's content; return whether anything changed.

        Older content is ignored. But a configuration of an earlier era may be one that the store
        has lost, so it counts if its version is higher.
        """
        if revision.era < self._content_revision.era:
            return self._merge(Changes(self._content_revision, table), now)
        if revision < self._content_revision:
            return False
        self._start_grace_after_outage(now - age_seconds)
        changed = self._merge_complete(revision, table, tuple(targets), evacuations, now)
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
        if changes.base > self._content_revision or not self.has_content:
            return None
        table = None
        if changes.routes is not None and changes.routes.version > self.version:
            if self._table is None or self.version not in changes.routes.base_versions:
                return None
            table = apply_route_changes(self._table, changes.routes)
        self._start_grace_after_outage(now - age_seconds)
        changed = self._merge(changes.as_changes(table), now)
        self._content_revision = changes.revision
        self.confirm(changes.revision, age_seconds, now)
        return changed

    def confirm(self, revision: StoreRevision, age_seconds: float, now: float) -> None:
        """Record that a read by any process confirmed a revision some seconds ago.

        Processes relay confirmations, so the same read arrives by several paths and seems newer
        each time. Only a confirmation that is newer by more than that counts as another read.
        """
        confirmed_at = now - age_seconds
        is_known = revision == self._content_revision and self.has_content
        if is_known and confirmed_at - self._confirmed_at > CONFIRMATION_STEP_SECONDS:
            self._start_grace_after_outage(confirmed_at)
            self._note_confirmation(confirmed_at)

    def tick(self, now: float) -> bool:
        """Drop what has expired; return whether targets or evacuations may have changed."""
        self._former_routes.sweep(now)
        is_dropped = self._entries.is_settled(now) and self._evacuations.drop_awaited()
        return self._entries.tick(now) or is_dropped

    def _note_confirmation(self, confirmed_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._entries.note_confirmation(self._confirmed_at)

    def _start_grace_after_outage(self, now: float) -> None:
        if self._confirmed_at != NEVER and now - self._confirmed_at > OUTAGE_SECONDS:
            self._entries.start_grace(now)

    def _merge_complete(
        self,
        revision: StoreRevision,
        table: RouteTable | None,
        targets: Sequence[Target],
        evacuations: Collection[Evacuation],
        now: float,
    ) -> bool:
        """Merge complete content, which may be of a later era."""
        before, is_first = self._content_revision, not self.has_content
        is_return = not is_first and revision.era > before.era
        if is_return:
            self._entries.start_settling(now)
        self._entries.forget_outdated()
        names = {each.name for each in targets}
        removed = [name for name in self._entries.current if name not in names]
        is_settled = self._entries.is_settled(now)
        restored = self._evacuations.end_missing(evacuations, revision, is_settled)
        changed = self._merge(
            Changes(
                revision,
                table,
                targets,
                tuple(removed),
                evacuations=tuple(evacuations),
                restored=restored,
            ),
            now,
        )
        if is_first:
            self._first_content_at = now
        if is_first or is_return:
            self._content_revision = revision
            self._log.clear()
        if is_return:
            version = table.version if table is not None else 0
            self._last_return = StoreReturn(
                before, revision, version, len(removed), self._entries.outdated
            )
        return changed or is_return

    def _merge(self, changes: Changes, now: float) -> bool:
        """Merge changes; an exception leaves the content, its revision and the log as they were.

        Otherwise entries would be in force that this process's peers never learn of.
        """
        before, after = self._table, self._table
        if changes.table is not None and changes.table.version > self.version:
            after = changes.table
        is_newer = after is not before
        routes = None
        if is_newer and before is not None and after is not None:
            routes = route_changes(before, after)
            # Only asked about for addresses without a route, and repeated if the next step fails.
            self._former_routes.record_change(before, after, now)
        written, removed = self._entries.merge(changes.changed, changes.removed, now)
        evacuations, restored = self._evacuations.merge(
            changes.evacuations, changes.restored, changes.at, now
        )
        if not any((is_newer, written, removed, evacuations, restored)):
            return False
        self._table = after
        if is_newer and after is not None:
            self._entries.set_routed_services(after.services or None, now)
        base = self._content_revision
        if base == NO_REVISION or changes.at <= base or (is_newer and before is None):
            self._log.clear()
        else:
            self._log.append(
                ContentChanges(base, changes.at, routes, written, removed, evacuations, restored)
            )
        self._content_revision = max(changes.at, base)
        return True
