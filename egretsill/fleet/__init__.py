"""Heartbeats between the processes of a fleet that steers by address."""

from ._heartbeat import FLEET_TYPES, Heartbeat
from ._peers import HEARTBEAT_SECONDS, SILENT_SECONDS, Peer, PeerTable

__all__ = [
    "FLEET_TYPES",
    "HEARTBEAT_SECONDS",
    "Heartbeat",
    "Peer",
    "PeerTable",
    "SILENT_SECONDS",
]
