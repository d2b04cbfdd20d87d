"""A process reads its settings and binds its sockets before it loads libraries."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import pytest

from ...endpoints import Address
from ...wire.tests.holders import HOLDERS, held
from .. import SETTINGS_WAIT_SECONDS, BootFailed, NodeSockets, boot
from .. import _boot as boot_module
from .test_settings import AGENT, write

LIBRARIES = ("trio", "msgpack", "h11", "attr")


def on_loopback(text: str, last_octet: int) -> str:
    """Return the settings with a loopback address as the VM's address."""
    return text.replace("10.1.0.12", f"127.{os.getpid() % 200 + 20}.77.{last_octet}")


def test_bound_sockets_receive_packets(tmp_path: Path) -> None:
    started = boot(write(tmp_path, on_loopback(AGENT, 1)))
    sockets = started.sockets
    try:
        sockets.tunnel.sendto(b"early", sockets.packets.getsockname())
        assert sockets.packets.recv(100) == b"early"
        assert sockets.packets.getsockname()[1] == 8162
        assert sockets.tunnel.getsockname()[1] == 7720
        assert sockets.heartbeats.getsockname()[1] == 7721
    finally:
        for each in (sockets.packets, sockets.tunnel, sockets.heartbeats):
            each.close()


def test_balancer_binds_packets_endpoint(tmp_path: Path) -> None:
    text = on_loopback(AGENT, 2).replace("role = agent", "role = balancer")
    sockets = boot(write(tmp_path, text)).sockets
    try:
        assert sockets.packets.getsockname()[1] == 8172
    finally:
        for each in (sockets.packets, sockets.tunnel, sockets.heartbeats):
            each.close()


def test_invalid_settings_fail_with_exit_code_2(tmp_path: Path) -> None:
    with pytest.raises(BootFailed, match="role") as caught:
        boot(write(tmp_path, AGENT.replace("role = agent", "role = other")))
    assert caught.value.exit_code == 2


class Clock:
    """Stands in for the time module: a wait advances it and runs what is due.

    Args:
        steps: what happens while `boot` waits, by the time at which it does.
    """

    def __init__(self, steps: dict[float, Callable[[], object]]) -> None:
        self.now = 100.0
        self._started_at = self.now
        self._steps = sorted(steps.items())

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds
        while self._steps and self._started_at + self._steps[0][0] <= self.now:
            self._steps.pop(0)[1]()


COMPLETE = on_loopback(AGENT, 4)


# Guards against an end because the settings are being placed while the process starts.
@pytest.mark.parametrize(
    "before",
    [
        pytest.param(None, id="absent"),
        pytest.param("", id="empty"),
        pytest.param(COMPLETE[:200], id="without required keys"),
        pytest.param(COMPLETE[: COMPLETE.index("[bounds]")], id="without optional keys"),
        pytest.param(COMPLETE[: COMPLETE.index("grace") + 3], id="cut in a key"),
    ],
)
def test_settings_that_are_being_written_are_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, before: str | None
) -> None:
    path = tmp_path / "settings.ini" if before is None else write(tmp_path, before)
    monkeypatch.setattr(boot_module, "time", Clock({0.2: lambda: write(tmp_path, COMPLETE)}))
    started = boot(path, SETTINGS_WAIT_SECONDS)
    for each in (started.sockets.packets, started.sockets.tunnel, started.sockets.heartbeats):
        each.close()
    assert started.settings.grace_seconds == 6.0
    assert started.settings.defaulted == ()


def test_settings_without_optional_keys_are_taken_once_they_are_settled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write(tmp_path, COMPLETE[: COMPLETE.index("[bounds]")])
    clock = Clock({})
    monkeypatch.setattr(boot_module, "time", clock)
    started = boot(path, SETTINGS_WAIT_SECONDS)
    for each in (started.sockets.packets, started.sockets.tunnel, started.sockets.heartbeats):
        each.close()
    assert len(started.settings.defaulted) == 2
    assert clock.now <= 100.5


def test_wait_for_settings_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock({})
    monkeypatch.setattr(boot_module, "time", clock)
    with pytest.raises(BootFailed) as caught:
        boot(tmp_path / "absent.ini", SETTINGS_WAIT_SECONDS)
    assert caught.value.exit_code == 2
    assert SETTINGS_WAIT_SECONDS <= clock.now - 100.0 <= SETTINGS_WAIT_SECONDS + 0.1


def test_address_in_use_leaves_no_socket_open(tmp_path: Path) -> None:
    path = write(tmp_path, on_loopback(AGENT, 3))
    first = boot(path).sockets
    first.packets.close()
    try:
        with pytest.raises(BootFailed, match="bound") as caught:
            boot(path)
        assert caught.value.exit_code == 3
    finally:
        first.tunnel.close()
        first.heartbeats.close()
    again = boot(path).sockets
    for each in (again.packets, again.tunnel, again.heartbeats):
        each.close()


def close_all(sockets: NodeSockets) -> None:
    for each in fields(sockets):
        if (bound := getattr(sockets, each.name)) is not None:
            bound.close()


# Guards against a process whose own connection to the store takes the port of its metrics page.
@pytest.mark.parametrize(
    ("endpoint", "port"),
    [
        pytest.param("content", 7720, id="content"),
        pytest.param("health", 8167, id="health"),
        pytest.param("metrics", 9464, id="metrics"),
    ],
)
def test_tcp_endpoints_are_reserved_and_refuse_connections(
    tmp_path: Path, endpoint: str, port: int
) -> None:
    started = boot(write(tmp_path, on_loopback(AGENT, 4)))
    address = (started.settings.host, port)
    try:
        assert getattr(started.sockets, endpoint).getsockname() == address
        with socket.socket() as peer, pytest.raises(ConnectionRefusedError):
            peer.connect(address)
        with socket.socket() as outgoing, pytest.raises(OSError, match="in use"):
            outgoing.bind(address)
    finally:
        close_all(started.sockets)


# Guards against an end of the process because an endpoint that it can do without is taken.
@pytest.mark.parametrize("holder", HOLDERS)
@pytest.mark.parametrize(
    ("endpoint", "port"),
    [
        pytest.param("content", 7720, id="content"),
        pytest.param("health", 8167, id="health"),
        pytest.param("metrics", 9464, id="metrics"),
    ],
)
def test_taken_tcp_endpoint_is_left_to_its_server(
    tmp_path: Path, endpoint: str, port: int, holder: str
) -> None:
    text = on_loopback(AGENT, 5)
    with held(holder, Address(f"127.{os.getpid() % 200 + 20}.77.5", port)):
        sockets = boot(write(tmp_path, text)).sockets
    close_all(sockets)
    missing = [each.name for each in fields(sockets) if getattr(sockets, each.name) is None]
    assert missing == [endpoint]


def test_import_loads_no_library() -> None:
    program = f"import sys, egretsill.boot; print([m for m in {LIBRARIES!r} if m in sys.modules])"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
