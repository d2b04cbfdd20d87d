"""A process waits for a UDP endpoint that it can't serve without."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import fields
from pathlib import Path

import pytest

from .. import BootFailed, NodeBoot, NodeSockets, boot
from .. import _boot as boot_module
from .. import _sockets as sockets_module
from .test_boot import Clock, close_all, on_loopback
from .test_settings import AGENT, write

HOST = f"127.{os.getpid() % 200 + 20}.77.6"
TEXT = on_loopback(AGENT, 6)

ENDPOINTS = [
    pytest.param("packets", 8162, id="packets"),
    pytest.param("tunnel", 7720, id="tunnel"),
    pytest.param("heartbeats", 7721, id="heartbeats"),
]


def bind_udp(host: str, port: int) -> socket.socket:
    bound = socket.socket(type=socket.SOCK_DGRAM)
    bound.bind((host, port))
    return bound


def connect_udp(host: str, port: int) -> socket.socket:
    """Return a socket of a client that has the endpoint's port as its own."""
    client = bind_udp(host, port)
    client.connect((host, 9))
    return client


HOLDERS: Mapping[str, Callable[[str, int], socket.socket]] = {
    "server": bind_udp,
    "client": connect_udp,
}


@contextmanager
def booted(
    path: Path, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> Iterator[tuple[NodeBoot, Sequence[str]]]:
    """Boot with a clock; yield the result and what was reported."""
    reports: list[str] = []
    monkeypatch.setattr(boot_module, "time", clock)
    started = boot(path, 0.0, reports.append)
    try:
        yield started, reports
    finally:
        close_all(started.sockets)


# Guards against an end of the process because an address is taken by a predecessor that still ends.
@pytest.mark.parametrize("holder", HOLDERS)
@pytest.mark.parametrize(("endpoint", "port"), ENDPOINTS)
def test_process_waits_until_a_taken_address_is_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, endpoint: str, port: int, holder: str
) -> None:
    path = write(tmp_path, TEXT)
    taken = HOLDERS[holder](HOST, port)
    clock = Clock({25.0: taken.close})
    with booted(path, clock, monkeypatch) as (started, reports):
        assert getattr(started.sockets, endpoint).getsockname() == (HOST, port)
        assert all(getattr(started.sockets, each.name) for each in fields(NodeSockets))
    line = f"egretsill: waiting: {endpoint} address {HOST}:{port} can't be bound: Address already"
    assert [each.startswith(line) for each in reports] == [True] * 3
    assert 125.0 <= clock.now <= 125.2


# Guards against a wait that keeps the addresses of a process that could serve with them.
def test_other_addresses_are_free_while_the_process_waits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken = bind_udp(HOST, 7721)

    def use_others() -> None:
        for port in (8162, 7720):
            bind_udp(HOST, port).close()
        taken.close()

    clock = Clock({1.0: use_others})
    with booted(write(tmp_path, TEXT), clock, monkeypatch) as (_, reports):
        assert len(reports) == 1


# Guards against a wait for an address that the settings don't name any more.
@pytest.mark.parametrize(
    ("first", "lines"),
    [
        pytest.param(TEXT, 1, id="corrected at once"),
        pytest.param("[node]\nrole = agent\n", 2, id="faulty first"),
    ],
)
def test_settings_that_change_during_the_wait_are_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: str, lines: int
) -> None:
    absent = TEXT.replace(f"host = {HOST}", "host = 192.0.2.1")
    path = write(tmp_path, absent)
    clock = Clock({1.0: lambda: write(tmp_path, first), 2.0: lambda: write(tmp_path, TEXT + "\n")})
    with booted(path, clock, monkeypatch) as (started, reports):
        assert started.settings.host == HOST
    assert "tunnel address 192.0.2.1:7720 can't be bound: Cannot assign" in reports[0]
    assert len(reports) == lines


# Guards against an endless wait for what can't come.
@pytest.mark.parametrize(
    "code",
    [
        pytest.param(errno.EACCES, id="permission"),
        pytest.param(errno.EAFNOSUPPORT, id="address family"),
        pytest.param(errno.EINVAL, id="invalid address"),
        pytest.param(errno.EMFILE, id="descriptors of the process"),
    ],
)
def test_error_that_waiting_cannot_mend_ends_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    def fail(*_: object) -> socket.socket:
        raise OSError(code, os.strerror(code))

    monkeypatch.setattr(sockets_module, "open_datagram_socket", fail)
    with pytest.raises(BootFailed, match=r"packets address .* can't be bound") as caught:
        boot(write(tmp_path, TEXT), 0.0, pytest.fail)
    assert caught.value.exit_code == 3
