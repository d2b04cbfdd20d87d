"""First start-up step of a process: reads the settings and binds the sockets."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from ._settings import NodeSettings, load_node_settings
from ._settings_reader import NodeSettingsRejected
from ._sockets import NodeSockets, bind_node_sockets

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


@dataclass(frozen=True, slots=True)
class NodeBoot:
    """Result of the first start-up step.

    Attributes:
        settings_path: the settings file.
        settings: the settings as read at the start.
        sockets: the sockets bound to the endpoints of the settings.
    """

    settings_path: Path
    settings: NodeSettings
    sockets: NodeSockets


class BootFailed(Exception):
    """A process can't start because of its settings or an endpoint.

    Attributes:
        problem: what is wrong.
        exit_code: 2 if settings were rejected, 3 if an address could not be bound.
    """

    def __init__(self, problem: str, exit_code: int) -> None:
        super().__init__(f"egretsill: {problem}")
        self.problem = problem
        self.exit_code = exit_code


def boot(settings_path: Path) -> NodeBoot:
    """Read the settings of a process and bind its UDP sockets.

    Args:
        settings_path: INI file.

    Raises:
        BootFailed: if the process can't start.
    """
    try:
        settings = load_node_settings(settings_path)
        return NodeBoot(settings_path, settings, bind_node_sockets(settings))
    except NodeSettingsRejected as error:
        raise BootFailed(str(error), EXIT_SETTINGS) from error
    except OSError as error:
        raise BootFailed(f"address can't be bound: {error}", EXIT_ADDRESS) from error
