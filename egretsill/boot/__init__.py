"""First start-up step of an address-steering process, before its libraries are loaded."""

from ._boot import SETTINGS_WAIT_SECONDS, BootFailed, NodeBoot, boot
from ._settings import (
    AgentSettings,
    NodeRole,
    NodeSettings,
    load_node_settings,
)
from ._settings_reader import NodeSettingsRejected, SettingsFault, settings_version
from ._sockets import BindFailed, NodeSockets, bind_node_sockets

__all__ = [
    "AgentSettings",
    "BindFailed",
    "BootFailed",
    "NodeBoot",
    "NodeRole",
    "NodeSettings",
    "NodeSettingsRejected",
    "NodeSockets",
    "SETTINGS_WAIT_SECONDS",
    "SettingsFault",
    "bind_node_sockets",
    "boot",
    "load_node_settings",
    "settings_version",
]
