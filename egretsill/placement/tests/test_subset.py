from __future__ import annotations

from collections import Counter

import pytest

from .._subset import used_targets, using_targets
from .fakes import make_service


@pytest.mark.parametrize(
    ("count", "size"),
    [
        pytest.param(1, 16, id="one target"),
        pytest.param(7, 16, id="fewer targets than the subset"),
        pytest.param(100, 16, id="many targets"),
    ],
)
def test_every_target_is_used_by_as_many_askers(count: int, size: int) -> None:
    service = make_service(count)
    used = {number: used_targets(service, number, size) for number in range(1, count + 1)}
    times = Counter(target for targets in used.values() for target in targets)
    assert set(times.values()) == {min(count, size)}
    assert all(targets[0] == number for number, targets in used.items())


def test_reports_go_to_exactly_those_who_use_the_target() -> None:
    service = make_service(100)
    for number in range(1, 101):
        askers = {other for other in range(1, 101) if number in used_targets(service, other)}
        assert set(using_targets(service, number)) == askers - {number}


def test_a_new_target_changes_few_subsets() -> None:
    before, after = make_service(100), make_service(101)
    changed = sum(
        set(used_targets(before, number)) != set(used_targets(after, number))
        for number in range(1, 101)
    )
    assert changed <= 16


def test_asker_without_a_target_uses_the_service() -> None:
    assert set(used_targets(make_service(3), None)) == {1, 2, 3}
