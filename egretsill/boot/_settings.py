"""Settings of one node, a balancer or agent process of address steering, from an INI file.

They are validated here because pydantic would account for a third of the process's memory.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ..endpoints import Address, parse_ipv4, parse_port
from ._settings_reader import SettingsReader

DEFAULT_FIRST_START = False  # content is read at once, by each process for itself
DEFAULT_FAILURE_DOMAIN = ""  # near to no target; an agent is in the domain of its target's entry
DEFAULT_FLOW_SECONDS = 60.0
DEFAULT_GRACE_SECONDS = 6.0
DEFAULT_WARM_UP_OVERSHOOT = 1.0  # no more than the configuration states
DEFAULT_WARM_UP_TOLERANCE = 0.0
DEFAULT_HOLD_SECONDS = 0.15
DEFAULT_URGENT_FIRST = True

_EXPECTED_FINISH_CHOICES = {"expected-finish": True, "least-loaded": False}
_BOOLEANS = {"true": True, "false": False}
_NO_ADDRESS = Address("", 0)


class NodeRole(enum.Enum):
    """Role of a node."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings that only an agent has.

    Attributes:
        service: the service that its target belongs to.
        target: endpoint at which the target receives packets.
        outbound: endpoint to which the target sends its packets.
        warm_up_overshoot: by how many times a target in warm-up may get more flows in a second than
            the configuration's pace.
        warm_up_tolerance: flows that it may get in that second in addition.
        hold_seconds: how long a SYN packet is kept for another target while this one has no
            capacity; 0 to keep none.
        has_urgent_first: whether urgent requests at other agents go before less urgent ones here.
    """

    service: str
    target: Address
    outbound: Address
    warm_up_overshoot: float = DEFAULT_WARM_UP_OVERSHOOT
    warm_up_tolerance: float = DEFAULT_WARM_UP_TOLERANCE
    hold_seconds: float = DEFAULT_HOLD_SECONDS
    has_urgent_first: bool = DEFAULT_URGENT_FIRST


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.

    Attributes:
        role: role of the process.
        name: name of the process in logs.
        host: IPv4 address of its VM.
        failure_domain: failure domain of its VM; empty if it isn't known.
        is_first_start: whether the whole fleet starts for the first time.
        packets: endpoint at which a balancer receives callers' packets from the network; balancers
            and agents send packets for callers to its port.
        health: TCP endpoint of the health page.
        metrics: TCP endpoint of the metrics page; None for no such page.
        tunnel_port: UDP port of tunneled packets and TCP port of content, the same on all VMs.
        gossip_port: UDP port of heartbeats, the same on all VMs.
        store: endpoint of the store.
        seeds: IPv4 addresses of some balancers, which are contacted before the directory is known;
            ports in the file are ignored.
        flow_seconds: how long an agent keeps an idle flow that it forwarded, a balancer the owner
            of a flow, and both departed targets and former routes.
        grace_seconds: time between the stop signal and the end of the process.
        agent: settings of an agent; None for a balancer.
        uses_expected_finish: whether the target of a new flow is chosen by when it is expected to
            finish the request; otherwise by its load.
        defaulted: expected keys that have their default, as they are missing or empty.
    """

    role: NodeRole
    name: str
    host: str
    failure_domain: str
    is_first_start: bool
    packets: Address
    health: Address
    metrics: Address | None
    tunnel_port: int
    gossip_port: int
    store: Address
    seeds: Sequence[str]
    flow_seconds: float
    grace_seconds: float
    agent: AgentSettings | None = None
    uses_expected_finish: bool = True
    defaulted: Sequence[str] = ()


