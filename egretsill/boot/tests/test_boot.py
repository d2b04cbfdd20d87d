"""A process reads its settings and binds its sockets before it loads libraries."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from dataclasses import fields
from pathlib import Path

import pytest

from ...endpoints import Address
from ...wire.tests.holders import HOLDERS, held
from .. import BootFailed, NodeSockets, boot
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
