"""A process reads its settings and binds its sockets before it loads libraries."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from .. import BootFailed, boot
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


def test_import_loads_no_library() -> None:
    program = f"import sys, egretsill.boot; print([m for m in {LIBRARIES!r} if m in sys.modules])"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
