"""The parts of a process whose failures are kept apart."""

from __future__ import annotations

import enum


class Part(enum.Enum):
    """A part of a process, as named in log lines, metrics and on the status page."""

    PACKETS = "packets"
    TUNNEL = "tunnel"
    SERVING = "serving"
    TIMERS = "timers"
    HEARTBEATS = "heartbeats"
    CONTENT_FETCHING = "content-fetching"
    CONTENT_SERVING = "content-serving"
    STORE_READING = "store-reading"
    ADMIN = "admin"
    LOG = "log"
    SETTINGS = "settings"
    SHUTDOWN = "shutdown"
    GOSSIP = "gossip"
    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    PLATFORM_READING = "platform-reading"
    RELAY = "relay"
    ROLE = "role"
    FLOWS = "flows"
    REQUESTS = "requests"
    BACKEND_HEALTH = "backend-health"
