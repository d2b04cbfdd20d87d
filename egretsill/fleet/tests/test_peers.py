"""The processes that one exchanges heartbeats with."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .. import SILENT_SECONDS, Heartbeat, PeerTable
from .._peers import FORGET_SECONDS, MAXIMUM_RECIPIENTS, TOLD_BALANCERS

OWN = 1
BEAT = Heartbeat(2, 100, 1, True, "a", False, True, 7, 20, 0, 0, 0, 0, False, ())


def test_a_peer_is_heard_until_it_has_been_silent() -> None:
    table = PeerTable(OWN, ())
    assert not table.is_silent(2, 0.0), "a peer that never spoke isn't silent"
    table.receive(BEAT, 0.0)
    assert table.is_heard(2, SILENT_SECONDS - 0.01)
    assert table.is_silent(2, SILENT_SECONDS)
    table.receive(replace(BEAT, sequence=2), 5.0)
    assert table.is_heard(2, 5.1)


@pytest.mark.parametrize(
    ("change", "is_news"),
    [
        pytest.param({"sequence": 1}, False, id="repeated"),
        pytest.param({"sequence": 0}, False, id="late"),
        pytest.param({"sequence": 2}, True, id="next"),
        pytest.param({"incarnation": 50, "sequence": 0}, True, id="restarted, clock set back"),
        pytest.param({"host": OWN}, False, id="own"),
    ],
)
def test_only_news_is_taken(change: dict[str, int], is_news: bool) -> None:
    table = PeerTable(OWN, ())
    table.receive(BEAT, 0.0)
    assert table.receive(replace(BEAT, **change), 1.0) is is_news  # type: ignore[arg-type]


def test_readers_are_heard_reach_the_store_and_stay() -> None:
    table = PeerTable(OWN, ())
    table.receive(BEAT, 0.0)
    table.receive(replace(BEAT, host=3, can_read=False), 0.0)
    table.receive(replace(BEAT, host=4, is_leaving=True), 0.0)
    assert table.readers(0.1) == {2}
    assert table.readers(SILENT_SECONDS) == set()


def test_own_sleep_is_not_the_others_silence() -> None:
    table = PeerTable(OWN, ())
    table.receive(BEAT, 0.0)
    table.note_wake(10.0)
    assert table.is_heard(2, 10.1)
    assert table.is_silent(2, 10.001 + SILENT_SECONDS)


def test_balancers_become_known_from_others() -> None:
    table = PeerTable(OWN, [9])
    table.receive(replace(BEAT, balancers=(OWN, 5, 6)), 0.0)
    assert set(table.recipients([20, 21], 0.1)) == {2, 5, 6, 9, 20, 21}
    table.tick(FORGET_SECONDS + 1)
    assert set(table.recipients([20], 30.0)) == {9, 20}


def test_recipients_are_bounded_and_every_process_is_somebodys() -> None:
    hosts = range(1, 301)
    reached: set[int] = set()
    for host in hosts:
        recipients = PeerTable(host, ()).recipients(hosts, 0.0)
        assert len(recipients) == MAXIMUM_RECIPIENTS
        assert host not in recipients
        reached.update(recipients)
    assert reached == set(hosts)


def test_heartbeats_name_all_balancers_in_turn() -> None:
    table = PeerTable(OWN, ())
    for host in range(2, 22):
        table.receive(replace(BEAT, host=host), 0.0)
    told = {host for sequence in range(4) for host in table.told_balancers(0.1, sequence)}
    assert told == set(range(2, 22))
    assert len(table.told_balancers(0.1, 0)) == TOLD_BALANCERS
