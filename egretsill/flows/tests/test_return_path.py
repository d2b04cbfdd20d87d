from __future__ import annotations

from collections.abc import Sequence

import pytest

from ...configuration import Address
from .._return_path import MEMBERSHIP_LAG_SECONDS, SILENCE_SECONDS, ReturnPath

FIRST = Address("10.0.0.1", 1)
SECOND = Address("10.0.0.2", 1)
THIRD = Address("10.0.0.3", 1)


@pytest.mark.parametrize(
    ("live", "last_balancer", "silent_for", "expected"),
    [
        pytest.param((FIRST, SECOND), SECOND, 0.0, SECOND, id="the last balancer"),
        pytest.param((), SECOND, 9.0, SECOND, id="no other balancer known"),
        pytest.param((FIRST, SECOND), SECOND, 0.3, SECOND, id="silence below the limit"),
    ],
)
def test_reply_goes_through_last_balancer(
    live: Sequence[Address], last_balancer: Address, silent_for: float, expected: Address
) -> None:
    path = ReturnPath(lambda: live)
    path.on_received(last_balancer, 10.0)
    path.choose(10.0)
    assert path.choose(10.0 + silent_for) == expected


@pytest.mark.parametrize(
    ("seconds_since_datagram", "expected"),
    [
        pytest.param(0.0, SECOND, id="just now"),
        pytest.param(MEMBERSHIP_LAG_SECONDS, SECOND, id="within the lag of views"),
        pytest.param(MEMBERSHIP_LAG_SECONDS + 0.1, FIRST, id="before the lag of views"),
    ],
)
def test_balancer_missing_from_view_is_left_after_lag(
    seconds_since_datagram: float, expected: Address
) -> None:
    """Guards against replies lost at failed balancers while the view lacks a new balancer."""
    path = ReturnPath(lambda: (FIRST,))
    path.on_received(SECOND, 60.0)
    assert path.choose(60.0 + seconds_since_datagram) == expected


def test_silence_leaves_balancer_missing_from_view() -> None:
    """Guards against sending replies through a balancer that ended after a delivery."""
    path = ReturnPath(lambda: (FIRST,))
    path.on_received(SECOND, 60.0)
    path.choose(60.0)
    assert path.choose(60.0 + SILENCE_SECONDS + 0.1) == FIRST


def test_silence_rotates_through_live_balancers() -> None:
    path = ReturnPath(lambda: (FIRST, SECOND, THIRD))
    path.on_received(FIRST, 0.0)
    path.choose(0.0)
    later = SILENCE_SECONDS + 0.1
    assert {path.choose(later + step) for step in range(3)} == {FIRST, SECOND, THIRD}


def test_received_datagram_ends_rotation() -> None:
    path = ReturnPath(lambda: (FIRST, SECOND))
    path.on_received(FIRST, 0.0)
    path.choose(0.0)
    path.choose(5.0)
    path.on_received(SECOND, 5.1)
    assert path.choose(5.2) == SECOND
