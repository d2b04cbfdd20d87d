from __future__ import annotations

import configparser
import re
from pathlib import Path

import pytest

from ... import settings as settings_package
from ...configuration import Address, Problem, load_declaration
from ...configuration.ini import (
    DuplicateAddress,
    InvalidValue,
    MissingKey,
    MissingSection,
    UnknownKey,
    UnknownSection,
    UnreadableFile,
    WrongUnit,
)
from ...steering import ConnectionIdKey
from .. import (
    DaemonSettings,
    FlowSettings,
    Role,
    SettingsRejected,
    load_daemon_settings,
)
from .._loader import OPTIONAL

EXAMPLES = Path(settings_package.__file__).parents[2] / "examples"
AGENT = """
[daemon]
role = agent
name = catalog-1
failure_domain = turnisor
number = 1001

[addresses]
tunnel = 127.0.0.1:1
relay = 127.0.0.1:2
gossip = 127.0.0.1:3
admin = 127.0.0.1:4

[platform]
addresses = 127.0.0.1:8000, 127.0.0.1:8001
read_time = 500 ms

[peers]
seeds = 127.0.0.1:30, 127.0.0.1:31

[tls]
certificate = chain.pem
key = key.pem

[connection_ids]
keys = 1:00112233445566778899aabbccddeeff, 0:ffeeddccbbaa99887766554433221100

[log]
file = agent.log

[backend]
health_path = /alive
"""
BALANCER = AGENT.replace("role = agent", "role = balancer").replace("number = 1001\n", "")


def load(tmp_path: Path, text: str) -> DaemonSettings:
    path = tmp_path / "daemon.ini"
    path.write_text(text)
    return load_daemon_settings(path)


def test_agent_settings_are_loaded(tmp_path: Path) -> None:
    settings = load(tmp_path, AGENT)
    assert settings.role is Role.AGENT
    assert settings.number == 1001
    assert settings.gossip == Address("127.0.0.1", 3)
    assert settings.platform.addresses == (
        Address("127.0.0.1", 8000),
        Address("127.0.0.1", 8001),
    )
    assert settings.platform.read_seconds == 0.5
    assert settings.seeds == (Address("127.0.0.1", 30), Address("127.0.0.1", 31))
    assert settings.connection_id_keys[0] == ConnectionIdKey(
        1, bytes.fromhex("00112233445566778899aabbccddeeff")
    )
    assert settings.tls is not None
    assert settings.tls.certificate == Path("chain.pem")
    assert settings.log.file == Path("agent.log")
    assert settings.backend.health_path == "/alive"
    assert settings.flows == FlowSettings()


def test_balancer_settings_are_loaded(tmp_path: Path) -> None:
    settings = load(tmp_path, BALANCER + "\n[listen]\n127.0.0.1:443 = 127.0.0.2:443\n")
    assert settings.role is Role.BALANCER
    assert settings.number is None
    assert settings.listen == {Address("127.0.0.1", 443): Address("127.0.0.2", 443)}


def test_repr_hides_connection_id_keys(tmp_path: Path) -> None:
    key = load(tmp_path, AGENT).connection_id_keys[0].secret
    assert repr(key) not in repr(load(tmp_path, AGENT))


def test_overlay_replaces_values(tmp_path: Path) -> None:
    (tmp_path / "base.ini").write_text(AGENT)
    (tmp_path / "overlay.ini").write_text("[log]\nfile = /tmp/x.log\n[flows]\nidle_time = 2 min\n")
    settings = load_daemon_settings(tmp_path / "base.ini", tmp_path / "overlay.ini")
    assert settings.log.file == Path("/tmp/x.log")
    assert settings.backend.health_path == "/alive"
    assert settings.flows.idle_seconds == 120.0


