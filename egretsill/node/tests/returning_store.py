"""A store in memory that comes back from copies, and processes that follow it and each other."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ...directory import (
    Changes,
    ContentRequest,
    Directory,
    HistoryLost,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    StoreRevision,
    Target,
    TargetPhase,
    pack_revision,
)
from ...supervision import PropagatingSupervisor
from ...timing import VirtualTimerService
from ...wire import Address, StreamServer
from .._content_exchange import ContentExchange

NAMES = ("a", "b", "c")
STEP_SECONDS = 0.1


def make_table(version: int) -> RouteTable:
    """Return a configuration that differs from that of other versions in two routes."""
    ports = (443, 1_000 + version)
    routes = [Route(f"r{port}", 9, port, (ServiceShare("lookup", 1),)) for port in ports]
    return RouteTable(version, {(each.host, each.port): each for each in routes}, 15.0)


@dataclass
class Content:
    """What a copy of the store holds.

    Attributes:
        number: its revision.
        version: the configuration's version.
        entries: entries of targets by name.
        events: name of the entry written or removed under each revision; None for a configuration.
    """

    number: int = 10
    version: int = 1
    entries: dict[str, Target] = field(default_factory=dict)
    events: dict[int, str | None] = field(default_factory=dict)

    def copy(self) -> Content:
        """Return a copy."""
        return Content(self.number, self.version, dict(self.entries), dict(self.events))


class ReturningStore:
    """The store, and the operator and targets that write to it.

    Attributes:
        era: the store's era.
        content: what the store holds.
        written: what the targets have last written of themselves; those that left are missing.
        version: the version that the operator has last written.
    """

    def __init__(self) -> None:
        self.era = 1
        self.content = Content()
        self.written: dict[str, Target] = {}
        self.version = 1
        self._copies = [self.content.copy()]
        self._writes = 0
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a new run of a target and write its entry."""
        self._writes += 1
        self._write(
            Target(
                name,
                1 + NAMES.index(name),
                80,
                "lookup",
                "a",
                TargetPhase.READY,
                4,
                0.0,
                self._writes,
                StoreRevision(0, 0),
                self._writes,
            )
        )

    def drain(self, name: str) -> None:
        """Write that a target drains."""
        if name in self.written:
            self._writes += 1
            drained = replace(self.written[name], phase=TargetPhase.DRAINING, sequence=self._writes)
            self._write(drained)

    def leave(self, name: str) -> None:
        """Remove the entry of a target for good."""
        self.written.pop(name, None)
        self._remove(name)

    def publish(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self._publish(self.version)

    def save(self) -> None:
        """Make a copy."""
        self._copies.append(self.content.copy())

    def come_back(self, copies_ago: int) -> None:
        """Come back from an earlier copy; later copies are lost as well."""
        del self._copies[max(len(self._copies) - copies_ago, 1) :]
        self.content = self._copies[-1].copy()
        self.era += 1

    def write_again(self) -> None:
        """Write again all that the store has lost."""
        if self.content.version < self.version:
            self._publish(self.version)
        for name in NAMES:
            written, stored = self.written.get(name), self.content.entries.get(name)
            if written is None:
                self._remove(name)
            elif stored is None or stored.write_number != written.write_number:
                self._write(written)

    def read(self) -> Snapshot:
        """Return everything."""
        content = self.content
        entries = [
            replace(each, revision=StoreRevision(self.era, each.revision.number))
            for each in content.entries.values()
        ]
        at = StoreRevision(self.era, content.number)
        return Snapshot(at, make_table(content.version), entries)

    def watch(self, after: StoreRevision) -> Changes:
        """Return the changes since a revision.

        Raises:
            HistoryLost: if the revision is of another era.
        """
        if after.era != self.era:
            raise HistoryLost(after, self.era)
        content, snapshot = self.content, self.read()
        names = {name for number, name in content.events.items() if number > after.number}
        return Changes(
            snapshot.at,
            snapshot.table if None in names else None,
            [each for each in snapshot.targets if each.name in names],
            [name for name in names if name is not None and name not in content.entries],
        )

    def _write(self, target: Target) -> None:
        self.written[target.name] = target
        revision = StoreRevision(self.era, self._next_number(target.name))
        self.content.entries[target.name] = replace(target, revision=revision)

    def _remove(self, name: str) -> None:
        if self.content.entries.pop(name, None) is not None:
            self._next_number(name)

    def _publish(self, version: int) -> None:
        self.content.version = version
        self._next_number(None)

    def _next_number(self, name: str | None) -> int:
        self.content.number += 1
        self.content.events[self.content.number] = name
        return self.content.number


class Process:
    """A process with its directory.

    Attributes:
        malformed: problems found in peers' messages.
    """

    def __init__(self, store: ReturningStore, timer: VirtualTimerService) -> None:
        self.malformed: list[str] = []
        self._store = store
        self._timer = timer
        self.directory = Directory()
        self._endpoint_errors: list[OSError | None] = []
        self._exchange = ContentExchange(
            StreamServer(Address("127.0.0.1", 1), self._endpoint_errors.append),
            self.directory,
            timer,
            PropagatingSupervisor(),
            self.malformed.append,
        )
        self._watched: StoreRevision | None = None
        self._pushed = StoreRevision(0, 0)

    @property
    def in_force(self) -> dict[str, Target]:
        """Return the entries in force, including awaited ones, by name."""
        views = self.directory.targets_of("lookup")
        now = self._timer.now
        return {each.target.name: each.target for each in views if not each.has_departed(now)}

    def read(self) -> None:
        """Read everything from the store."""
        snapshot = self._store.read()
        self._watched = snapshot.at
        self.directory.apply_snapshot(snapshot, self._timer.now)

    def watch(self) -> None:
        """Read the changes since the last read, or everything if that isn't possible."""
        if self._watched is None:
            return self.read()
        try:
            changes = self._store.watch(self._watched)
        except HistoryLost:
            return self.read()
        self._watched = changes.at
        self.directory.apply_changes(changes, self._timer.now)
        return None

    def push(self, peer: Process) -> None:
        """Push the changes since the last push to a peer."""
        data = self._exchange.encode_push(self._pushed)
        self._pushed = self.directory.content_revision
        if data is not None:
            peer._exchange.apply_push(data)

    def compare(self, peer: Process) -> None:
        """Fetch a peer's content if its heartbeat shows that it has newer content."""
        head = peer.directory
        if not head.has_content or not self.directory.lacks(head.content_revision, head.version):
            return
        own = self.directory
        request = ContentRequest(own.version, pack_revision(own.content_revision))
        self._exchange._apply_response(peer._exchange.respond(request))
