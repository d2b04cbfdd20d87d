"""Ranking of the VMs on which a flow may be.

It depends only on the flow, the directory and the failure domain of the balancer that received the
packet.

The near cell of a flow is the first in rank among the cells of the balancer's failure domain. A new
flow goes to one of the first two targets in the rendezvous rank of the near cell, or to the first
target of one of the two other cells that rank first for the flow. The first targets of the two
cells that rank first overall are the flow's homes, or the first two targets if there is only one
cell. The agent that has a flow notifies them once the flow has reached a minimum age. The owner of
a flow is therefore found among the first five VMs, two of the near cell and the first of each of
the three cells that rank first, regardless of the number of targets. Only flows that were placed
elsewhere and not announced yet need a longer search.

Ranking first the cells and then the targets within a cell (two-level rendezvous hashing) costs time
in proportion to the number of cells plus the size of a cell, not to the number of targets.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from ..directory import Directory, TargetView
from ..fleet import Cells
from ..ranking import bucket_of
from ._packet import FlowKey
from ._tunnel import domain_hash

# Number of candidates in the near cell, and of other cells with one candidate each (the power of
# two choices; Mitzenmacher, 2001).
CHOICES = 2
HOME_COUNT = 2  # one remains if the other has failed and this isn't detected yet
# VMs that a search begins with: the candidates in the near cell, the homes, and one home more.
SEARCH_CANDIDATES = CHOICES + HOME_COUNT + 1


class ServiceRank:
    """The VMs of one service's targets, ranked for flows.

    Args:
        views: the service's targets, including departed ones.
        cells: the cells of all VMs.
    """

    def __init__(self, views: Sequence[TargetView], cells: Cells) -> None:
        self._views: dict[int, TargetView] = {}
        departed: dict[int, None] = {}
        members: dict[str, list[int]] = {}
        domains: dict[str, str] = {}
        for view in views:
            host = view.target.host
            if view.missing_since is not None and view.grace_until <= view.missing_since:
                departed[host] = None  # removed without a grace period
                continue
            if host not in self._views:
                cell = cells.cell_of(host, view.target.failure_domain)
                members.setdefault(cell, []).append(host)
                domains[cell] = view.target.failure_domain
            self._views[host] = view
        self._departed = tuple(host for host in departed if host not in self._views)
        self._members = {
            cell: tuple((host, host.to_bytes(4, "big")) for host in sorted(hosts))
            for cell, hosts in sorted(members.items())
        }
        self._cells = tuple((cell, cell.encode()) for cell in self._members)
        self._domain_cells: dict[str, list[str]] = {}
        for cell in self._members:
            self._domain_cells.setdefault(domains[cell], []).append(cell)

    @property
    def views(self) -> Mapping[int, TargetView]:
        """Return the targets by VM, with those missing from the store that got a grace period."""
        return self._views

    def cells(self, bucket: int) -> Sequence[str]:
        """Return the cells, ranked for the hash bucket of a flow."""
        ranked = sorted(self._cells, key=lambda each: xxh3_64_intdigest(each[1], bucket))
        return [cell for cell, _ in ranked]

    def near_cell(self, domain: str, bucket: int) -> str:
        """Return the name of the cell that ranks first for a bucket in a failure domain.

        It is empty if the domain has no targets of the service.
        """
        cells = self._domain_cells.get(domain, ())
        if len(cells) < 2:
            return cells[0] if cells else ""
        return min(cells, key=lambda cell: xxh3_64_intdigest(cell.encode(), bucket))

    def ranked(self, cell: str, bucket: int) -> Sequence[int]:
        """Return the VMs of a cell, ranked for the hash bucket of a flow."""
        digest = xxh3_64_intdigest
        scored = [(digest(encoded, bucket), host) for host, encoded in self._members.get(cell, ())]
        scored.sort(reverse=True)
        return [host for _, host in scored]

    def first(self, cell: str, bucket: int) -> int | None:
        """Return the VM that ranks first in a cell, None if it has no targets of the service."""
        digest = xxh3_64_intdigest
        members = self._members.get(cell)
        return (
            max((digest(encoded, bucket), host) for host, encoded in members)[1]
            if members
            else None
        )

    def homes(self, flow: FlowKey) -> Sequence[int]:
        """Return the VMs whose agents are notified of a flow's location."""
        return self._homes(bucket_of(flow.hash_key), HOME_COUNT)

    def search(self, flow: FlowKey, domain: str) -> Iterator[int]:
        """Yield the VMs on which a flow may be, the likeliest first, each once.

        Args:
            flow: the flow.
            domain: failure domain of the balancer that received its packet.
        """
        seen: set[int] = set()
        for host in self._search(bucket_of(flow.hash_key), domain):
            if host not in seen:
                seen.add(host)
                yield host

    def _search(self, bucket: int, domain: str) -> Iterator[int]:
        near = self.ranked(self.near_cell(domain, bucket), bucket)
        # One home more than is notified: new flows may go to the first two cells other than the
        # near cell, which are among the first three cells.
        homes = self._homes(bucket, HOME_COUNT + 1)
        yield from near[:1]
        yield from homes[:1]
        yield from near[1:CHOICES]
        yield from homes[1:]
        yield from near
        for cell in self.cells(bucket):
            yield from self.ranked(cell, bucket)
        yield from self._departed

    def _homes(self, bucket: int, count: int) -> Sequence[int]:
        cells = self.cells(bucket)
        if len(cells) == 1:
            return self.ranked(cells[0], bucket)[:count]
        firsts = (self.first(cell, bucket) for cell in cells[:count])
        return [host for host in firsts if host is not None]


class Candidates:
    """The ranks of all services, recomputed when the directory's targets change.

    Args:
        directory: the targets.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._generation = -1
        self._cells = Cells({})
        self._domains: dict[int, str] = {}
        self._ranks: dict[str, ServiceRank] = {}

    @property
    def cells(self) -> Cells:
        """Return the cells of the current targets; the same object until their VMs change."""
        self._refresh()
        return self._cells

    def domain_with_hash(self, failure_domain_hash: int) -> str:
        """Return the name of the failure domain with this hash, empty if no target is in it."""
        self._refresh()
        return self._domains.get(failure_domain_hash, "")

    def of(self, service: str) -> ServiceRank:
        """Return the rank of a service's targets."""
        self._refresh()
        found = self._ranks.get(service)
        if found is None:
            found = ServiceRank(self._directory.targets_of(service), self._cells)
            self._ranks[service] = found
        return found

    def _refresh(self) -> None:
        generation = self._directory.generation
        if self._generation == generation:
            return
        domains = self._directory.domains()
        if domains != self._cells.domains:
            cells = Cells(domains)
            hashed = {domain_hash(each): each for each in domains.values()}
            self._cells, self._domains = cells, hashed
        self._ranks = {}
        # Assigned last: if a step fails, the next query fails too instead of using old ranks.
        self._generation = generation