def load_node_settings(path: Path) -> NodeSettings:
    """Load the settings of a file; unknown keys and sections are ignored.

    Raises:
        NodeSettingsRejected: if the file can't be read or is invalid.
    """
    reader = SettingsReader(path)
    role = reader.required("node", "role", _parse_role, NodeRole.BALANCER)
    agent = _load_agent_settings(reader) if role is NodeRole.AGENT else None
    settings = NodeSettings(
        role=role,
        name=reader.required("node", "name", str, ""),
        host=reader.required("node", "host", _parse_host, ""),
        failure_domain=reader.optional("node", "failure_domain", str, DEFAULT_FAILURE_DOMAIN),
        is_first_start=reader.optional("node", "first_start", _parse_flag, DEFAULT_FIRST_START),
        packets=reader.required("addresses", "packets", _parse_address, _NO_ADDRESS),
        health=reader.required("addresses", "health", _parse_address, _NO_ADDRESS),
        metrics=reader.optional("addresses", "metrics", _parse_address, None),
        tunnel_port=reader.required("addresses", "tunnel_port", _parse_port, 0),
        gossip_port=reader.required("addresses", "gossip_port", _parse_port, 0),
        store=reader.required("addresses", "store", _parse_address, _NO_ADDRESS),
        seeds=reader.listed("addresses", "seeds", _parse_seed),
        flow_seconds=reader.optional(
            "bounds", "flow_seconds", _parse_seconds, DEFAULT_FLOW_SECONDS
        ),
        grace_seconds=reader.optional(
            "bounds", "grace_seconds", _parse_seconds, DEFAULT_GRACE_SECONDS
        ),
        agent=agent,
        uses_expected_finish=reader.adjustable("placement", "choice", _parse_choice, True),
        defaulted=reader.defaulted,
    )
    reader.raise_if_faulty()
    return settings


def _load_agent_settings(reader: SettingsReader) -> AgentSettings:
    return AgentSettings(
        reader.required("node", "service", str, ""),
        reader.required("addresses", "target", _parse_address, _NO_ADDRESS),
        reader.required("addresses", "outbound", _parse_address, _NO_ADDRESS),
        reader.adjustable("bounds", "warm_up_overshoot", _parse_amount, DEFAULT_WARM_UP_OVERSHOOT),
        reader.adjustable("bounds", "warm_up_tolerance", _parse_amount, DEFAULT_WARM_UP_TOLERANCE),
        reader.adjustable("load", "hold_seconds", _parse_hold, DEFAULT_HOLD_SECONDS),
        reader.adjustable("load", "urgent_first", _parse_flag, DEFAULT_URGENT_FIRST),
    )


def _parse_role(text: str) -> NodeRole:
    try:
        return NodeRole(text)
    except ValueError as error:
        expected = " or ".join(each.value for each in NodeRole)
        raise ValueError(f"{expected} is expected") from error


def _parse_choice(text: str) -> bool:
    if text not in _EXPECTED_FINISH_CHOICES:
        raise ValueError(" or ".join(_EXPECTED_FINISH_CHOICES) + " is expected")
    return _EXPECTED_FINISH_CHOICES[text]


def _parse_flag(text: str) -> bool:
    if text.lower() not in _BOOLEANS:
        raise ValueError("true or false is expected")
    return _BOOLEANS[text.lower()]


def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value < float("inf"):
        raise ValueError("a finite number of seconds above 0 is expected")
    return value


def _parse_hold(text: str) -> float:
    return 0.0 if text in ("0", "0.0") else _parse_seconds(text)


def _parse_amount(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value < float("inf"):
        raise ValueError("a finite number from 0 on is expected")
    return value


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(_parse_host(host), _parse_port(port))


def _parse_seed(text: str) -> str:
    return _parse_host(text.partition(":")[0])


def _parse_host(text: str) -> str:
    host = text.strip()
    try:
        parse_ipv4(host)
    except ValueError as error:
        raise ValueError("an IPv4 address is expected") from error
    return host


def _parse_port(text: str) -> int:
    try:
        return parse_port(text)
    except ValueError as error:
        raise ValueError("a port from 1 to 65535 is expected") from error
