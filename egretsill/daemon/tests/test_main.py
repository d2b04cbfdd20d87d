from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from ...quickstart import load_plan, write_site_files
from .. import main

ENDPOINTS = ("tunnel", "relay", "gossip", "admin")


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Path:
    directory = tmp_path_factory.mktemp("site")
    write_site_files(load_plan("sibiu", directory), directory)
    return directory


def _edited(site: Path, name: str, old: str, new: str) -> Path:
    text = (site / "settings" / name).read_text()
    assert old in text
    path = site / f"edited-{name}"
    path.write_text(text.replace(old, new))
    return path


@pytest.mark.parametrize(
    ("arguments", "code", "expected_error"),
    [
        pytest.param([], 2, "--settings=FILE", id="no settings flag"),
        pytest.param(["--settings=/nowhere.ini"], 2, "/nowhere.ini", id="missing file"),
        pytest.param(["--unknown"], 2, "unknown", id="unknown flag"),
        pytest.param(["stray"], 2, "nothing else", id="stray argument"),
        pytest.param(["--help"], 0, "", id="help"),
    ],
)
def test_flags_give_exit_code_and_error(
    arguments: list[str], code: int, expected_error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == code
    assert expected_error in capsys.readouterr().err


def test_check_flag_accepts_valid_settings(site: Path) -> None:
    path = site / "settings" / "agent-catalog-1.ini"
    assert main([f"--settings={path}", "--check"]) == 0


@pytest.mark.parametrize(
    ("old", "new", "expected_parts"),
    [
        pytest.param("linger = 1 s", "linger = 1 parsec", ("shutdown", "linger"), id="unit"),
        pytest.param("role = agent", "role = oracle", ("daemon", "role"), id="role"),
        pytest.param("[log]", "[logs]", ("logs",), id="unknown section"),
        pytest.param("number = 1001\n", "", ("daemon", "number"), id="agent without target"),
    ],
)
def test_settings_error_names_file_section_and_key(
    site: Path,
    old: str,
    new: str,
    expected_parts: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = _edited(site, "agent-catalog-1.ini", old, new)
    assert main([f"--settings={path}"]) == 2
    error = capsys.readouterr().err
    assert all(each in error for each in (path.name, *expected_parts))


def test_unreadable_certificate_is_rejected(site: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = _edited(site, "agent-catalog-1.ini", "certificate.pem", "missing.pem")
    assert main([f"--settings={path}"]) == 2
    assert "missing.pem" in capsys.readouterr().err


def _free_ports(count: int) -> list[int]:
    sockets = [_bind_tcp_port(0) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _bind_udp_port(port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", port))
    return bound


def _bind_tcp_port(port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.bind(("127.0.0.1", port))
    bound.listen()
    return bound


@pytest.mark.parametrize(
    ("purpose", "bind_port"),
    [
        pytest.param("tunnel", _bind_udp_port, id="tunnel"),
        pytest.param("gossip", _bind_udp_port, id="gossip"),
        pytest.param("relay", _bind_tcp_port, id="relay"),
    ],
)
def test_endpoint_in_use_is_reported(
    site: Path,
    purpose: str,
    bind_port: Callable[[int], socket.socket],
    capsys: pytest.CaptureFixture[str],
) -> None:
    with bind_port(0) as bound:
        port = bound.getsockname()[1]
        ports = {**dict(zip(ENDPOINTS, _free_ports(len(ENDPOINTS)), strict=True)), purpose: port}
        text = (site / "settings" / "sibiu-balancer-1.ini").read_text()
        lines = [
            (
                f"{line.split()[0]} = 127.0.0.1:{ports[line.split()[0]]}"
                if line.split(" = ")[0] in ports
                else line
            )
            for line in text.splitlines()
        ]
        path = site / f"bound-{purpose}.ini"
        path.write_text("\n".join(lines))
        assert main([f"--settings={path}"]) == 3
        assert f"{purpose} 127.0.0.1:{port}: EADDRINUSE" in capsys.readouterr().err
