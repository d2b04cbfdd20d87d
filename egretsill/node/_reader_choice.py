"""Which processes hold a watch at the store, as far as this one can tell."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ..directory import READERS, Directory, TargetPhase, reader_order
from ..fleet import PeerTable


class ReaderChoice:
    """The first agents of the readers' rank that reach the store.

    Everybody ranks the VMs of the directory's targets, which everybody knows. Before anything is
    known of targets, the seeds are ranked.

    Args:
        host: IPv4 address of this process, as a number.
        is_able: returns whether this process itself reaches the store and stays.
    """

    def __init__(
        self,
        host: int,
        seeds: Iterable[int],
        directory: Directory,
        peers: PeerTable,
        is_able: Callable[[], bool],
    ) -> None:
        self._host = host
        self._seeds = tuple(seeds)
        self._directory = directory
        self._peers = peers
        self._is_able = is_able
        self._generation = -1
        self._order: Sequence[int] = ()

    def replace_seeds(self, seeds: Iterable[int]) -> None:
        """Use other seeds from now on."""
        self._seeds = tuple(seeds)
        self._generation = -1

    def readers(self) -> Sequence[int]:
        """Return the addresses of the readers, the first in rank first."""
        if self._generation != self._directory.generation:
            self._generation = self._directory.generation
            hosts = {
                each.host for each in self._directory.targets if each.phase is TargetPhase.READY
            }
            self._order = reader_order(hosts or self._seeds)
        chosen: list[int] = []
        for host in self._order:
            if self._is_able() if host == self._host else self._peers.can_read(host):
                chosen.append(host)
                if len(chosen) == READERS:
                    break
        return chosen
