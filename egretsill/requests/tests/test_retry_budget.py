from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .._retry_budget import LARGEST_CREDIT_RETRIES, RetryBudget


@pytest.mark.parametrize(
    ("share", "first_tries", "granted"),
    [
        pytest.param(0.1, 9, 0, id="not yet earned"),
        pytest.param(0.1, 10, 1, id="just earned"),
        pytest.param(0.1, 1000, int(LARGEST_CREDIT_RETRIES), id="credit limited by the bound"),
        pytest.param(0.0, 1000, 0, id="no retries allowed"),
        pytest.param(1.0, 3, 3, id="one retry for each first try"),
    ],
)
def test_first_tries_grant_retries(share: float, first_tries: int, granted: int) -> None:
    budget = RetryBudget(share)
    for _ in range(first_tries):
        budget.on_first_try()
    assert sum(budget.take_retry() for _ in range(100)) == granted


@settings(derandomize=True)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_never_exceed_share(wishes: list[bool]) -> None:
    budget = RetryBudget(0.1)
    first_tries = retries = 0
    for wants_retry in wishes:
        if wants_retry:
            retries += budget.take_retry()
        else:
            budget.on_first_try()
            first_tries += 1
        assert retries <= 0.1 * first_tries + 1e-6


def test_changed_share_applies_to_later_tries() -> None:
    budget = RetryBudget(0.0)
    budget.on_first_try()
    budget.set_share(1.0)
    assert not budget.take_retry()
    budget.on_first_try()
    assert budget.take_retry()
