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


def run_ticks(
    watch: FirstPacketWatch,
    start: float,
    end: float,
    answers: Callable[[int], bool] = lambda sequence: False,
) -> list[tuple[float, WatchEffect]]:
    """Tick from start to end and answer at once the probes for which `answers` returns True."""
    effects: list[tuple[float, WatchEffect]] = []
    for step in range(round((end - start) / WATCH_TICK_SECONDS)):
        now = start + step * WATCH_TICK_SECONDS
        for effect in watch.tick(now):
            effects.append((now, effect))
            if isinstance(effect, SendProbe) and answers(effect.sequence):
                recovered = watch.datagram_received(effect.target_number)
                effects.extend([(now, recovered)] if recovered else [])
    return effects


def times_of(effects: list[tuple[float, WatchEffect]], kind: type[WatchEffect]) -> list[float]:
    return [now for now, effect in effects if isinstance(effect, kind)]


@pytest.mark.parametrize(
    ("answers", "is_silent"),
    [
        pytest.param(lambda sequence: False, True, id="unreachable agent"),
        pytest.param(lambda sequence: True, False, id="bogus packet, agent answers probes"),
        pytest.param(lambda sequence: sequence == 4, False, id="three of four probes lost"),
    ],
)
def test_silence_is_decided_within_a_second(
    answers: Callable[[int], bool], is_silent: bool
) -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    effects = run_ticks(watch, 0.0, 1.0, answers)
    assert bool(times_of(effects, BecameSilent)) is is_silent
    assert (TARGET in watch.silent) is is_silent


def test_any_datagram_ends_probing() -> None:
    watch = FirstPacketWatch()
    for step in range(40):
        watch.first_packet_sent(TARGET, step * 0.1)
        assert not run_ticks(watch, step * 0.1, step * 0.1 + 0.1)
        watch.datagram_received(TARGET)


def test_later_first_packets_do_not_delay_silence() -> None:
    watch = FirstPacketWatch()
    effects = []
    for step in range(20):
        watch.first_packet_sent(TARGET, step * WATCH_TICK_SECONDS)
        effects += run_ticks(watch, step * WATCH_TICK_SECONDS, (step + 1) * WATCH_TICK_SECONDS)
    assert times_of(effects, BecameSilent)


def test_silent_agent_is_probed_with_back_off() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    probes = times_of(run_ticks(watch, 0.0, 21.0), SendProbe)
    late = [each for each in probes if each > 11.0]
    assert 4 <= len(late) <= 6
    effects = run_ticks(watch, 21.0, 24.0, lambda sequence: True)
    assert len(times_of(effects, BecameResponsive)) == 1
    assert not watch.silent


def test_own_pause_does_not_make_agents_silent() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    run_ticks(watch, 0.0, 0.7)
    watch.restart(60.0)
    assert not times_of(run_ticks(watch, 60.0, 60.5), BecameSilent)


def test_all_probes_are_sent_after_short_pause() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    assert not times_of(run_ticks(watch, 0.95, 1.2), BecameSilent)


def test_packet_loss_rarely_makes_agent_silent() -> None:
    rng = random.Random(12)
    silent_count = 0
    for _ in range(2000):
        watch = FirstPacketWatch()
        watch.first_packet_sent(TARGET, 0.0)
        effects = run_ticks(watch, 0.0, 1.0, lambda _: rng.random() < 0.9 * 0.9)
        silent_count += bool(times_of(effects, BecameSilent))
    assert silent_count < 0.01 * 2000


def test_removed_target_has_no_state() -> None:
    watch = FirstPacketWatch()
    watch.first_packet_sent(TARGET, 0.0)
    run_ticks(watch, 0.0, 1.0)
    watch.keep_only([1, 2])
    assert not watch.silent
    assert not run_ticks(watch, 1.0, 5.0)
