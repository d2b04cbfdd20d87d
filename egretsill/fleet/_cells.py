"""Division of the fleet into cells: groups of VMs that exchange most of the heartbeats.

A failure domain with few targets is one cell; a larger one is split into several of about equal
size, so that the messages, state and ranking of one process don't grow with the fleet. Membership
is computed from the directory alone, so processes with the same targets compute the same cells.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from ..ranking import rank

CELL_TARGETS = 48  # larger domains are split; about a hundred processes with the balancers
MAXIMUM_CELL_BYTES = 80  # of a cell's name in UTF-8, which every heartbeat carries
MAXIMUM_NUMBER_CHARACTERS = 8  # of the number with its slash; ten million cells of a domain
MAXIMUM_DOMAIN_BYTES = MAXIMUM_CELL_BYTES - MAXIMUM_NUMBER_CHARACTERS


class Cells:
    """The VMs of targets, grouped by cell.

    Args:
        domains: failure domain of each target's VM.
    """

    def __init__(self, domains: Mapping[int, str]) -> None:
        self._domains = dict(domains)
        sizes: dict[str, int] = {}
        for domain in self._domains.values():
            sizes[domain] = sizes.get(domain, 0) + 1
        self._cell_counts = {domain: -(-size // CELL_TARGETS) for domain, size in sizes.items()}
        self._short_names = {domain: _shorten(domain) for domain in sizes}
        members: dict[str, list[int]] = {}
        for host, domain in sorted(self._domains.items()):
            members.setdefault(self._cell_name(host, domain), []).append(host)
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
        """Return the cell of a VM, or an empty string if no targets are known.

        A VM in a failure domain without targets joins a cell of another domain.
        """
        if domain in self._cell_counts:
            return self._cell_name(host, domain)
        if not self._members:
            return ""
        names = self.names
        return names[xxh3_64_intdigest(host.to_bytes(4, "big")) % len(names)]

    def _cell_name(self, host: int, domain: str) -> str:
        count = self._cell_counts[domain]
        # Rendezvous hashing: an added cell moves only the VMs that it takes over.
        number = rank(host.to_bytes(4, "big"), range(count))[0] if count > 1 else 0
        return f"{self._short_names[domain]}/{number}"


def _shorten(domain: str) -> str:
    """Return a name of a failure domain that fits in a heartbeat and tells it from others."""
    encoded = domain.encode()
    if len(encoded) <= MAXIMUM_DOMAIN_BYTES:
        return domain
    mark = "~" + xxh3_64_hexdigest(encoded)
    return encoded[: MAXIMUM_DOMAIN_BYTES - len(mark)].decode(errors="ignore") + mark
