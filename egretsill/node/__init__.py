"""A process that steers by address, as a balancer or as an agent."""

from ._main import run
from ._node import Node, StoreFactory
from ._settings import (
    AgentSettings,
    NodeRole,
    NodeSettings,
    NodeSettingsRejected,
    load_node_settings,
)

__all__ = [
    "AgentSettings",
    "Node",
    "NodeRole",
    "NodeSettings",
    "NodeSettingsRejected",
    "StoreFactory",
    "load_node_settings",
    "run",
]
