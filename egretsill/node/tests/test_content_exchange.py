"""Tests of the exchange of directory content between processes."""

from __future__ import annotations

from dataclasses import astuple, replace

import msgpack
import pytest

from ...directory import (
    Changes,
    ContentRequest,
    ContentResponse,
    ContentUpdate,
    Directory,
    MalformedContent,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
)
from ...directory.tests.revisions import rev
from ...supervision import PropagatingSupervisor
from ...timing import VirtualTimerService
from ...wire import Address, StreamServer
from .._content_exchange import MAXIMUM_PUSH_BYTES, ContentExchange

ONE = Target("one", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))


def make_table(version: int, ports: range) -> RouteTable:
    routes = [Route(f"r{port}", 9, port, (ServiceShare("lookup", 1),)) for port in ports]
    return RouteTable(version, {(each.host, each.port): each for each in routes}, 15.0)


class Process:
    """A process with a directory and a content exchange."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.directory = Directory()
        self.directory.apply_snapshot(
            Snapshot(rev(20), make_table(7, range(1, 1_400)), (ONE,)), 0.0
        )
        self.errors: list[OSError | None] = []
        self.exchange = ContentExchange(
            StreamServer(Address("127.0.0.1", 1), self.errors.append),
            self.directory,
            VirtualTimerService(),
            PropagatingSupervisor(),
            self.problems.append,
        )

    def drain(self, revision: int) -> None:
        leaving = replace(ONE, phase=TargetPhase.DRAINING, revision=rev(revision))
        self.directory.apply_changes(Changes(rev(revision), None, (leaving,)), 1.0)


def test_new_peer_gets_all_content_and_others_the_changes() -> None:
    process = Process()
    process.drain(21)
    assert isinstance(process.exchange.respond(ContentRequest(0, (1, 0))), ContentResponse)
    changed = process.exchange.respond(ContentRequest(7, (1, 20)))
    assert isinstance(changed, ContentUpdate)
    assert (changed.base, changed.routes, len(changed.targets)) == ((1, 20), None, 1)


def test_pushed_change_fits_in_a_datagram_and_is_applied() -> None:
    process, peer = Process(), Process()
    process.drain(21)
    pushed = process.exchange.encode_push(rev(20))
    assert pushed is not None
    assert len(pushed) <= 200
    assert peer.exchange.apply_push(pushed) is True
    assert peer.exchange.apply_push(pushed) is False
    assert peer.directory.content_revision == rev(21)
    assert peer.directory.targets[0].phase is TargetPhase.DRAINING


def test_change_too_large_for_a_datagram_is_not_pushed() -> None:
    process = Process()
    process.directory.apply_changes(Changes(rev(21), make_table(8, range(200, 1_600))), 1.0)
    assert process.exchange.encode_push(rev(20)) is None
    assert MAXIMUM_PUSH_BYTES <= 1_200


def test_push_on_an_unknown_base_is_not_applied() -> None:
    process, peer = Process(), Process()
    process.drain(21)
    process.drain(22)
    pushed = process.exchange.encode_push(rev(21))
    assert pushed is not None
    assert peer.exchange.apply_push(pushed) is None
    assert peer.directory.content_revision == rev(20)


def test_malformed_push_is_counted_and_ignored() -> None:
    process = Process()
    assert process.exchange.apply_push(b"\x00\x01") is False
    assert len(process.problems) == 1
    assert process.directory.content_revision == rev(20)


# Guards against content that is taken from a peer's message with a malformed era.
@pytest.mark.parametrize(
    "revision",
    [(21,), ("1", 21), (-1, 21), (1, 2**60), (1, 21, 0), (None, 21)],
    ids=["absent", "text", "negative", "huge", "too long", "none"],
)
def test_malformed_era_is_counted_and_nothing_is_taken(revision: tuple[int, int]) -> None:
    process = Process()
    update = ContentUpdate(revision, 0, (1, 20), None, (), ("one",))
    assert process.exchange.apply_push(msgpack.packb([49, *astuple(update)])) is False
    assert len(process.problems) == 1
    with pytest.raises(MalformedContent):
        process.exchange._apply_response(ContentResponse(revision, 0, None, ()))
    with pytest.raises(MalformedContent):
        process.exchange.respond(ContentRequest(7, revision))
    assert process.directory.content_revision == rev(20)
    assert names(process) == {"one"}


def test_changes_across_eras_are_malformed() -> None:
    process = Process()
    update = ContentUpdate((2, 21), 0, (1, 20), None, (), ("one",))
    assert process.exchange.apply_push(msgpack.packb([49, *astuple(update)])) is False
    assert (len(process.problems), names(process)) == (1, {"one"})


# Guards against changes that are refused for ever by a peer with another configuration.
def test_peer_with_another_configuration_at_the_same_revision_gets_all_content() -> None:
    process, peer = Process(), Process()
    process.directory.apply_peer_content(rev(20), make_table(9, range(1, 5)), (ONE,), 0.0, 1.0)
    process.directory.apply_changes(Changes(rev(21), make_table(12, range(1, 6))), 1.0)
    request = ContentRequest(peer.directory.version, (1, 20))
    response = process.exchange.respond(request)
    assert isinstance(response, ContentResponse)
    assert peer.exchange._apply_response(response)
    assert peer.directory.table == process.directory.table


def names(process: Process) -> set[str]:
    return {each.name for each in process.directory.targets}
