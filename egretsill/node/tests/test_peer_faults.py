"""Tests of what is recorded about peers whose messages are malformed."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eliot
import msgpack
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ...address_steering import Candidates
from ...directory import NO_REVISION, Directory, ReadPlan, StoreRevision
from ...directory.tests.revisions import rev
from ...endpoints import format_ipv4, open_datagram_socket
from ...fleet import (
    Heartbeat,
    HeartbeatHead,
    HubPlan,
    PeerReport,
    PeerTable,
    decode_head,
    encode_heartbeat,
)
from ...observation import Journal, Metrics
from ...supervision import PropagatingSupervisor
from ...supervision.tests.faults import Fault
from ...supervision.tests.supervisors import RecordingSupervisor
from ...timing import VirtualTimerService
from .._content_exchange import PeerContentUnavailable
from .._fleet_link import FleetLink, TargetLoad
from .test_content_exchange import Process

HOST = "10.1.0.1"
PEER, PEER_HOST = "10.1.0.2", 0x0A010002
HEAD = HeartbeatHead(PEER_HOST, 1, 1, 7, rev(20), 250, "a/0")
WHOLE = encode_heartbeat(Heartbeat(HEAD, [PeerReport(PEER_HOST)]))
BEGINNINGS = st.sampled_from([b"", b"\xb2", b"\xb3", b"\xb5", b"\xb6", WHOLE, b"\xb2" + WHOLE])


class Link:
    """A process's link to its fleet, of which nothing runs."""

    def __init__(self) -> None:
        self.process = Process()
        self.metrics = Metrics()
        self.timer = VirtualTimerService()
        self.journal = Journal("a", lambda: self.timer.now, lambda: self.timer.now)
        peers = PeerTable(0x0A010001)
        self.bound = open_datagram_socket(("127.0.0.1", 0), 65_536)
        self.link = FleetLink(
            HOST,
            self.bound,
            False,
            self.process.directory,
            peers,
            HubPlan(0x0A010001, "a", (), peers),
            Candidates(self.process.directory),
            ReadPlan(0x0A010001, False),
            self.process.exchange,
            self.timer,
            self.metrics,
            self.journal,
            PropagatingSupervisor(),
            TargetLoad,
            lambda: True,
            lambda _: None,
        )

    def receive(self, data: bytes) -> None:
        self.link._receive(data, PEER)

    def lines(self, kind: str) -> list[dict[str, object]]:
        """Return the fields of the lines of a kind that wait to be written."""
        logged: list[dict[str, object]] = []
        destination = logged.append
        eliot.add_destinations(destination)
        try:
            self.journal.flush()
        finally:
            eliot.remove_destination(destination)
        return [each for each in logged if each["message_type"] == f"egretsill:{kind}"]


@contextmanager
def open_link() -> Iterator[Link]:
    link = Link()
    try:
        yield link
    finally:
        link.bound.close()


# Guards against a sender of malformed heartbeats that nobody finds.
def test_malformed_heartbeat_is_logged_with_its_sender() -> None:
    with open_link() as link:
        link.receive(encode_heartbeat(Heartbeat(HEAD._replace(version=2**60), [])))
        (line,) = link.lines("heartbeat-malformed")
        assert (line["peer"], line["part"]) == (PEER, "version")
        assert link.metrics.messages_malformed.value("fleet", "version") == 1


# Guards against a process that reads the store over a slow link while a peer has the content.
@pytest.mark.parametrize(
    ("revision", "is_subscribing", "has_content", "is_answered"),
    [
        pytest.param(NO_REVISION, True, True, True, id="has just started"),
        pytest.param(NO_REVISION, True, False, False, id="both have just started"),
        pytest.param(rev(20), True, True, False, id="has content"),
        pytest.param(NO_REVISION, False, True, False, id="answers itself"),
    ],
)
def test_process_without_content_is_answered_at_once(
    revision: StoreRevision,
    is_subscribing: bool,
    has_content: bool,
    is_answered: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[tuple[str, HeartbeatHead]] = []
    with open_link() as link:
        monkeypatch.setattr(Directory, "has_content", has_content)
        monkeypatch.setattr(
            link.link,
            "_send",
            lambda data, hosts: sent.extend(
                (format_ipv4(host), decode_head(data)) for host in hosts
            ),
        )
        head = HEAD._replace(version=0, revision=revision, is_subscribing=is_subscribing)
        link.receive(encode_heartbeat(Heartbeat(head, [PeerReport(PEER_HOST)])))
    assert [(host, each.revision) for host, each in sent] == ([(PEER, rev(20))] * is_answered)


# Guards against a datagram of a peer that raises what nobody expects.
def test_any_datagram_of_a_peer_is_taken_or_recorded() -> None:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(BEGINNINGS, st.integers(0, 60), st.binary(max_size=90))
    def receive(begin: bytes, kept: int, rest: bytes) -> None:
        link.receive(begin[:kept] + rest)
        link.receive(begin + rest)

    with open_link() as link:
        receive()
        assert link.metrics.messages_malformed.total() > 0


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        pytest.param([48, [1, 30], 0, [8, -1.0, []], [], []], "malformed route table", id="table"),
        pytest.param([48, [1, 30], 0, None, [[7]], []], "malformed target", id="target"),
        pytest.param([48, [1, 30], -1, None, [], []], "malformed age", id="age"),
        pytest.param(
            [48, [1, 30], 0, None, [], [["", [1, 3]]]], "malformed evacuation", id="evacuation"
        ),
        pytest.param([43, 1, [1, 1]], "malformed answer", id="request"),
        pytest.param([99], "malformed directory message: unknown tag", id="other release"),
        pytest.param(
            [44, [1, 30], 0, None, []],
            "malformed directory message: unknown tag",
            id="release that took incomplete entries",
        ),
        pytest.param(
            [46, [1, 30], 0, None, []],
            "malformed directory message: unknown tag",
            id="release that knows no evacuations",
        ),
    ],
)
def test_peer_with_malformed_content_is_named_with_the_part(
    answer: object, reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against content of a peer that is refused without a word on what is wrong with it.
    async def main() -> None:
        process = Process()
        near, far = trio.testing.memory_stream_pair()
        await far.send_all(msgpack.packb(answer))

        async def open_stream(host: str, port: int) -> trio.abc.Stream:
            return near

        monkeypatch.setattr(trio, "open_tcp_stream", open_stream)
        with pytest.raises(PeerContentUnavailable) as caught:
            await process.exchange.fetch(PEER)
        assert (caught.value.host, caught.value.reason) == (PEER, reason)
        assert process.problems == [reason]
        assert process.directory.content_revision == rev(20)

    trio.run(main)


# Guards against evidence from before a pause of the VM that is used since another step failed.
def test_pause_is_noted_by_all_though_one_step_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    link = Link()
    supervisor = link.link._supervisor = RecordingSupervisor()
    noted: list[float] = []
    fault = Fault(monkeypatch, PeerTable, "note_scheduling_pause")
    fault.remaining = 1
    monkeypatch.setattr(HubPlan, "note_scheduling_pause", lambda _, now: noted.append(now))
    try:
        link.timer.pause(60.0)
        assert link.timer.now == 60.0
    finally:
        link.link.close()
    assert noted == [60.0]
    assert supervisor.names == [("heartbeats", "UnexpectedError")]
    assert link.metrics.clock_jumps.total() == 1
