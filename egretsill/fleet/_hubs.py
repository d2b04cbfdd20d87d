"""Selection of heartbeat recipients, at a cost per process that does not grow with the fleet.

Each process sends its heartbeats to two hubs of its cell, which are agents ranked by rendezvous
hashing. A hub sends what it received to its subscribers four times a second, and to the hubs of
other cells twice a second, which forward it within their own cells. A hub that doesn't answer is
skipped, so the next in rank replaces it without an election. Processes whose views differ merely
use an extra hub for a while.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..ranking import rank
from ._cells import Cells
from ._heartbeat import HeartbeatHead
from ._peers import SILENT_SECONDS, PeerTable

HUBS = 2  # one may fail without any process missing a heartbeat
HUB_SILENT_SECONDS = SILENT_SECONDS  # as for any peer
FAR_HUB_SILENT_SECONDS = 2.0  # four heartbeats between cells, which are sent less often
FAILED_HUB_SECONDS = 3.0  # how long a hub that didn't answer is skipped
SUBSCRIPTION_SECONDS = 3.0  # lifetime of a subscription that is not renewed
MAXIMUM_CONTACTED_CELLS = 8  # other cells that a hub sends to, however many there are
FORWARD_INTERVAL_SECONDS = 0.4  # both hubs of another cell send; only one heartbeat is forwarded
READ_INTERVAL_SECONDS = 0.3  # both own hubs forward it; reading the reports once is enough
MAXIMUM_SUBSCRIBERS = 300  # three times a full cell; further processes use another hub

_HUBS_KEY = b"hubs of "
_CELLS_KEY = b"cells told by "


class HubPlan:
    """Decides where this process sends its heartbeats.

    Args:
        host: IPv4 address of this process, as a number.
        failure_domain: failure domain of its VM; if empty, that of the target on it, if any.
        seeds: processes to contact before the directory is known.
    """

    def __init__(
        self, host: int, failure_domain: str, seeds: Iterable[int], peers: PeerTable
    ) -> None:
        self._host = host
        self._domain = failure_domain
        self._seeds = tuple(each for each in seeds if each != host)
        self._peers = peers
        self._cells = Cells({})
        self._cell = ""
        self._ranks: dict[str, Sequence[int]] = {}
        self._contacted_since: dict[int, float] = {}
        self._last_seen: dict[int, float] = {}
        self._failed_until: dict[int, float] = {}
        self._subscribers: dict[int, tuple[str, float]] = {}
        self._forwarded_at: dict[str, float] = {}
        self._read_at: dict[str, float] = {}

    @property
    def cell(self) -> str:
        """Return the cell that this process belongs to; empty while it knows none."""
        return self._cell

    def is_far(self, host: int) -> bool:
        """Return whether a process is known to belong to another cell."""
        members = self._cells.members(self._cell)
        return host in self._cells.domains and host not in members

    def replace_seeds(self, seeds: Iterable[int]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(each for each in seeds if each != self._host)

    def replace_cells(self, cells: Cells) -> None:
        """Replace the cells by those of a newer directory."""
        if cells is self._cells:
            return
        domain = self._domain or cells.domains.get(self._host, "")
        self._cell = cells.cell_of(self._host, domain)
        self._cells = cells
        self._ranks = {}
        self._forwarded_at = {}
        self._read_at = {}

    def receive(self, head: HeartbeatHead, now: float) -> None:
        """Record a heartbeat that came directly from its sender, and its subscription if any."""
        self._last_seen[head.host] = now
        self._failed_until.pop(head.host, None)
        if not head.is_subscribing:
            return
        if head.host in self._subscribers or len(self._subscribers) < MAXIMUM_SUBSCRIBERS:
            self._subscribers[head.host] = (head.cell, now)

    def hubs(self, now: float) -> Sequence[int]:
        """Return the other hubs of the own cell, or the seeds while the cell is unknown."""
        if not self._cell:
            return self._seeds
        chosen = self._select_hubs(self._cell, now)
        return [each for each in chosen if each != self._host]

    def is_hub(self, now: float) -> bool:
        """Return whether this process is a hub of its cell in its own view."""
        return self._host in self._select_hubs(self._cell, now)

    def subscribers(self) -> Sequence[int]:
        """Return the subscribers of the own cell, and those that know no cell yet."""
        return [host for host, (cell, _) in self._subscribers.items() if cell in ("", self._cell)]

    def far_hubs(self, now: float) -> Sequence[int]:
        """Return the hubs of other cells to contact, if this process is a hub itself."""
        if not self.is_hub(now):
            return ()
        others = [name for name in self._cells.names if name != self._cell]
        if len(others) > MAXIMUM_CONTACTED_CELLS:
            numbers = rank(_CELLS_KEY + self._cell.encode(), range(len(others)))[
                :MAXIMUM_CONTACTED_CELLS
            ]
            others = [others[number] for number in numbers]
        return tuple(
            dict.fromkeys(host for name in others for host in self._select_hubs(name, now))
        )

    def far_subscribers(self, contacted: Iterable[int]) -> Sequence[int]:
        """Return the subscribers of other cells that this process is not contacting anyway.

        Args:
            contacted: the hubs of other cells that this process, a hub itself, sends to now.
        """
        excluded = set(contacted)
        return tuple(
            host
            for host, (cell, _) in self._subscribers.items()
            if cell not in ("", self._cell) and host not in excluded
        )

    def forward_recipients(self, head: HeartbeatHead, reports: int, now: float) -> Sequence[int]:
        """Return the processes of the own cell to which to forward another cell's heartbeat.

        Args:
            head: head of the heartbeat, which came directly from its sender.
            reports: number of its reports. A mere announcement of content has only the sender's.
            now: local time.
        """
        is_digest = head.is_subscribing or reports > 1
        if not is_digest or not head.cell or head.cell == self._cell:
            return ()
        if not self._is_due(self._forwarded_at, head.cell, FORWARD_INTERVAL_SECONDS, now):
            return ()
        return [host for host in self.subscribers() if host != head.host]

    def should_read_reports(self, head: HeartbeatHead, now: float) -> bool:
        """Return whether to read the reports of a forwarded heartbeat.

        The copy that the second hub forwards is skipped.
        """
        return self._is_due(self._read_at, head.cell, READ_INTERVAL_SECONDS, now)

    def note_contacted(self, hosts: Iterable[int], now: float) -> None:
        """Record that heartbeats go to these processes from now on, unless recorded already."""
        for host in hosts:
            self._contacted_since.setdefault(host, now)

    def note_scheduling_pause(self, now: float) -> None:
        """Restart the timers after a scheduling pause, which must not count as silence of hubs."""
        self._contacted_since = dict.fromkeys(self._contacted_since, now)
        self._subscribers = {host: (cell, now) for host, (cell, _) in self._subscribers.items()}

    def tick(self, now: float) -> Sequence[int]:
        """Drop expired state; return the hubs that have just been found not to answer."""
        for host, (_, subscribed_at) in tuple(self._subscribers.items()):
            if now - subscribed_at > SUBSCRIPTION_SECONDS:
                del self._subscribers[host]
        for host, until in tuple(self._failed_until.items()):
            if until <= now:
                del self._failed_until[host]
        failed = []
        own = set(self._cells.members(self._cell)) or set(self._seeds)
        for host, since in tuple(self._contacted_since.items()):
            limit = HUB_SILENT_SECONDS if host in own else FAR_HUB_SILENT_SECONDS
            if now - max(since, self._last_seen.get(host, since)) >= limit:
                failed.append(host)
                self._failed_until[host] = now + FAILED_HUB_SECONDS
                del self._contacted_since[host]
        for host, last_seen_at in tuple(self._last_seen.items()):
            if now - last_seen_at > FAILED_HUB_SECONDS and host not in self._contacted_since:
                del self._last_seen[host]
        return failed

    def retain_contacts(self, contacted: Iterable[int]) -> None:
        """Drop the timers of hubs to which heartbeats are no longer sent.

        Args:
            contacted: the hubs to which they still are.
        """
        kept = set(contacted)
        self._contacted_since = {
            h: since for h, since in self._contacted_since.items() if h in kept
        }

    def _is_due(self, done_at: dict[str, float], cell: str, seconds: float, now: float) -> bool:
        """Return whether an action is due again for a cell, and if so record it as done now."""
        if not self._cells.members(cell):
            # Unknown names come from the network and aren't recorded.
            return True
        if now - done_at.get(cell, float("-inf")) < seconds:
            return False
        done_at[cell] = now
        return True

    def _select_hubs(self, cell: str, now: float) -> Sequence[int]:
        ranked = self._ranks.get(cell)
        if ranked is None:
            ranked = rank(_HUBS_KEY + cell.encode(), self._cells.members(cell))
            self._ranks[cell] = ranked
        usable = []
        for host in ranked:
            if host == self._host or self._is_usable(host, now):
                usable.append(host)
                if len(usable) == HUBS:
                    break
        return usable or ranked[:HUBS]

    def _is_usable(self, host: int, now: float) -> bool:
        if self._failed_until.get(host, now) > now or self._peers.is_silent(host):
            return False
        peer = self._peers.peers.get(host)
        return peer is None or not peer.report.is_leaving
