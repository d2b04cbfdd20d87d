from __future__ import annotations

import pytest

from .. import BackendHealth, BackendState, HealthPage


@pytest.mark.parametrize(
    ("events", "state"),
    [
        pytest.param("", BackendState.HEALTHY, id="no events"),
        pytest.param("d", BackendState.HEALTHY, id="one page says draining"),
        pytest.param("dd", BackendState.DRAINING, id="two pages say draining"),
        pytest.param("ddh", BackendState.DRAINING, id="one page says healthy again"),
        pytest.param("ddhh", BackendState.HEALTHY, id="two pages say healthy again"),
        pytest.param("dhdh", BackendState.HEALTHY, id="flapping page"),
        pytest.param("ddxxxx", BackendState.DRAINING, id="unreadable pages do not end draining"),
        pytest.param("adad", BackendState.DRAINING, id="draining though requests are answered"),
        pytest.param("uu", BackendState.HEALTHY, id="two bad pages"),
        pytest.param("uuu", BackendState.FAILED, id="three bad pages and no answers"),
        pytest.param("xux", BackendState.FAILED, id="bad and unreadable pages and no answers"),
        pytest.param("auauau", BackendState.HEALTHY, id="bad pages while requests are answered"),
        pytest.param("hfhfhf", BackendState.FAILED, id="failures while the page says healthy"),
        pytest.param("ffaf", BackendState.HEALTHY, id="an answer between failures"),
        pytest.param("fffa", BackendState.HEALTHY, id="an answer after a failure"),
        pytest.param(
            "fff__________h", BackendState.HEALTHY, id="healthy page after a long failure"
        ),
        pytest.param("ddfff", BackendState.FAILED, id="draining and failing"),
    ],
)
def test_state_after_events(events: str, state: BackendState) -> None:
    pages = {
        "h": HealthPage.HEALTHY,
        "d": HealthPage.DRAINING,
        "u": HealthPage.UNHEALTHY,
        "x": HealthPage.UNREADABLE,
    }
    health = BackendHealth()
    for second, event in enumerate(events):
        match event:
            case "a":
                health.answered(second)
            case "f":
                health.failed(second)
            case "_":
                continue
            case _:
                health.page(pages[event], second)
    assert health.state is state


def test_draining_pages_far_apart_are_ignored() -> None:
    health = BackendHealth()
    health.page(HealthPage.DRAINING, 0.0)
    assert health.page(HealthPage.DRAINING, 60.0) is BackendState.HEALTHY
