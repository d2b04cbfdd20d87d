"""Settings of an address-steering process."""

from __future__ import annotations

from pathlib import Path

import pytest

from ...endpoints import Address
from .. import NodeRole, NodeSettingsRejected, load_node_settings

AGENT = """
[node]
role = agent
name = side-1
host = 10.1.0.12
failure_domain = a
first_start = true
service = lookup

[addresses]
packets = 10.1.0.12:8172
outbound = 10.1.0.12:8162
target = 10.1.0.12:8165
health = 10.1.0.12:8167
metrics = 10.1.0.12:9464
tunnel_port = 7720
gossip_port = 7721
store = 10.200.1.7:8169
seeds = 10.1.0.10:8166,10.2.0.40:8166

[bounds]
flow_seconds = 60
grace_seconds = 6

[something.new]
key = value
"""


def write(directory: Path, text: str) -> Path:
    path = directory / "settings.ini"
    path.write_text(text, encoding="utf-8")
    return path


def test_agent_settings_are_loaded(tmp_path: Path) -> None:
    settings = load_node_settings(write(tmp_path, AGENT))
    assert (settings.role, settings.is_first_start) == (NodeRole.AGENT, True)
    assert settings.seeds == ("10.1.0.10", "10.2.0.40")
    assert settings.store == Address("10.200.1.7", 8169)
    assert settings.agent is not None
    assert settings.agent.target == Address("10.1.0.12", 8165)


def test_balancer_needs_no_target_or_seeds(tmp_path: Path) -> None:
    text = AGENT.replace("role = agent", "role = balancer").replace("service = lookup", "")
    text = text.replace("seeds = 10.1.0.10:8166,10.2.0.40:8166", "seeds =")
    settings = load_node_settings(write(tmp_path, text))
    assert (settings.role, settings.agent, settings.seeds) == (NodeRole.BALANCER, None, ())


@pytest.mark.parametrize(
    ("before", "after", "key"),
    [
        pytest.param("role = agent", "role = router", "role", id="unknown role"),
        pytest.param("service = lookup", "", "service", id="agent without service"),
        pytest.param("host = 10.1.0.12", "host = 10.1.0", "host", id="invalid address"),
        pytest.param("tunnel_port = 7720", "tunnel_port = 0", "tunnel_port", id="invalid port"),
        pytest.param("store = 10.200.1.7:8169", "store = x", "store", id="invalid endpoint"),
        pytest.param("first_start = true", "first_start = 1", "first_start", id="invalid boolean"),
        pytest.param("flow_seconds = 60", "flow_seconds = inf", "flow_seconds", id="infinite"),
        pytest.param("grace_seconds = 6", "grace_seconds = -1", "grace_seconds", id="negative"),
        pytest.param("10.2.0.40:8166", "seed:1", "seeds", id="seed without address"),
        # Guards against numbers that Python parses but that no other program means as ports.
        pytest.param("= 7720", "= \uff17\uff17\uff12\uff10", "tunnel_port", id="other digits"),
        pytest.param("= 7720", "= " + "9" * 5_000, "tunnel_port", id="port of 5,000 digits"),
        pytest.param("= 10.1.0.12", "= 10.1.0.+12", "host", id="signed part of an address"),
    ],
)
def test_error_names_the_key(tmp_path: Path, before: str, after: str, key: str) -> None:
    assert before in AGENT
    with pytest.raises(NodeSettingsRejected) as caught:
        load_node_settings(write(tmp_path, AGENT.replace(before, after, 1)))
    assert caught.value.key == key


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("no section", id="no section"),
        pytest.param("[node]\nrole = agent\nrole = agent", id="duplicate key"),
        pytest.param("", id="empty"),
    ],
)
def test_invalid_file_is_rejected(tmp_path: Path, text: str) -> None:
    with pytest.raises(NodeSettingsRejected):
        load_node_settings(write(tmp_path, text))


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(NodeSettingsRejected):
        load_node_settings(tmp_path / "absent.ini")
