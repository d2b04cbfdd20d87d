"""Tests of the division of the fleet into cells."""

from __future__ import annotations

from collections import Counter

import pytest

from .. import CELL_TARGETS, Cells


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
