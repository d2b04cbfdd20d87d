"""What processes tell each other of themselves and of the processes that they hear.

Every process gets many of these a second, so they are packed by hand.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

MAXIMUM_REPORTS = 90  # of one datagram, which stays within a packet of 1,200 bytes
MAXIMUM_CELL_BYTES = 80
SILENCE_UNIT_MILLISECONDS = 10
LONGEST_SILENCE_MILLISECONDS = 0xFF * SILENCE_UNIT_MILLISECONDS

_TOLD, _ASKING = 0xB1, 0xB4
_HEAD = struct.Struct(">BIQIQQIB")  # mark, host, run, sequence, version, revision, age, cell
_REPORT = struct.Struct(">IHHHBB")  # host, pending, flows, delay, silence, flags
_IS_BALANCER, _IS_LEAVING, _CAN_READ, _IS_TARGET_SILENT, _IS_NEW = 1, 2, 4, 8, 16
_LARGEST_SHORT = 0xFFFF
_LARGEST_LONG = 0xFFFFFFFF


class PeerReport(NamedTuple):
    """One process, as it is told of. A named tuple, not a data class, as there are so many.

    Attributes:
        host: IPv4 address of its VM, as a number.
        is_balancer: whether it takes packets from the fabric.
        is_leaving: whether it wants no new flows.
        can_read: whether the store answers it.
        is_target_silent: whether its target has answered nothing for a while.
        pending: requests in progress at its target.
        flows: open flows at its target.
        delay_milliseconds: how long answers began to take there lately; 0 if unknown.
        silence_milliseconds: how long ago the teller heard it.
        is_new: whether it has just started, so that it knows no flows of others.
    """

    host: int
    is_balancer: bool = False
    is_leaving: bool = False
    can_read: bool = True
    is_target_silent: bool = False
    pending: int = 0
    flows: int = 0
    delay_milliseconds: int = 0
    silence_milliseconds: int = 0
    is_new: bool = False


class HeartbeatHead(NamedTuple):
    """The sender of a heartbeat and its content.

    Attributes:
        host: IPv4 address of the sender, as a number.
        incarnation: tells two runs of a process apart.
        sequence: counts the heartbeats of a run.
        version: configuration version in force there.
        revision: store revision of its content.
        age_milliseconds: since when a read confirmed that content, as far as it knows.
        cell: the cell whose hubs it tells; empty while it knows none.
        is_asking: whether the sender takes the receiver for a hub, and wants to be told.
    """

    host: int
    incarnation: int
    sequence: int
    version: int
    revision: int
    age_milliseconds: int
    cell: str
    is_asking: bool = False


class Heartbeat(NamedTuple):
    """A sender, and what it knows of processes, itself among them."""

    head: HeartbeatHead
    reports: Sequence[PeerReport]


class MalformedHeartbeat(Exception):
    """A datagram that is no heartbeat.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"no heartbeat: {reason}")
        self.reason = reason


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the bytes of a heartbeat of at most 90 reports."""
    head = heartbeat.head
    cell = head.cell.encode()[:MAXIMUM_CELL_BYTES]
    parts = [
        _HEAD.pack(
            _ASKING if head.is_asking else _TOLD,
            head.host,
            head.incarnation,
            head.sequence & _LARGEST_LONG,
            head.version,
            head.revision,
            min(head.age_milliseconds, _LARGEST_LONG),
            len(cell),
        ),
        cell,
    ]
    parts.extend(_encode_report(each) for each in heartbeat.reports[:MAXIMUM_REPORTS])
    return b"".join(parts)


def decode_head(data: bytes) -> HeartbeatHead:
    """Return the sender of a heartbeat, and leave its reports unread.

    Raises:
        MalformedHeartbeat: if it is none.
    """
    if len(data) < _HEAD.size or data[0] not in (_TOLD, _ASKING):
        raise MalformedHeartbeat("head")
    mark, host, incarnation, sequence, version, revision, age, size = _HEAD.unpack_from(data)
    reports_at = _HEAD.size + size
    if len(data) < reports_at or (len(data) - reports_at) % _REPORT.size:
        raise MalformedHeartbeat("length")
    try:
        cell = data[_HEAD.size : reports_at].decode()
    except UnicodeDecodeError as error:
        raise MalformedHeartbeat("cell") from error
    return HeartbeatHead(host, incarnation, sequence, version, revision, age, cell, mark == _ASKING)


def decode_reports(data: bytes) -> Sequence[PeerReport]:
    """Return the reports of a heartbeat whose head was decoded before."""
    reports_at = _HEAD.size + data[_HEAD.size - 1]
    return [
        PeerReport(
            host,
            bool(flags & _IS_BALANCER),
            bool(flags & _IS_LEAVING),
            bool(flags & _CAN_READ),
            bool(flags & _IS_TARGET_SILENT),
            pending,
            flows,
            delay,
            silence * SILENCE_UNIT_MILLISECONDS,
            bool(flags & _IS_NEW),
        )
        for host, pending, flows, delay, silence, flags in _REPORT.iter_unpack(data[reports_at:])
    ]


def _encode_report(report: PeerReport) -> bytes:
    flags = (
        (_IS_BALANCER if report.is_balancer else 0)
        | (_IS_LEAVING if report.is_leaving else 0)
        | (_CAN_READ if report.can_read else 0)
        | (_IS_TARGET_SILENT if report.is_target_silent else 0)
        | (_IS_NEW if report.is_new else 0)
    )
    return _REPORT.pack(
        report.host,
        min(report.pending, _LARGEST_SHORT),
        min(report.flows, _LARGEST_SHORT),
        min(report.delay_milliseconds, _LARGEST_SHORT),
        min(report.silence_milliseconds, LONGEST_SILENCE_MILLISECONDS) // SILENCE_UNIT_MILLISECONDS,
        flags,
    )
