"""The groups of VMs within which processes tell each other most.

A failure domain is one cell while it has few targets, and several of about equal size beyond that,
so that what one process sends, keeps and ranks doesn't grow with the fleet. A cell's members
follow from the directory alone, so everybody who knows the same targets knows the same cells.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from xxhash import xxh3_64_intdigest

from ..ranking import rank

CELL_TARGETS = 48  # above it a domain is split; some hundred processes with their balancers


class Cells:
    """The VMs of targets by cell.

    Args:
        domains: failure domain of each target's VM.
    """

    def __init__(self, domains: Mapping[int, str]) -> None:
        self._domains = dict(domains)
        sizes: dict[str, int] = {}
        for domain in self._domains.values():
            sizes[domain] = sizes.get(domain, 0) + 1
        self._counts = {domain: -(-size // CELL_TARGETS) for domain, size in sizes.items()}
        members: dict[str, list[int]] = {}
        for host, domain in sorted(self._domains.items()):
            members.setdefault(self._place(host, domain), []).append(host)
        self._members = {name: tuple(hosts) for name, hosts in sorted(members.items())}

    @property
    def names(self) -> Sequence[str]:
        """Return the names of the cells that have targets."""
        return tuple(self._members)

    @property
    def domains(self) -> Mapping[int, str]:
        """Return the failure domain of each target's VM."""
        return self._domains

    def members(self, cell: str) -> Sequence[int]:
        """Return the VMs of targets in a cell, in order of address."""
        return self._members.get(cell, ())

    def cell_of(self, host: int, domain: str) -> str:
        """Return the cell of a VM, empty if nothing is known.

        A VM in a failure domain without targets joins a cell of another domain.
        """
        if domain in self._counts:
            return self._place(host, domain)
        if not self._members:
            return ""
        names = self.names
        return names[xxh3_64_intdigest(host.to_bytes(4, "big")) % len(names)]

    def _place(self, host: int, domain: str) -> str:
        count = self._counts[domain]
        # Rendezvous, so that one cell more moves only the share that goes there.
        number = rank(host.to_bytes(4, "big"), range(count))[0] if count > 1 else 0
        return f"{domain}/{number}"
