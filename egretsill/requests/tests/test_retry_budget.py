from __future__ import annotations

from .._retry_budget import RESERVE_RETRIES, WINDOW_SECONDS, RetryBudget


def test_retries_are_a_share_of_first_tries_beside_the_reserve() -> None:
    budget = RetryBudget(0.1)
    granted = 0
    for number in range(1000):
        budget.on_first_try(number * 0.001)
        granted += budget.take_retry(number * 0.001)
    assert granted == 100 + RESERVE_RETRIES


def test_reserve_serves_a_quiet_time() -> None:
    budget = RetryBudget(0.0, reserve=2)
    budget.on_first_try(0.0)
    assert [budget.take_retry(0.0) for _ in range(3)] == [True, True, False]


def test_old_tries_leave_the_window() -> None:
    budget = RetryBudget(1.0, reserve=0)
    budget.on_first_try(0.0)
    assert budget.take_retry(WINDOW_SECONDS / 2)
    assert not budget.take_retry(WINDOW_SECONDS - 0.1)
    assert not budget.take_retry(2 * WINDOW_SECONDS)
    assert (budget.first_tries, budget.retries) == (0, 0)
