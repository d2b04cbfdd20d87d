from .._flow_rate import FlowRate


def test_flows_above_the_rate_are_refused_until_next_window() -> None:
    rate = FlowRate(2)
    times = (5.0, 5.5, 5.9, 5.99, 6.0, 6.1, 6.2, 7.0)
    admitted = [rate.admits(now) for now in times]
    assert admitted == [True, True, False, False, True, True, False, True]


def test_unused_rate_does_not_carry_over() -> None:
    rate = FlowRate(1)
    assert rate.admits(0.0)
    assert [rate.admits(100.0) for _ in range(3)] == [True, False, False]
