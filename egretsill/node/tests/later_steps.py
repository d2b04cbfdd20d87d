"""What a process does with content after it was taken, for tests of both ways in."""

from __future__ import annotations

import struct
from collections.abc import Sequence

import orjson

from ...address_steering import Candidates, FlowKey, service_hash
from ...directory import Changes, ContentRequest, Directory, RouteTable, Snapshot, Target
from ...directory.tests.revisions import rev
from ...endpoints import Address
from ...fleet import (
    Heartbeat,
    HeartbeatHead,
    HubPlan,
    PeerTable,
    decode_head,
    decode_reports,
    encode_heartbeat,
)
from ...observation import Metrics
from ...supervision import PropagatingSupervisor
from ...timing import VirtualTimerService
from ...wire import StreamServer
from .._content_exchange import ContentExchange

HOST = 0x0A010001
LARGEST_DATAGRAM_BYTES = 1_200
_ENDPOINT = struct.Struct(">IH")  # as in packets
FLOW = FlowKey(0x64400007, 40_001, 0xC6120001, 443)


def use_content(table: RouteTable | None, targets: Sequence[Target]) -> None:
    """Do with content all that processes do with it; an error or a difference is a failure."""
    first, second = _Process(), _Process()
    first.directory.apply_snapshot(Snapshot(rev(0, era=1), None, ()), 0.0)
    second.copy(first)
    first.directory.apply_changes(Changes(rev(2), table, tuple(targets)), 0.0)
    pushed = first.exchange.encode_push(rev(0, era=1))
    second.copy(first)
    assert second.content == first.content
    third = _Process()
    third.copy(first)
    assert third.content == first.content
    assert third.problems == second.problems == []
    if pushed is not None:
        assert second.exchange.apply_push(pushed) is False
    _steer(first.directory)
    _send_heartbeats(first.directory)
    _report(first.directory)


class _Process:
    def __init__(self) -> None:
        self.problems: list[str] = []
        self.endpoint_errors: list[OSError | None] = []
        self.directory = Directory()
        self.exchange = ContentExchange(
            StreamServer(Address("127.0.0.1", 1), self.endpoint_errors.append),
            self.directory,
            VirtualTimerService(),
            PropagatingSupervisor(),
            self.problems.append,
        )

    @property
    def content(self) -> tuple[RouteTable | None, dict[str, Target]]:
        return self.directory.table, {each.name: each for each in self.directory.targets}

    def copy(self, peer: _Process) -> None:
        """Fetch a peer's content."""
        codec = self.exchange._codec
        asked = peer.exchange._codec.decode(codec.encode(self.exchange.make_request()))
        assert isinstance(asked, ContentRequest)
        answer = codec.decode(peer.exchange._codec.encode(peer.exchange.respond(asked)))
        self.exchange._apply_response(answer)


def _steer(directory: Directory) -> None:
    candidates = Candidates(directory)
    for target in directory.targets:
        found = candidates.of(target.service).search(FLOW, target.failure_domain)
        assert target.host in list(found)
        assert 0 <= service_hash(target.service) < 2**32
    for route in directory.table.routes.values() if directory.table else ():
        assert directory.route(route.host, route.port) == route
        assert str(FLOW._replace(service_host=route.host, service_port=route.port))
        for service in directory.flow_services(route):
            service_hash(service)


def _send_heartbeats(directory: Directory) -> None:
    cells = Candidates(directory).cells
    for domain in {"elsewhere", *directory.domains().values()}:
        hubs = HubPlan(HOST, domain, (), PeerTable(HOST))
        hubs.replace_cells(cells)
        hubs.far_hubs(0.0)
        head = HeartbeatHead(
            HOST, 1, 1, directory.version, directory.content_revision, 0, hubs.cell
        )
        data = encode_heartbeat(Heartbeat(head, ()))
        assert len(data) <= LARGEST_DATAGRAM_BYTES
        assert decode_head(data) == head
        assert decode_reports(data) == []


def _report(directory: Directory) -> None:
    metrics = Metrics()
    for target in directory.targets:
        _ENDPOINT.pack(target.host, target.port)
        orjson.dumps([target.name, target.service, target.failure_domain])
    for route in directory.table.routes.values() if directory.table else ():
        _ENDPOINT.pack(route.host, route.port)
        orjson.dumps([route.name, *route.services])
        metrics.time_to_first_byte_seconds.observe(0.1, route.services[0], route.name)
    metrics.render()
