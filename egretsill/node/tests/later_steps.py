"""What a process does with content after it was taken, for tests of both ways in."""

from __future__ import annotations

import struct
from collections.abc import Sequence

import orjson

from ...address_steering import Candidates, FlowKey, service_hash
from ...directory import (
    DIRECTORY_TYPES,
    Changes,
    ContentResponse,
    ContentUpdate,
    Directory,
    DirectoryMessage,
    RouteTable,
    Snapshot,
    Target,
    pack_changes,
    pack_revision,
    pack_table,
    pack_targets,
    unpack_changes,
    unpack_revision,
    unpack_table,
    unpack_targets,
)
from ...directory.tests.revisions import rev
from ...directory.tests.unusable import reject
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
from ...wire import Codec

HOST = 0x0A010001
LARGEST_DATAGRAM_BYTES = 1_200
_CODEC: Codec[DirectoryMessage] = Codec("directory", DIRECTORY_TYPES)
_ENDPOINT = struct.Struct(">IH")  # as in packets
FLOW = FlowKey(0x64400007, 40_001, 0xC6120001, 443)


def use_content(table: RouteTable | None, targets: Sequence[Target]) -> None:
    """Do with content all that processes do with it; an error or a difference is a failure."""
    directory = _make_directory()
    directory.apply_changes(Changes(rev(2), table, tuple(targets)), 0.0)
    assert _content(_copy_changes(directory)) == _content(directory)
    assert _content(_copy_all(directory)) == _content(directory)
    _steer(directory)
    _send_heartbeats(directory)
    _report(directory)


def _make_directory() -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(1), RouteTable(1, {}, 0.0), ()), 0.0)
    return directory


def _content(directory: Directory) -> tuple[RouteTable | None, dict[str, Target]]:
    return directory.table, {each.name: each for each in directory.targets}


def _copy_changes(sender: Directory) -> Directory:
    receiver = _make_directory()
    changes = sender.changes_since(rev(1))
    if changes is not None:
        message = _CODEC.decode(_CODEC.encode(pack_changes(changes, 0)))
        assert isinstance(message, ContentUpdate)
        receiver.apply_peer_changes(unpack_changes(message, reject), 0.0, 0.0)
    return receiver


def _copy_all(sender: Directory) -> Directory:
    table = pack_table(sender.table) if sender.table is not None else None
    answer = ContentResponse(
        pack_revision(sender.content_revision), 0, table, pack_targets(sender.targets)
    )
    message = _CODEC.decode(_CODEC.encode(answer))
    assert isinstance(message, ContentResponse)
    receiver = Directory()
    receiver.apply_peer_content(
        unpack_revision(message.revision),
        unpack_table(message.table) if message.table is not None else None,
        unpack_targets(message.targets, reject),
        0.0,
        0.0,
    )
    return receiver


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
