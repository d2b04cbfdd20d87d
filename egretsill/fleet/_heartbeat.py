"""Encoding of heartbeats, in which processes report their own state and that of their peers.

Every process receives many of these a second, so they are packed with `struct`.
"""

from __future__ import annotations

import struct
from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from ..directory import NUMBER_LIMIT, StoreRevision
from ..endpoints import is_unicast_ipv4

MAXIMUM_REPORTS = 89  # per datagram, so that it fits in a packet of 1,200 bytes
SILENCE_UNIT_MILLISECONDS = 10
LONGEST_SILENCE_MILLISECONDS = 0xFF * SILENCE_UNIT_MILLISECONDS

_PLAIN_MARK, _SUBSCRIBING_MARK = 0xB7, 0xB8
_FORMER_PLAIN_MARK, _FORMER_SUBSCRIBING_MARK = 0xB5, 0xB6  # without backlog and work
_MARKS = frozenset((_PLAIN_MARK, _SUBSCRIBING_MARK, _FORMER_PLAIN_MARK, _FORMER_SUBSCRIBING_MARK))
_HEAD = struct.Struct(">BIQIQQQIB")  # mark, host, run, sequence, version, era, number, age, cell
# host, flows, pending, delay, backlog, work, silence, flags; four of them are levels
_REPORT = struct.Struct(">IHBBBBBB")
_FORMER_REPORT = struct.Struct(">IHHHBB")  # host, pending, flows, delay, silence, flags
_IS_BALANCER, _IS_LEAVING, _CAN_READ, _IS_TARGET_SILENT, _IS_NEW = 1, 2, 4, 8, 16
_IS_TARGET_FAILING, _READS_LEVELS = 32, 64
_TENTHS = 10  # backlog and work are sent in tenths of milliseconds

# One byte holds a number as one of these levels: exactly up to 64, then in steps of 4.4%. A number
# is rounded down to a level, so a hub that passes it on doesn't change it.
_EXACT_LEVELS, _LEVELS_PER_DOUBLING = 64, 16
_LEVELS = tuple(
    (
        level
        if level < _EXACT_LEVELS
        else round(_EXACT_LEVELS * 2 ** ((level - _EXACT_LEVELS) / _LEVELS_PER_DOUBLING))
    )
    for level in range(256)
)
_LARGEST_SHORT = 0xFFFF
_LARGEST_LONG = 0xFFFFFFFF


class PeerReport(NamedTuple):
    """State of one process, as reported by itself or by a hub.

    A named tuple, which is cheaper than a data class, since there are very many of them.

    Attributes:
        host: IPv4 address of its VM, as a number.
        is_balancer: whether it takes packets from the fabric.
        is_leaving: whether it takes no new flows.
        can_read: whether it gets answers from the store.
        is_target_silent: whether its target has not answered anything for a while.
        pending: requests in progress at its target.
        flows: open flows at its target.
        delay_milliseconds: recent time to first byte of its target's answers; 0 if unknown.
        silence_milliseconds: how long before the report the sender last received a heartbeat of it.
        is_new: whether it has just started, and so doesn't know the flows of others yet.
        backlog_milliseconds: expected time until its target could start one more request, that is
            the work of what it has, what is on its way and what waits for it, over its slots.
        work_milliseconds: time that its target takes for a usual request; 0 if unknown.
        reads_levels: whether it decodes the current layout of heartbeats.
        is_target_failing: whether its target has failed too many of its latest requests.
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
    backlog_milliseconds: float = 0.0
    work_milliseconds: float = 0.0
    reads_levels: bool = False
    is_target_failing: bool = False


class HeartbeatHead(NamedTuple):
    """The sender of a heartbeat and the revision of its directory content.

    Attributes:
        host: IPv4 address of the sender, as a number.
        incarnation: distinguishes runs of a process.
        sequence: number of the heartbeat within a run.
        version: configuration version in force at the sender.
        revision: store revision of its content.
        age_milliseconds: time since a read of the store last confirmed that content, as far as the
            sender knows.
        cell: the cell that the sender belongs to; empty while it knows none.
        is_subscribing: whether the sender takes the receiver for a hub and subscribes to its
            heartbeats.
    """

    host: int
    incarnation: int
    sequence: int
    version: int
    revision: StoreRevision
    age_milliseconds: int
    cell: str
    is_subscribing: bool = False


class Heartbeat(NamedTuple):
    """A sender, and its reports of processes, including itself."""

    head: HeartbeatHead
    reports: Sequence[PeerReport]


class MalformedHeartbeat(Exception):
    """A datagram is not a valid heartbeat.

    Attributes:
        reason: the part that is invalid.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed heartbeat: invalid {reason}")
        self.reason = reason


