"""Content between processes: all for a newcomer, changes for the others."""

from __future__ import annotations

from dataclasses import replace

from ...directory import (
    Changes,
    ContentChanged,
    ContentFound,
    ContentWanted,
    Directory,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
)
from ...timing import VirtualTimerService
from ...wire import Address
from .._content_exchange import MAXIMUM_PUSH_BYTES, ContentExchange

ONE = Target("one", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, 11)


def make_table(version: int, ports: range) -> RouteTable:
    routes = [Route(f"r{port}", 9, port, (ServiceShare("lookup", 1),)) for port in ports]
    return RouteTable(version, {(each.host, each.port): each for each in routes}, 15.0)


class Party:
    """A directory and its exchange."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.directory = Directory()
        self.directory.apply_snapshot(Snapshot(20, make_table(7, range(1, 1_400)), (ONE,)), 0.0)
        self.exchange = ContentExchange(
            Address("127.0.0.1", 1), self.directory, VirtualTimerService(), self.problems.append
        )

    def drain(self, revision: int) -> None:
        leaving = replace(ONE, phase=TargetPhase.DRAINING, revision=revision)
        self.directory.apply_changes(Changes(revision, None, (leaving,)), 1.0)


def test_a_newcomer_gets_all_and_the_others_what_came_after() -> None:
    party = Party()
    party.drain(21)
    assert isinstance(party.exchange.answer(ContentWanted(0, 0)), ContentFound)
    changed = party.exchange.answer(ContentWanted(7, 20))
    assert isinstance(changed, ContentChanged)
    assert (changed.base, changed.routes, len(changed.targets)) == (20, None, 1)


def test_a_change_is_one_datagram_that_a_peer_takes_over() -> None:
    party, peer = Party(), Party()
    party.drain(21)
    pushed = party.exchange.push(20)
    assert pushed is not None
    assert len(pushed) <= 200
    assert peer.exchange.take_push(pushed) is True
    assert peer.exchange.take_push(pushed) is False
    assert peer.directory.content_revision == 21
    assert peer.directory.targets[0].phase is TargetPhase.DRAINING


def test_a_change_too_large_for_a_datagram_is_asked_for() -> None:
    party = Party()
    party.directory.apply_changes(Changes(21, make_table(8, range(200, 1_600))), 1.0)
    assert party.exchange.push(20) is None
    assert MAXIMUM_PUSH_BYTES <= 1_200


def test_a_peer_that_lacks_the_base_asks_too() -> None:
    party, peer = Party(), Party()
    party.drain(21)
    party.drain(22)
    pushed = party.exchange.push(21)
    assert pushed is not None
    assert peer.exchange.take_push(pushed) is None
    assert peer.directory.content_revision == 20


def test_what_is_no_change_is_counted_and_left() -> None:
    party = Party()
    assert party.exchange.take_push(b"\x00\x01") is False
    assert len(party.problems) == 1
    assert party.directory.content_revision == 20
