from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from ... import settings as settings_package
from ...draining import BackendState
from ...observation import HealthProblem
from ...settings import load_daemon_settings
from ...supervision import Part
from .._pages import Pages

SETTINGS = load_daemon_settings(
    Path(settings_package.__file__).parents[2] / "examples" / "balancer.ini"
)


def make_pages(
    revision: int | None = 7,
    draining: bool = False,
    backend: BackendState = BackendState.HEALTHY,
    fresh: bool = True,
    platform_age: float | None = 1.0,
    stopped: tuple[Part, ...] = (),
) -> Pages:
    role: Any = SimpleNamespace(flows_open=3, requests_running=2, status=lambda: {"own": 1})
    view = SimpleNamespace(alive=("a", "b"))
    membership: Any = SimpleNamespace(view=view, is_fresh=fresh)
    configuration: Any = SimpleNamespace(
        revision=revision,
        bundle=None if revision is None else object(),
        is_reader=True,
        platform_age_seconds=platform_age,
        older_ignored=0,
        conflicts=0,
    )
    drain: Any = SimpleNamespace(draining=draining, signals=("termination",) if draining else ())
    supervisor: Any = SimpleNamespace(stopped=stopped, unreported=0)
    return Pages(SETTINGS, role, membership, configuration, drain, lambda: backend, supervisor)


@pytest.mark.parametrize(
    ("pages", "problems"),
    [
        pytest.param(make_pages(), (), id="healthy"),
        pytest.param(
            make_pages(revision=None), (HealthProblem.NO_CONFIGURATION,), id="no configuration"
        ),
        pytest.param(make_pages(draining=True), (HealthProblem.DRAINING,), id="draining"),
        pytest.param(
            make_pages(backend=BackendState.FAILED),
            (HealthProblem.BACKEND_DOWN,),
            id="backend",
        ),
        pytest.param(make_pages(fresh=False), (HealthProblem.VIEW_STALE,), id="stale view"),
        pytest.param(
            make_pages(stopped=(Part.ADMIN, Part.TUNNEL)),
            (HealthProblem.PART_STOPPED,),
            id="stopped part",
        ),
        pytest.param(
            make_pages(stopped=(Part.BACKEND_HEALTH, Part.LOG)), (), id="stopped lesser part"
        ),
        pytest.param(
            make_pages(revision=None, fresh=False),
            (HealthProblem.NO_CONFIGURATION, HealthProblem.VIEW_STALE),
            id="two problems",
        ),
    ],
)
def test_health_lists_each_problem(pages: Pages, problems: tuple[HealthProblem, ...]) -> None:
    assert pages.health.problems == problems


def test_status_includes_entries_of_the_role() -> None:
    status = make_pages(draining=True).status
    expected = {
        "name": SETTINGS.name,
        "role": "balancer",
        "revision": 7,
        "flows": 3,
        "requests": 2,
        "draining": True,
        "drain_signals": ["termination"],
        "members_alive": 2,
        "own": 1,
    }
    assert {key: status[key] for key in expected} == expected
    assert make_pages(revision=None).status["revision"] == 0


@pytest.mark.parametrize(
    ("age", "state"),
    [
        pytest.param(None, "silent", id="never answered"),
        pytest.param(SETTINGS.exchange.silence_seconds, "answers", id="at the limit"),
        pytest.param(SETTINGS.exchange.silence_seconds + 0.1, "silent", id="past the limit"),
    ],
)
def test_platform_state_depends_on_age_of_last_answer(age: float | None, state: str) -> None:
    assert make_pages(platform_age=age).platform_state == state
