"""Log lines and metrics about the content in force."""

from __future__ import annotations

from ..directory import Directory, StoreReturn
from ..endpoints import Address, format_ipv4
from ..observation import Journal, Metrics


class DirectoryLog:
    """Records what changes in a directory."""

    def __init__(self, directory: Directory, metrics: Metrics, journal: Journal) -> None:
        self._directory = directory
        self._metrics = metrics
        self._journal = journal
        self._store_return: StoreReturn | None = None

    def note_change(self, source: str) -> None:
        """Record content that was read by this process or fetched from the peer `source`."""
        directory = self._directory
        targets = directory.targets
        self._metrics.revision_in_force.set(directory.version)
        self._metrics.store_era.set(directory.content_revision.era)
        self._note_store_return(source)
        self._journal.record(
            "content-changed",
            source=source,
            version=directory.version,
            revision=str(directory.content_revision),
            targets=len(targets),
            unrouted=sum(not directory.is_routed(each.service) for each in targets),
        )
        self.note_target_changes()

    def note_target_changes(self) -> None:
        """Record what is believed of targets now and wasn't at the last call."""
        directory = self._directory
        changes, omitted = directory.take_target_changes()
        for each in changes:
            target = each.target
            self._journal.record(
                "target-changed",
                change=each.kind.value,
                target=target.name,
                address=str(Address(format_ipv4(target.host), target.port)),
                service=target.service,
                phase=target.phase.value,
                started=target.started_milliseconds,
                sequence=target.sequence,
                written_at=str(target.revision),
                by=each.by,
                revision=str(directory.content_revision),
            )
        if omitted:
            self._journal.record("target-changes-omitted", count=omitted)

    def note_outdated_entries(self) -> None:
        """Record entries that were passed over since the last call."""
        counter = self._metrics.entries_outdated
        count = self._directory.outdated_entries - int(counter.value())
        if not count:
            return
        counter.increment(amount=count)
        self._journal.record(
            "entries-outdated", count=count, revision=str(self._directory.content_revision)
        )

    def _note_store_return(self, source: str) -> None:
        found = self._directory.last_return
        if found is None or found is self._store_return:
            return
        self._store_return = found
        self._metrics.store_returns.increment()
        self._journal.record(
            "store-returned",
            source=source,
            before=str(found.before),
            revision=str(found.after),
            version=self._directory.version,
            version_read=found.version_read,
            lacking=found.lacking,
            outdated=found.outdated,
        )
