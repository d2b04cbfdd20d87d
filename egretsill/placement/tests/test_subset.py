from __future__ import annotations

from collections import Counter

import pytest

from .._subset import report_recipients, subset_targets
from .fakes import make_service


@pytest.mark.parametrize(
    ("count", "size"),
    [
        pytest.param(1, 16, id="one target"),
        pytest.param(7, 16, id="fewer targets than the subset"),
        pytest.param(100, 16, id="many targets"),
    ],
)
def test_targets_have_equal_numbers_of_requesters(count: int, size: int) -> None:
    service = make_service(count)
    used = {number: subset_targets(service, number, size) for number in range(1, count + 1)}
    use_counts = Counter(target for targets in used.values() for target in targets)
    assert set(use_counts.values()) == {min(count, size)}
    assert all(targets[0] == number for number, targets in used.items())


def test_report_recipients_are_requesters_of_target() -> None:
    service = make_service(100)
    for number in range(1, 101):
        requesters = {other for other in range(1, 101) if number in subset_targets(service, other)}
        assert set(report_recipients(service, number)) == requesters - {number}


def test_a_new_target_changes_few_subsets() -> None:
    before, after = make_service(100), make_service(101)
    changed = sum(
        set(subset_targets(before, number)) != set(subset_targets(after, number))
        for number in range(1, 101)
    )
    assert changed <= 16


def test_requester_without_target_uses_service() -> None:
    assert set(subset_targets(make_service(3), None)) == {1, 2, 3}
