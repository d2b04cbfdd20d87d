"""First start-up step of a process: reads the settings and binds the sockets."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..startup import EXIT_ADDRESS, EXIT_SETTINGS
from ._settings import NodeSettings, load_node_settings
from ._settings_reader import NodeSettingsRejected, settings_version
from ._sockets import BindFailed, NodeSockets, bind_node_sockets

SETTINGS_WAIT_SECONDS = 5.0  # the file may be absent or half written while it is placed
SETTINGS_SETTLE_SECONDS = 0.25  # a file that lacks optional keys may be half written, too
SETTINGS_POLL_SECONDS = 0.05

ADDRESS_RETRY_SECONDS = 0.1
ADDRESS_REPORT_SECONDS = 10.0  # between reports about the same address


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


def boot(
    settings_path: Path,
    settings_wait_seconds: float = 0.0,
    report_wait: Callable[[str], None] | None = None,
) -> NodeBoot:
    """Read the settings of a process and bind its sockets.

    Args:
        settings_path: INI file.
        settings_wait_seconds: how long to read the file again while it is missing or faulty.
        report_wait: called at once and then now and then with the address that the process waits
            for until it can be bound; None to fail instead of waiting.

    Raises:
        BootFailed: if the process can't start.
    """
    try:
        version, settings = _read_settings(settings_path, settings_wait_seconds)
    except NodeSettingsRejected as error:
        raise BootFailed(str(error), EXIT_SETTINGS) from error
    reported_at, reported = float("-inf"), ""
    while True:
        try:
            return NodeBoot(settings_path, version, settings, bind_node_sockets(settings))
        except BindFailed as error:
            if report_wait is None or not error.is_temporary:
                raise BootFailed(str(error), EXIT_ADDRESS) from error
            problem = str(error)
        now = time.monotonic()
        if problem != reported or now - reported_at >= ADDRESS_REPORT_SECONDS:
            reported_at, reported = now, problem
            report_wait(f"egretsill: waiting: {problem}")
        time.sleep(ADDRESS_RETRY_SECONDS)
        if (found := settings_version(settings_path)) != version:
            # The new settings may name another address.
            try:
                version, settings = _read_settings(settings_path, settings_wait_seconds)
            except NodeSettingsRejected as error:
                version = found
                report_wait(f"egretsill: the settings read before stay in force: {error}")


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
