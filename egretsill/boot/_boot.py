"""First start-up step of a process: reads the settings and binds the sockets."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from ._settings import NodeSettings, load_node_settings
from ._settings_reader import NodeSettingsRejected, settings_version
from ._sockets import NodeSockets, bind_node_sockets

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3

SETTINGS_WAIT_SECONDS = 5.0  # the file may be absent or half written while it is placed
SETTINGS_SETTLE_SECONDS = 0.25  # a file that lacks optional keys may be half written, too
SETTINGS_POLL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class NodeBoot:
    """Result of the first start-up step.

    Attributes:
        settings_path: the settings file.
        settings_version: the version of the file that was read, or of one before.
        settings: the settings as read at the start.
        sockets: the sockets bound to the endpoints of the settings.
    """

    settings_path: Path
    settings_version: tuple[int, int, int]
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


def boot(settings_path: Path, settings_wait_seconds: float = 0.0) -> NodeBoot:
    """Read the settings of a process and bind its UDP sockets.

    Args:
        settings_path: INI file.
        settings_wait_seconds: how long to read the file again while it is missing or faulty.

    Raises:
        BootFailed: if the process can't start.
    """
    try:
        version, settings = _read_settings(settings_path, settings_wait_seconds)
        return NodeBoot(settings_path, version, settings, bind_node_sockets(settings))
    except NodeSettingsRejected as error:
        raise BootFailed(str(error), EXIT_SETTINGS) from error
    except OSError as error:
        raise BootFailed(f"address can't be bound: {error}", EXIT_ADDRESS) from error


def _read_settings(path: Path, wait_seconds: float) -> tuple[tuple[int, int, int], NodeSettings]:
    deadline = time.monotonic() + wait_seconds
    settled_at = deadline
    version = None
    while True:
        now = time.monotonic()
        if (found := settings_version(path)) != version:
            version = found
            settled_at = min(now + SETTINGS_SETTLE_SECONDS, deadline)
        try:
            settings = load_node_settings(path)
        except NodeSettingsRejected:
            if now >= deadline:
                raise
        else:
            if not settings.defaulted or now >= settled_at:
                return version, settings
        time.sleep(SETTINGS_POLL_SECONDS)