@pytest.mark.parametrize(
    ("old", "new", "kind", "section", "key"),
    [
        pytest.param("role = agent", "role = king", InvalidValue, "daemon", "role", id="role"),
        pytest.param(
            "number = 1001", "", MissingKey, "daemon", "number", id="agent without number"
        ),
        pytest.param(
            "role = agent",
            "role = balancer",
            UnknownKey,
            "daemon",
            "number",
            id="balancer with number",
        ),
        pytest.param("[tls]", "[ssl]", MissingSection, "tls", "", id="agent without certificate"),
        pytest.param("[log]", "[logs]", UnknownSection, "logs", "", id="unknown section"),
        pytest.param("file =", "files =", UnknownKey, "log", "files", id="unknown key"),
        pytest.param("500 ms", "500", WrongUnit, "platform", "read_time", id="missing unit"),
        pytest.param("500 ms", "0 ms", InvalidValue, "platform", "read_time", id="zero duration"),
        pytest.param(
            "127.0.0.1:3\n",
            "127.0.0.1:1\n",
            DuplicateAddress,
            "addresses",
            "gossip",
            id="address",
        ),
        pytest.param(
            "1:00112233445566778899aabbccddeeff",
            "7:00112233445566778899aabbccddeeff",
            InvalidValue,
            "connection_ids",
            "keys",
            id="rotation out of range",
        ),
        pytest.param(
            "0:ffee", "1:ffee", InvalidValue, "connection_ids", "keys", id="rotation used twice"
        ),
        pytest.param("0:ffee", "0:", InvalidValue, "connection_ids", "keys", id="short key"),
        pytest.param(
            "[log]",
            "[listen]\nx = 127.0.0.1:1\n[log]",
            InvalidValue,
            "listen",
            "x",
            id="listen key is not an address",
        ),
    ],
)
def test_error_names_file_section_and_key(
    tmp_path: Path, old: str, new: str, kind: type[Problem], section: str, key: str
) -> None:
    with pytest.raises(SettingsRejected) as caught:
        load(tmp_path, AGENT.replace(old, new))
    places = [(type(each), each.file, each.section, each.key) for each in caught.value.problems]
    assert (kind, str(tmp_path / "daemon.ini"), section, key) in places


def test_all_errors_are_reported_together(tmp_path: Path) -> None:
    text = AGENT.replace("500 ms", "5").replace("/alive", "alive").replace("tunnel", "tunel")
    with pytest.raises(SettingsRejected) as caught:
        load(tmp_path, text)
    assert {(each.section, each.key) for each in caught.value.problems} == {
        ("platform", "read_time"),
        ("backend", "health_path"),
        ("addresses", "tunel"),
        ("addresses", "tunnel"),
    }


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsRejected) as caught:
        load_daemon_settings(tmp_path / "none.ini")
    assert isinstance(caught.value.problems[0], UnreadableFile)


def test_example_files_are_valid() -> None:
    agent = load_daemon_settings(EXAMPLES / "agent.ini")
    balancer = load_daemon_settings(EXAMPLES / "balancer.ini")
    assert (agent.role, balancer.role) == (Role.AGENT, Role.BALANCER)
    assert agent.connection_id_keys == balancer.connection_id_keys
    target = load_declaration(EXAMPLES / "sibiu.ini")["catalog"].targets[0]
    assert (agent.name, agent.number, agent.failure_domain) == (
        f"agent-{target.name}",
        target.number,
        target.failure_domain,
    )
    assert (agent.tunnel, agent.relay, agent.gossip) == (
        target.tunnel,
        target.relay,
        target.gossip,
    )


def test_defaults_in_example_match_the_model(tmp_path: Path) -> None:
    text = (EXAMPLES / "agent.ini").read_text()
    with_defaults = re.sub(r"(?m)^# (\w+ = .*)$", r"\1", text)
    with_defaults = with_defaults.replace("file = egretsilld.log\n", "")
    path = tmp_path / "agent.ini"
    path.write_text(with_defaults)
    assert load_daemon_settings(path) == load_daemon_settings(EXAMPLES / "agent.ini")
    sections = configparser.ConfigParser(interpolation=None)
    sections.read_string(with_defaults)
    for name in ("flows", "backend", "membership", "configuration", "shutdown"):
        assert set(sections[name]) == set(OPTIONAL[name].model_fields)
