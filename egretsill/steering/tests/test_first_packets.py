import random
from collections.abc import Callable

import pytest

from .._first_packets import (
    WATCH_TICK_SECONDS,
    BecameResponsive,
    BecameSilent,
    FirstPacketWatch,
    SendProbe,
    WatchEffect,
)

TARGET = 7


def run(
    watch: FirstPacketWatch,
    start: float,
    end: float,
    answers: Callable[[int], bool] = lambda sequence: False,
) -> list[tuple[float, WatchEffect]]:
    """Tick from start to end; probes for which `answers` says so are answered at once."""
    effects: list[tuple[float, WatchEffect]] = []
    for step in range(round((end - start) / WATCH_TICK_SECONDS)):
        now = start + step * WATCH_TICK_SECONDS
        for effect in watch.tick(now):
            effects.append((now, effect))
            if isinstance(effect, SendProbe) and answers(effect.sequence):
                back = watch.heard_from(effect.target_number)
                effects.extend([(now, back)] if back else [])
    return effects


def kinds(effects: list[tuple[float, WatchEffect]], kind: type[WatchEffect]) -> list[float]:
    return [now for now, effect in effects if isinstance(effect, kind)]


@pytest.mark.parametrize(
    ("answers", "is_silent"),
    [
        pytest.param(lambda sequence: False, True, id="dead agent"),
        pytest.param(lambda sequence: True, False, id="bogus packet, agent answers probes"),
        pytest.param(lambda sequence: sequence == 4, False, id="three of four probes lost"),
    ],
)
def test_verdict_within_a_second(answers: Callable[[int], bool], is_silent: bool) -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    effects = run(watch, 0.0, 1.0, answers)
    assert bool(kinds(effects, BecameSilent)) is is_silent
    assert (TARGET in watch.silent) is is_silent


def test_any_reply_settles_the_question() -> None:
    watch = FirstPacketWatch()
    for step in range(40):
        watch.first_packet_sent(TARGET, step * 0.1)
        assert not run(watch, step * 0.1, step * 0.1 + 0.1)
        watch.heard_from(TARGET)


def test_later_first_packets_do_not_put_off_the_verdict() -> None:
    watch = FirstPacketWatch()
    effects = []
    for step in range(20):
        watch.first_packet_sent(TARGET, step * WATCH_TICK_SECONDS)
        effects += run(watch, step * WATCH_TICK_SECONDS, (step + 1) * WATCH_TICK_SECONDS)
    assert kinds(effects, BecameSilent)


def test_silent_agent_is_probed_with_back_off_and_comes_back() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    probes = kinds(run(watch, 0.0, 21.0), SendProbe)
    late = [each for each in probes if each > 11.0]
    assert 4 <= len(late) <= 6
    effects = run(watch, 21.0, 24.0, lambda sequence: True)
    assert len(kinds(effects, BecameResponsive)) == 1
    assert not watch.silent


def test_own_pause_is_not_held_against_agents() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    run(watch, 0.0, 0.7)
    watch.restart(60.0)
    assert not kinds(run(watch, 60.0, 60.5), BecameSilent)


def test_pause_too_short_to_be_a_jump_still_asks_all_probes() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    assert not kinds(run(watch, 0.95, 1.2), BecameSilent)


def test_lost_packets_seldom_make_a_live_agent_look_silent() -> None:
    chooser = random.Random(12)
    silenced = 0
    for _ in range(2000):
        watch = FirstPacketWatch()
        watch.first_packet_sent(TARGET, 0.0)
        effects = run(watch, 0.0, 1.0, lambda _: chooser.random() < 0.9 * 0.9)
        silenced += bool(kinds(effects, BecameSilent))
    assert silenced < 0.01 * 2000


def test_removed_target_is_forgotten() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    run(watch, 0.0, 1.0)
    watch.keep_only([1, 2])
    assert not watch.silent
    assert not run(watch, 1.0, 5.0)
