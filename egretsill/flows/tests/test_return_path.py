from __future__ import annotations

from collections.abc import Sequence

import pytest

from ...configuration import Address
from .._return_path import MEMBERSHIP_LAG_SECONDS, SILENCE_SECONDS, ReturnPath

FIRST = Address("10.0.0.1", 1)
SECOND = Address("10.0.0.2", 1)
THIRD = Address("10.0.0.3", 1)


@pytest.mark.parametrize(
    ("live", "heard_via", "silent_for", "expected"),
    [
        pytest.param((FIRST, SECOND), SECOND, 0.0, SECOND, id="the last balancer"),
        pytest.param((), SECOND, 9.0, SECOND, id="no balancer known but the last"),
        pytest.param((FIRST, SECOND), SECOND, 0.3, SECOND, id="silence within its bound"),
    ],
)
def test_choice(
    live: Sequence[Address], heard_via: Address, silent_for: float, expected: Address
) -> None:
    path = ReturnPath(lambda: live)
    path.on_received(heard_via, 10.0)
    path.choose(10.0)
    assert path.choose(10.0 + silent_for) == expected


@pytest.mark.parametrize(
    ("heard_before", "expected"),
    [
        pytest.param(0.0, SECOND, id="just now"),
        pytest.param(MEMBERSHIP_LAG_SECONDS, SECOND, id="within the lag of views"),
        pytest.param(MEMBERSHIP_LAG_SECONDS + 0.1, FIRST, id="so long ago that it has left"),
    ],
)
def test_a_balancer_that_delivered_is_not_gone_because_a_view_lacks_it(
    heard_before: float, expected: Address
) -> None:
    """Guards against replies lost at dead balancers while the view of a new one lags."""
    path = ReturnPath(lambda: (FIRST,))
    path.on_received(SECOND, 60.0)
    assert path.choose(60.0 + heard_before) == expected


def test_a_balancer_that_the_view_lacks_is_left_once_its_caller_is_silent() -> None:
    """Guards against replies through a balancer that ended after it delivered."""
    path = ReturnPath(lambda: (FIRST,))
    path.on_received(SECOND, 60.0)
    path.choose(60.0)
    assert path.choose(60.0 + SILENCE_SECONDS + 0.1) == FIRST


def test_a_silent_caller_is_tried_through_every_live_balancer() -> None:
    path = ReturnPath(lambda: (FIRST, SECOND, THIRD))
    path.on_received(FIRST, 0.0)
    path.choose(0.0)
    later = SILENCE_SECONDS + 0.1
    assert {path.choose(later + step) for step in range(3)} == {FIRST, SECOND, THIRD}


def test_hearing_the_caller_again_ends_the_search() -> None:
    path = ReturnPath(lambda: (FIRST, SECOND))
    path.on_received(FIRST, 0.0)
    path.choose(0.0)
    path.choose(5.0)
    path.on_received(SECOND, 5.1)
    assert path.choose(5.2) == SECOND
