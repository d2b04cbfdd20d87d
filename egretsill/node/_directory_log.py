"""Log lines and metrics about the content in force."""

from __future__ import annotations

from collections.abc import Sequence

from ..directory import Directory, EvacuationView, StoreReturn
from ..endpoints import Address, format_ipv4
from ..observation import JSON, Journal, Metrics

MAXIMUM_NAMED_SERVICES = 5  # in one line; a failure domain may have targets of many more


class DirectoryLog:
    """Records what changes in a directory."""

    def __init__(self, directory: Directory, metrics: Metrics, journal: Journal) -> None:
        self._directory = directory
        self._metrics = metrics
        self._journal = journal
        self._store_return: StoreReturn | None = None
        self._evacuations: dict[str, EvacuationView] = {}

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
        self.note_evacuations(source)
        self.note_target_changes()

    def note_tick(self) -> None:
        """Record what the passing of time has changed of the content."""
        self.note_evacuations("")
        self.note_outdated_entries()
        self.note_target_changes()

    def note_evacuations(self, source: str) -> None:
        """Record the failure domains that were evacuated or restored since the last call.

        Args:
            source: as for a change; empty if this process dropped an order that was awaited.
        """
        directory = self._directory
        before = self._evacuations
        self._evacuations = {each.evacuation.failure_domain: each for each in directory.evacuations}
        self._metrics.domains_evacuated.set(len(self._evacuations))
        for domain, view in self._evacuations.items():
            if before.get(domain) == view:
                continue
            here = [each for each in directory.targets if each.failure_domain == domain]
            unserved = self._unserved_services({each.service for each in here})
            self._journal.record(
                "domain-evacuated",
                domain=domain,
                source=source,
                ordered_at=str(view.evacuation.revision),
                awaited=view.is_awaited,
                targets=len(here),
                unserved=",".join(unserved[:MAXIMUM_NAMED_SERVICES]),
                unserved_count=len(unserved),
                revision=str(directory.content_revision),
            )
        for domain in before.keys() - self._evacuations.keys():
            self._journal.record(
                "domain-restored",
                domain=domain,
                source=source,
                ordered_at=str(before[domain].evacuation.revision),
                revision=str(directory.content_revision),
            )

    def _unserved_services(self, services: set[str]) -> Sequence[str]:
        """Return the routed services among some that have targets in evacuated domains only."""
        directory = self._directory
        served = {
            each.service
            for each in directory.targets
            if not directory.is_evacuated(each.failure_domain)
        }
        return sorted(each for each in services - served if directory.is_routed(each))

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


def evacuation_status(directory: Directory, now: float) -> Sequence[JSON]:
    """Return the evacuated failure domains for the status page, each with its order's revision."""
    return [
        {
            "domain": each.evacuation.failure_domain,
            "revision": str(each.evacuation.revision),
            "known_for": round(now - each.known_since, 3),
            "awaited": each.is_awaited,
        }
        for each in directory.evacuations
    ]