def encode_heartbeat(heartbeat: Heartbeat, is_former: bool = False) -> bytes:
    """Encode a heartbeat; reports beyond `MAXIMUM_REPORTS` are left out.

    Args:
        heartbeat: the heartbeat.
        is_former: whether to use the layout of earlier releases, which lacks backlog and work.
    """
    head = heartbeat.head
    plain, subscribing = (
        (_FORMER_PLAIN_MARK, _FORMER_SUBSCRIBING_MARK)
        if is_former
        else (_PLAIN_MARK, _SUBSCRIBING_MARK)
    )
    encode_report = _encode_former_report if is_former else _encode_report
    cell = head.cell.encode()
    parts = [
        _HEAD.pack(
            subscribing if head.is_subscribing else plain,
            head.host,
            head.incarnation,
            head.sequence & _LARGEST_LONG,
            head.version,
            head.revision.era,
            head.revision.number,
            min(head.age_milliseconds, _LARGEST_LONG),
            len(cell),
        ),
        cell,
    ]
    parts.extend(encode_report(each) for each in heartbeat.reports[:MAXIMUM_REPORTS])
    return b"".join(parts)


def decode_head(data: bytes) -> HeartbeatHead:
    """Decode the head of a heartbeat without its reports.

    Raises:
        MalformedHeartbeat: if the datagram is not a valid heartbeat.
    """
    if len(data) < _HEAD.size or data[0] not in _MARKS:
        raise MalformedHeartbeat("head")
    mark, host, incarnation, sequence, version, era, number, age, size = _HEAD.unpack_from(data)
    if not is_unicast_ipv4(host):
        raise MalformedHeartbeat("host")
    if version >= NUMBER_LIMIT:
        raise MalformedHeartbeat("version")
    if era >= NUMBER_LIMIT or number >= NUMBER_LIMIT:
        raise MalformedHeartbeat("revision")
    reports_at = _HEAD.size + size
    if len(data) < reports_at or (len(data) - reports_at) % _REPORT.size:
        raise MalformedHeartbeat("length")
    try:
        cell = data[_HEAD.size : reports_at].decode()
    except UnicodeDecodeError as error:
        raise MalformedHeartbeat("cell") from error
    return HeartbeatHead(
        host,
        incarnation,
        sequence,
        version,
        StoreRevision(era, number),
        age,
        cell,
        mark in (_SUBSCRIBING_MARK, _FORMER_SUBSCRIBING_MARK),
    )


def decode_reports(data: bytes) -> Sequence[PeerReport]:
    """Decode the reports of a heartbeat whose head was decoded before."""
    reports = data[_HEAD.size + data[_HEAD.size - 1] :]
    if data[0] in (_FORMER_PLAIN_MARK, _FORMER_SUBSCRIBING_MARK):
        return [
            _make_report(host, pending, flows, delay, 0.0, 0.0, silence, flags)
            for host, pending, flows, delay, silence, flags in _FORMER_REPORT.iter_unpack(reports)
        ]
    levels = _LEVELS
    return [
        _make_report(
            host,
            levels[pending],
            flows,
            levels[delay],
            levels[backlog] / _TENTHS,
            levels[work] / _TENTHS,
            silence,
            flags,
        )
        for host, flows, pending, delay, backlog, work, silence, flags in _REPORT.iter_unpack(
            reports
        )
    ]


def _make_report(
    host: int,
    pending: int,
    flows: int,
    delay: int,
    backlog: float,
    work: float,
    silence: int,
    flags: int,
) -> PeerReport:
    return PeerReport(
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
        backlog,
        work,
        bool(flags & _READS_LEVELS),
        bool(flags & _IS_TARGET_FAILING),
    )


def _level_of(value: float) -> int:
    """Return the highest level that a number isn't below."""
    number = int(value + 0.5)
    return number if number < _EXACT_LEVELS else bisect_right(_LEVELS, number) - 1


def _flags_of(report: PeerReport) -> int:
    return (
        (_IS_BALANCER if report.is_balancer else 0)
        | (_IS_LEAVING if report.is_leaving else 0)
        | (_CAN_READ if report.can_read else 0)
        | (_IS_TARGET_SILENT if report.is_target_silent else 0)
        | (_IS_NEW if report.is_new else 0)
        | (_READS_LEVELS if report.reads_levels else 0)
        | (_IS_TARGET_FAILING if report.is_target_failing else 0)
    )


def _silence_of(report: PeerReport) -> int:
    silence = min(report.silence_milliseconds, LONGEST_SILENCE_MILLISECONDS)
    return silence // SILENCE_UNIT_MILLISECONDS


def _encode_report(report: PeerReport) -> bytes:
    return _REPORT.pack(
        report.host,
        min(report.flows, _LARGEST_SHORT),
        _level_of(report.pending),
        _level_of(report.delay_milliseconds),
        _level_of(report.backlog_milliseconds * _TENTHS),
        _level_of(report.work_milliseconds * _TENTHS),
        _silence_of(report),
        _flags_of(report),
    )


def _encode_former_report(report: PeerReport) -> bytes:
    return _FORMER_REPORT.pack(
        report.host,
        min(report.pending, _LARGEST_SHORT),
        min(report.flows, _LARGEST_SHORT),
        min(report.delay_milliseconds, _LARGEST_SHORT),
        _silence_of(report),
        _flags_of(report),
    )
