import random

import pytest

from .. import rank
from .._ranking import WinnerTable

KEYS = [random.Random(each).randbytes(8) for each in range(3000)]


def test_winner_is_first_in_rank() -> None:
    table = WinnerTable(range(1, 8))
    assert [table.winner(key) for key in KEYS] == [rank(key, range(1, 8))[0] for key in KEYS]
    assert [table.winner(key) for key in KEYS[:9]] == [
        rank(key, range(1, 8))[0] for key in KEYS[:9]
    ]


def test_rank_does_not_depend_on_order() -> None:
    assert rank(KEYS[0], [3, 1, 2]) == rank(KEYS[0], [2, 3, 1])


@pytest.mark.parametrize("targets", [3, 7, 20])
def test_removal_moves_only_keys_of_removed_target(targets: int) -> None:
    before, after = WinnerTable(range(targets)), WinnerTable(range(1, targets))
    moved = [key for key in KEYS if before.winner(key) != after.winner(key)]
    assert moved == [key for key in KEYS if before.winner(key) == 0]
    assert len(moved) <= 1.2 * len(KEYS) / targets


def test_second_in_rank_takes_over() -> None:
    after = WinnerTable(range(1, 7))
    for key in KEYS:
        first, second = rank(key, range(7))[:2]
        assert after.winner(key) == (second if first == 0 else first)


def test_no_targets() -> None:
    assert WinnerTable(()).winner(b"key") is None
    assert rank(b"key", ()) == ()
