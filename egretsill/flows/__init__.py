"""Callers' flows on the agent that owns them."""

from . import headers
from ._agent_tunnel import AgentTunnel
from ._connection import Http3Connection, OwnedConnection, WindowedConnection, drain_events
from ._datagram import IncomingDatagram, OutgoingDatagram
from ._drops import FlowDrop
from ._flow import CloseReason
from ._flow_server import FlowCounts, FlowServer, server_configuration
from ._return_path import ReturnPath

__all__ = [
    "AgentTunnel",
    "CloseReason",
    "FlowCounts",
    "FlowDrop",
    "FlowServer",
    "Http3Connection",
    "IncomingDatagram",
    "OutgoingDatagram",
    "OwnedConnection",
    "ReturnPath",
    "WindowedConnection",
    "drain_events",
    "headers",
    "server_configuration",
]
