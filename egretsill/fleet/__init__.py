"""Heartbeats between the processes of a fleet that steers by service address."""

from ._cells import CELL_TARGETS, Cells
from ._heartbeat import (
    MAXIMUM_REPORTS,
    Heartbeat,
    HeartbeatHead,
    MalformedHeartbeat,
    PeerReport,
    decode_head,
    decode_reports,
    encode_heartbeat,
)
from ._hubs import HUBS, HubPlan
from ._peers import FORGET_SECONDS, HEARTBEAT_SECONDS, SILENT_SECONDS, Peer, PeerTable

__all__ = [
    "CELL_TARGETS",
    "Cells",
    "FORGET_SECONDS",
    "HEARTBEAT_SECONDS",
    "HUBS",
    "Heartbeat",
    "HeartbeatHead",
    "HubPlan",
    "MAXIMUM_REPORTS",
    "MalformedHeartbeat",
    "Peer",
    "PeerReport",
    "PeerTable",
    "SILENT_SECONDS",
    "decode_head",
    "decode_reports",
    "encode_heartbeat",
]
