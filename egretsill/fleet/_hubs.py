"""Who tells whom, at a cost for each process that does not grow with the fleet.

A process tells two hubs of its cell, which are agents ranked by rendezvous. A hub tells everybody
who tells it, four times a second, what it heard; and it tells the hubs of the other cells twice a
second, which pass that on to their own. A hub that answers nothing is passed over, so the next in
rank takes its place without an election, and views that differ only make a hub more for a while.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..ranking import rank
from ._cells import Cells
from ._heartbeat import HeartbeatHead
from ._peers import SILENT_SECONDS, PeerTable

HUBS = 2  # one may fail without anybody missing a heartbeat
HUB_SILENT_SECONDS = SILENT_SECONDS  # as for any peer
FAR_HUB_SILENT_SECONDS = 2.0  # four of the rarer heartbeats between cells
FAILED_SECONDS = 3.0  # for how long a hub that answered nothing is passed over
SUBSCRIPTION_SECONDS = 3.0  # who told this process lately is told, and is told of
TOLD_CELLS = 8  # other cells that a hub tells, whatever their number
FORWARD_SECONDS = 0.4  # heartbeats of another cell come from two hubs; one of them is passed on
TAKE_SECONDS = 0.3  # and come from two own hubs; reading the reports of one is enough
MAXIMUM_SUBSCRIBERS = 300  # three times a full cell; a newcomer more finds another hub

_HUBS_KEY = b"hubs of "
_CELLS_KEY = b"cells told by "


class HubPlan:
    """Decides whom this process tells.

    Args:
        host: IPv4 address of this process, as a number.
        failure_domain: where its VM is.
        seeds: processes to tell before anything is known.
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
        self._told_since: dict[int, float] = {}
        self._heard_at: dict[int, float] = {}
        self._failed_until: dict[int, float] = {}
        self._subscribers: dict[int, tuple[str, float]] = {}
        self._forwarded_at: dict[str, float] = {}
        self._taken_at: dict[str, float] = {}

    @property
    def cell(self) -> str:
        """Return the cell that this process belongs to, empty while it knows none."""
        return self._cell

    def is_far(self, host: int) -> bool:
        """Return whether a process is known to be of another cell."""
        members = self._cells.members(self._cell)
        return host in self._cells.domains and host not in members

    def replace_seeds(self, seeds: Iterable[int]) -> None:
        """Use other seeds from now on."""
        self._seeds = tuple(each for each in seeds if each != self._host)

    def replace_cells(self, cells: Cells) -> None:
        """Take over the cells of a newer directory."""
        if cells is self._cells:
            return
        self._cells = cells
        self._cell = cells.cell_of(self._host, self._domain)
        self._ranks = {}
        self._forwarded_at = {}
        self._taken_at = {}

    def receive(self, head: HeartbeatHead, now: float) -> None:
        """Note who told this process itself, and whether it wants to be told."""
        self._heard_at[head.host] = now
        self._failed_until.pop(head.host, None)
        if not head.is_asking:
            return
        if head.host in self._subscribers or len(self._subscribers) < MAXIMUM_SUBSCRIBERS:
            self._subscribers[head.host] = (head.cell, now)

    def hubs(self, now: float) -> Sequence[int]:
        """Return the processes to tell of this one; not itself, if it is one of its cell's hubs."""
        if not self._cell:
            return self._seeds
        chosen = self._chosen(self._cell, now)
        return [each for each in chosen if each != self._host]

    def is_hub(self, now: float) -> bool:
        """Return whether this process is a hub of its cell, as far as it knows."""
        return self._host in self._chosen(self._cell, now)

    def subscribers(self) -> Sequence[int]:
        """Return the processes of the own cell that told this one lately, and newcomers."""
        return [host for host, (cell, _) in self._subscribers.items() if cell in ("", self._cell)]

    def far_hubs(self, now: float) -> Sequence[int]:
        """Return the hubs of other cells to ask, if this process is a hub itself."""
        if not self.is_hub(now):
            return ()
        others = [name for name in self._cells.names if name != self._cell]
        if len(others) > TOLD_CELLS:
            numbers = rank(_CELLS_KEY + self._cell.encode(), range(len(others)))[:TOLD_CELLS]
            others = [others[number] for number in numbers]
        return tuple(dict.fromkeys(host for name in others for host in self._chosen(name, now)))

    def far_subscribers(self, asked: Iterable[int]) -> Sequence[int]:
        """Return the processes of other cells that ask this one, but for some that it asks.

        Args:
            asked: the hubs of other cells that this process, a hub itself, is telling now.
        """
        told = set(asked)
        return tuple(
            host
            for host, (cell, _) in self._subscribers.items()
            if cell not in ("", self._cell) and host not in told
        )

    def onward(self, head: HeartbeatHead, reports: int, now: float) -> Sequence[int]:
        """Return the own cell's processes to pass a heartbeat of another cell's hub on to.

        Args:
            head: of the heartbeat, which came from its sender.
            reports: how many it has. One that only announces content has the sender's alone.
            now: local time.
        """
        is_digest = head.is_asking or reports > 1
        if not is_digest or not head.cell or head.cell == self._cell:
            return ()
        if not self._is_due(self._forwarded_at, head.cell, FORWARD_SECONDS, now):
            return ()
        return [host for host in self.subscribers() if host != head.host]

    def is_news(self, head: HeartbeatHead, now: float) -> bool:
        """Return whether the reports of a heartbeat that was passed on are worth reading."""
        return self._is_due(self._taken_at, head.cell, TAKE_SECONDS, now)

    def note_told(self, hosts: Iterable[int], now: float) -> None:
        """Note that processes are being told, and will be as long as they answer."""
        for host in hosts:
            self._told_since.setdefault(host, now)

    def note_wake(self, now: float) -> None:
        """Don't count the own sleep as the hubs' silence."""
        self._told_since = dict.fromkeys(self._told_since, now)
        self._subscribers = {host: (cell, now) for host, (cell, _) in self._subscribers.items()}

    def tick(self, now: float) -> Sequence[int]:
        """Forget what is old; return the hubs that have just failed to answer."""
        for host, (_, told_at) in tuple(self._subscribers.items()):
            if now - told_at > SUBSCRIPTION_SECONDS:
                del self._subscribers[host]
        for host, until in tuple(self._failed_until.items()):
            if until <= now:
                del self._failed_until[host]
        failed = []
        own = set(self._cells.members(self._cell)) or set(self._seeds)
        for host, since in tuple(self._told_since.items()):
            limit = HUB_SILENT_SECONDS if host in own else FAR_HUB_SILENT_SECONDS
            if now - max(since, self._heard_at.get(host, since)) >= limit:
                failed.append(host)
                self._failed_until[host] = now + FAILED_SECONDS
                del self._told_since[host]
        for host, heard_at in tuple(self._heard_at.items()):
            if now - heard_at > FAILED_SECONDS and host not in self._told_since:
                del self._heard_at[host]
        return failed

    def stop_telling(self, told: Iterable[int]) -> None:
        """Forget since when hubs were told that are told no more."""
        kept = set(told)
        self._told_since = {h: since for h, since in self._told_since.items() if h in kept}

    def _is_due(self, done_at: dict[str, float], cell: str, seconds: float, now: float) -> bool:
        """Return whether something was not done for a cell lately, and note that it is now."""
        if not self._cells.members(cell):
            # Not known here yet, so not noted either: names come from the network.
            return True
        if now - done_at.get(cell, float("-inf")) < seconds:
            return False
        done_at[cell] = now
        return True

    def _chosen(self, cell: str, now: float) -> Sequence[int]:
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
