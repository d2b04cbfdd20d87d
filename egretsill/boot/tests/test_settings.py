"""Settings of an address-steering process."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

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
        pytest.param("[bounds]", "[placement]\nchoice = best\n[bounds]", "choice", id="no choice"),
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


def without(text: str, key: str, value: str | None) -> str:
    """Return a settings file in which a key is empty, or is missing if the value is None."""
    lines = [
        (None if value is None else f"{key} = {value}") if each.startswith(f"{key} =") else each
        for each in text.splitlines()
    ]
    return "\n".join(each for each in lines if each is not None)


# Guards against a process that ends because of a field that it can do without.
@pytest.mark.parametrize("value", [pytest.param(None, id="missing"), pytest.param("", id="empty")])
@pytest.mark.parametrize(
    ("section", "key", "attribute", "default"),
    [
        pytest.param("node", "first_start", "is_first_start", False, id="first start"),
        pytest.param("node", "failure_domain", "failure_domain", "", id="failure domain"),
        pytest.param("addresses", "metrics", "metrics", None, id="metrics"),
        pytest.param("bounds", "flow_seconds", "flow_seconds", 60.0, id="flow lifetime"),
        pytest.param("bounds", "grace_seconds", "grace_seconds", 6.0, id="grace period"),
    ],
)
def test_default_is_used_and_named(
    tmp_path: Path, section: str, key: str, attribute: str, default: object, value: str | None
) -> None:
    changed = AGENT.replace("= 60", "= 61").replace("grace_seconds = 6", "grace_seconds = 7")
    settings = load_node_settings(write(tmp_path, without(changed, key, value)))
    assert getattr(settings, attribute) == default
    assert settings.defaulted == (f"{section}.{key}",)


@pytest.mark.parametrize(
    ("line", "is_used"),
    [("", True), ("choice = expected-finish", True), ("choice = least-loaded", False)],
)
def test_choice_of_targets(tmp_path: Path, line: str, is_used: bool) -> None:
    settings = load_node_settings(write(tmp_path, f"{AGENT}\n[placement]\n{line}\n"))
    assert settings.uses_expected_finish is is_used
    assert settings.defaulted == (), "few files have it, so its lack is no default to be noted"


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        pytest.param("", (0.15, True), id="missing"),
        pytest.param("\n[load]\nhold_seconds =", (0.15, True), id="empty"),
        pytest.param("\n[load]\nhold_seconds = 0\nurgent_first = false", (0.0, False), id="off"),
        pytest.param("\n[load]\nhold_seconds = 0.05", (0.05, True), id="changed"),
    ],
)
def test_load_settings_of_an_agent(tmp_path: Path, load: str, expected: tuple[float, bool]) -> None:
    settings = load_node_settings(write(tmp_path, AGENT + load))
    assert settings.agent is not None
    assert (settings.agent.hold_seconds, settings.agent.has_urgent_first) == expected
    assert settings.defaulted == ()


@pytest.mark.parametrize("line", ["hold_seconds = -1", "hold_seconds = inf", "urgent_first = 2"])
def test_invalid_load_settings_are_rejected(tmp_path: Path, line: str) -> None:
    with pytest.raises(NodeSettingsRejected):
        load_node_settings(write(tmp_path, f"{AGENT}\n[load]\n{line}\n"))


def test_complete_file_uses_no_default(tmp_path: Path) -> None:
    assert load_node_settings(write(tmp_path, AGENT)).defaulted == ()


# Guards against a start that waits for keys that only deployments with a pace state.
@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        pytest.param("", (1.0, 0.0), id="missing"),
        pytest.param("warm_up_overshoot =\nwarm_up_tolerance =\n", (1.0, 0.0), id="empty"),
        pytest.param("warm_up_overshoot = 1.5\nwarm_up_tolerance = 5\n", (1.5, 5.0), id="stated"),
    ],
)
def test_bounds_of_the_warm_up(tmp_path: Path, lines: str, expected: tuple[float, float]) -> None:
    settings = load_node_settings(
        write(tmp_path, AGENT.replace("[bounds]\n", f"[bounds]\n{lines}"))
    )
    assert settings.agent is not None
    found = settings.agent.warm_up_overshoot, settings.agent.warm_up_tolerance
    assert found == expected
    assert settings.defaulted == ()


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "much"])
def test_odd_bound_of_the_warm_up_is_rejected(tmp_path: Path, value: str) -> None:
    text = AGENT.replace("[bounds]\n", f"[bounds]\nwarm_up_tolerance = {value}\n")
    with pytest.raises(NodeSettingsRejected) as caught:
        load_node_settings(write(tmp_path, text))
    assert caught.value.key == "warm_up_tolerance"


def test_section_without_required_keys_may_be_missing(tmp_path: Path) -> None:
    text = AGENT.partition("[bounds]")[0]
    assert load_node_settings(write(tmp_path, text)).defaulted == (
        "bounds.flow_seconds",
        "bounds.grace_seconds",
    )


@pytest.mark.parametrize("value", [pytest.param(None, id="missing"), pytest.param("", id="empty")])
@pytest.mark.parametrize(
    "key",
    [
        "role",
        "name",
        "host",
        "service",
        "packets",
        "outbound",
        "target",
        "health",
        "tunnel_port",
        "gossip_port",
        "store",
    ],
)
def test_required_key_has_no_default(tmp_path: Path, key: str, value: str | None) -> None:
    text = without(AGENT, key, value)
    if key == "role":
        text = text.replace("service = lookup", "")
    with pytest.raises(NodeSettingsRejected) as caught:
        load_node_settings(write(tmp_path, text))
    assert [each.key for each in caught.value.faults] == [key]


# Guards against a file that is mended and rejected again, fault by fault.
def test_all_faults_are_named_at_once(tmp_path: Path) -> None:
    text = without(AGENT, "host", "10.1.0").replace("flow_seconds = 60", "flow_seconds = long")
    text = without(text, "store", "").replace("10.2.0.40:8166", "seed-1,seed-2")
    with pytest.raises(NodeSettingsRejected) as caught:
        load_node_settings(write(tmp_path, text))
    keys = ["host", "store", "seeds", "seeds", "flow_seconds"]
    assert [each.key for each in caught.value.faults] == keys
    assert all(f"{each}:" in str(caught.value) for each in keys)


# Guards against a reload that ends the process with an error of another type, or never returns.
@pytest.mark.parametrize(
    "content",
    [
        pytest.param(b"\xff\xfe", id="not UTF-8"),
        pytest.param(b"\0" * 100, id="NUL characters"),
        pytest.param(AGENT.encode().replace(b"= 7720", b"= " + b"9" * 5_000), id="huge number"),
        pytest.param(AGENT.encode().replace(b"= 60", b"= " + b"9" * 5_000), id="huge duration"),
        pytest.param(AGENT.encode().replace(b"10.1.0.12", b"10.1.0.1\0"), id="NUL in address"),
        pytest.param(b"[node]\n" + b"x" * 2_000_000, id="too large"),
        pytest.param(b"[node\n" * 10_000, id="many faulty lines"),
        pytest.param(b"  continued\n[node]\n", id="continued nothing"),
    ],
)
def test_unusable_content_is_rejected_briefly(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / "settings.ini"
    path.write_bytes(content)
    with pytest.raises(NodeSettingsRejected) as caught:
        load_node_settings(path)
    assert len(str(caught.value)) < 2_000


def test_other_kinds_of_files_are_rejected(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "pipe")
    for path in (tmp_path, tmp_path / "pipe", Path("/dev/zero")):
        with pytest.raises(NodeSettingsRejected):
            load_node_settings(path)


@hypothesis_settings(
    derandomize=True,
    max_examples=300,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    at=st.integers(0, len(AGENT)),
    removed=st.integers(0, 40),
    inserted=st.one_of(
        st.binary(max_size=20), st.text("\n[]=:;# \t0\0", max_size=8).map(str.encode)
    ),
)
def test_any_file_is_loaded_or_rejected(
    tmp_path: Path, at: int, removed: int, inserted: bytes
) -> None:
    text = AGENT.encode()
    path = tmp_path / "settings.ini"
    path.write_bytes(text[:at] + inserted + text[at + removed :])
    with suppress(NodeSettingsRejected):
        load_node_settings(path)
