from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ...configuration import RequestClass, RequestShape
from ...outcomes import RefusalReason
from .. import Placement
from .fakes import LISTING, REVISIONS, make_report, make_service


def make_placement(
    count: int = 3, own: int | None = 1, draining: tuple[int, ...] = ()
) -> Placement:
    return Placement(own, make_service(count, draining), Random(7))


def chosen(
    placement: Placement,
    now: float = 0.0,
    request_class: RequestClass = LISTING,
    exclude: tuple[int, ...] = (),
) -> Counter[int | None]:
    return Counter(placement.choose(request_class, exclude, now) for _ in range(100))


def test_excluded_unavailable_and_draining_are_not_chosen() -> None:
    placement = make_placement(6, draining=(2,))
    placement.set_unavailable({3})
    placement.on_report(make_report(4, draining=True), 0.0)
    assert set(chosen(placement, exclude=(1,))) <= {5, 6}


def test_choice_without_candidates_is_none() -> None:
    placement = make_placement()
    placement.set_unavailable({1, 2})
    assert placement.choose(LISTING, (3,), 0.0) is None


@pytest.mark.parametrize(
    ("reason", "bounds"),
    [
        pytest.param(
            RefusalReason.SHEDDING,
            [(0.125, 0.375), (0.25, 0.75), (0.25, 0.75), (0.25, 0.75)],
            id="shedding, ends within seconds",
        ),
        pytest.param(
            RefusalReason.BACKEND_UNREACHABLE,
            [(0.125, 0.375), (0.25, 0.75), (0.5, 1.5), (1.0, 3.0)],
            id="unreachable",
        ),
        pytest.param(
            RefusalReason.DRAINING,
            [(0.125, 0.375), (0.25, 0.75), (0.5, 1.5), (1.0, 3.0)],
            id="draining",
        ),
    ],
)
def test_refusing_target_is_retried_after_back_off(
    reason: RefusalReason, bounds: list[tuple[float, float]]
) -> None:
    placement = make_placement(2)
    placement.on_sent(1, 40.0, 0.0)
    now = 0.0
    for shortest, longest in bounds:
        placement.on_sent(2, 1.0, now)
        placement.on_refused(2, reason, now)
        placement.on_finished(2, 1.0, now)
        refused_at = now
        while 2 not in chosen(placement, now) and now < 60.0:
            now += 0.01
        assert shortest <= now - refused_at + 0.011
        assert now - refused_at <= longest + 0.011
    assert placement.outstanding[2] == 0.0


def test_lone_refusing_target_is_still_chosen() -> None:
    placement = make_placement(1)
    placement.on_sent(1, 1.0, 0.0)
    placement.on_refused(1, RefusalReason.SHEDDING, 0.0)
    placement.on_finished(1, 1.0, 0.0)
    assert placement.choose(LISTING, (), 0.0) == 1


def test_own_outstanding_is_exact() -> None:
    placement = make_placement(2)
    placement.on_sent(1, 4.0, 0.0)
    placement.on_sent(2, 1.0, 0.0)
    placement.on_sent(1, 1.0, 0.0, RequestShape.SUBSCRIPTION)
    placement.on_finished(2, 1.0, 0.1)
    assert placement.outstanding == {1: 4.0, 2: 0.0}


def test_subscription_goes_to_target_with_free_connections() -> None:
    placement = make_placement(2)
    placement.on_report(make_report(1, connections=10), 0.0)
    placement.on_report(make_report(2, weight=40.0, running=4, queued=8), 0.0)
    assert set(chosen(placement, request_class=REVISIONS)) == {2}


@pytest.mark.parametrize(
    ("sequence", "incarnation"),
    [
        pytest.param(4, 2, id="older sequence"),
        pytest.param(9, 1, id="older incarnation"),
        pytest.param(5, 2, id="same again"),
    ],
)
def test_older_reports_are_ignored(sequence: int, incarnation: int) -> None:
    placement = make_placement(2)
    placement.on_report(make_report(2, 5, draining=True, incarnation=2), 0.0)
    placement.on_report(make_report(2, sequence, incarnation=incarnation), 0.0)
    assert set(chosen(placement)) == {1}


def test_unknown_targets_are_ignored() -> None:
    placement = make_placement(2)
    placement.on_report(make_report(77), 0.0)
    placement.on_sent(77, 1.0, 0.0)
    placement.on_granted(77, 0.0)
    placement.on_finished(77, 1.0, 0.0)
    placement.on_refused(77, RefusalReason.FULL, 0.0)
    placement.on_finished(77, 1.0, 0.0)
    assert set(placement.outstanding) == {1, 2}


def test_changed_service_keeps_outstanding_weight() -> None:
    placement = make_placement(2)
    placement.on_sent(2, 4.0, 0.0)
    placement.update_service(make_service(3))
    assert placement.outstanding == {1: 0.0, 2: 4.0, 3: 0.0}
    placement.update_service(make_service(1))
    assert set(chosen(placement)) == {1}


def test_slow_target_gets_less_and_refusals_are_ignored() -> None:
    placement = make_placement(2)
    counts: Counter[int] = Counter()
    for step in range(2000):
        now = step * 0.05
        target = placement.choose(LISTING, (), now)
        assert target is not None
        counts[target] += 1
        placement.on_sent(target, 1.0, now)
        if step % 50 == 0:
            placement.on_refused(target, RefusalReason.OVERLOAD, now)
        else:
            placement.on_granted(target, now)
            now += 0.01 if target == 1 else 0.03
        placement.on_finished(target, 1.0, now)
    assert 2.0 < counts[1] / counts[2] < 4.5


def test_returning_target_is_not_flooded() -> None:
    placement = make_placement(2)
    placement.set_unavailable({2})
    for _ in range(1000):
        placement.on_sent(placement.choose(LISTING, (), 0.0) or 0, 1.0, 0.0)
        placement.on_finished(1, 1.0, 0.0)
    placement.set_unavailable(())
    consecutive = 0
    while placement.choose(LISTING, (), 1.0) == 2:
        placement.on_sent(2, 1.0, 1.0)
        placement.on_finished(2, 1.0, 1.0)
        consecutive += 1
    assert consecutive < 15


def test_targets_outside_unavailable_subset_are_used() -> None:
    placement = make_placement(40)
    placement.set_unavailable(placement.subset_targets)
    target = placement.choose(LISTING, (), 0.0)
    assert target is not None
    assert target not in placement.subset_targets
