"""Selection of the processes that hold a watch at the store, in this process's view."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ..directory import READERS, Directory, TargetPhase, reader_order
from ..fleet import PeerTable

HEARD_SECONDS = 2.0  # hubs of other cells report twice a second, and one of them may have failed


class ReaderChoice:
    """Selects the first agents in the readers' ranking that reach the store.

    All processes rank the VMs of the directory's targets, which they all know. Entries of services
    without a route are left out, since their VMs may not have an agent. Another writer's entry of a
    routed service may name such a VM too, so one of which no process has heard is chosen only while
    too few others are known, or as long as this process may not have been told of all. Until
    targets are known, the seeds are ranked.

    Args:
        host: IPv4 address of this process, as a number.
        can_read_itself: returns whether this process reaches the store and is not leaving.
    """

    def __init__(
        self,
        host: int,
        seeds: Iterable[int],
        directory: Directory,
        peers: PeerTable,
        can_read_itself: Callable[[], bool],
    ) -> None:
        self._host = host
        self._seeds = tuple(seeds)
        self._directory = directory
        self._peers = peers
        self._can_read_itself = can_read_itself
        self._generation = -1
        self._order: Sequence[int] = ()

    def replace_seeds(self, seeds: Iterable[int]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seeds)
        self._generation = -1

    def readers(self) -> Sequence[int]:
        """Return the addresses of the readers in order of rank."""
        generation = self._directory.generation
        if self._generation != generation:
            hosts = {
                each.host
                for each in self._directory.targets
                if each.phase is TargetPhase.READY and self._directory.is_routed(each.service)
            }
            self._order = reader_order(hosts or self._seeds)
            self._generation = generation
        chosen: list[int] = []
        unheard: list[int] = []
        for host in self._order:
            if not (self._can_read_itself() if host == self._host else self._peers.can_read(host)):
                continue
            if self._is_unheard(host):
                unheard.append(host)
                continue
            chosen.append(host)
            if len(chosen) == READERS:
                break
        return [*chosen, *unheard[: READERS - len(chosen)]]

    def _is_unheard(self, host: int) -> bool:
        """Return whether no heartbeat of a VM was received, though it should have been by now."""
        if host == self._host or host in self._peers.peers:
            return False
        return self._peers.listening_seconds >= HEARD_SECONDS
