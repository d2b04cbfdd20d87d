"""Tests of the division of the fleet into cells."""

from __future__ import annotations

from collections import Counter

import pytest

from ...directory.tests.revisions import rev
from .. import (
    CELL_TARGETS,
    MAXIMUM_REPORTS,
    Cells,
    Heartbeat,
    HeartbeatHead,
    PeerReport,
    decode_head,
    encode_heartbeat,
)


def domains(targets: int, count: int) -> dict[int, str]:
    return {0x0A000000 + number: f"d{number % count}" for number in range(targets)}


@pytest.mark.parametrize(("targets", "count"), [(15, 3), (42, 3), (110, 5), (1_000, 7), (7_700, 7)])
def test_each_vm_is_in_one_cell_of_bounded_size(targets: int, count: int) -> None:
    known = domains(targets, count)
    cells = Cells(known)
    members = [host for name in cells.names for host in cells.members(name)]
    assert sorted(members) == sorted(known)
    sizes = [len(cells.members(name)) for name in cells.names]
    assert max(sizes) <= 2 * CELL_TARGETS


def test_small_domain_is_one_cell() -> None:
    assert Cells(domains(110, 5)).names == ("d0/0", "d1/0", "d2/0", "d3/0", "d4/0")


def test_added_cell_moves_only_its_share() -> None:
    before, after = Cells(domains(CELL_TARGETS * 4, 1)), Cells(domains(CELL_TARGETS * 4 + 1, 1))
    moved = sum(before.cell_of(host, "d0") != after.cell_of(host, "d0") for host in before.domains)
    assert 0 < moved < 0.35 * len(before.domains)


def test_vm_in_a_domain_without_targets_joins_another_cell() -> None:
    cells = Cells(domains(110, 5))
    joined = Counter(cells.cell_of(host, "elsewhere") for host in range(500))
    assert set(joined) == set(cells.names)
    assert Cells({}).cell_of(1, "a") == ""


LONG_DOMAINS = {
    "ascii": "d" * 200,
    "cut in a character": "d" + "\u0437" * 100,
    "cut in a long character": "d" * 78 + "\U0001f3ed",
}


# Guards against heartbeats that every peer rejects or attributes to another cell, as the name of
# the sender's cell was cut, possibly in the middle of a character.
@pytest.mark.parametrize("domain", LONG_DOMAINS.values(), ids=LONG_DOMAINS)
@pytest.mark.parametrize("targets", [3, 3 * CELL_TARGETS])
def test_cell_of_a_domain_with_a_long_name_is_known_to_its_peers(domain: str, targets: int) -> None:
    similar = domain[:-1] + "e"
    known = {number: domain if number % 2 else similar for number in range(1, 2 * targets + 1)}
    cells = Cells(known)
    for host, its_domain in known.items():
        cell = cells.cell_of(host, its_domain)
        head = HeartbeatHead(host, 1, 1, 1, rev(1), 0, cell)
        data = encode_heartbeat(Heartbeat(head, [PeerReport(host)] * MAXIMUM_REPORTS))
        assert len(data) <= 1_200
        assert host in cells.members(decode_head(data).cell)
