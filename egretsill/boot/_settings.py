"""Settings of one node, a balancer or agent process of address steering, from an INI file.

They are validated here because pydantic would account for a third of the process's memory.
"""

from __future__ import annotations

import configparser
import enum
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ..endpoints import Address, parse_ipv4, parse_port

_BOOLEANS = {"true": True, "false": False}


class NodeRole(enum.Enum):
    """Role of a node."""

    BALANCER = "balancer"
    AGENT = "agent"


class NodeSettingsRejected(Exception):
    """The settings file can't be read or is invalid.

    Attributes:
        path: the file.
        section: section of the error, empty if it concerns the whole file.
        key: key of the error, empty if it concerns the whole section.
        problem: what is wrong.
    """

    def __init__(self, path: Path, section: str, key: str, problem: str) -> None:
        location = f"[{section}] {key}".strip() if section else "file"
        super().__init__(f"{path}: {location}: {problem}")
        self.path = path
        self.section = section
        self.key = key
        self.problem = problem


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings that only an agent has.

    Attributes:
        service: the service that its target belongs to.
        target: endpoint at which the target receives packets.
        outbound: endpoint to which the target sends its packets.
    """

    service: str
    target: Address
    outbound: Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.

    Attributes:
        role: role of the process.
        name: name of the process in logs.
        host: IPv4 address of its VM.
        failure_domain: failure domain of its VM.
        is_first_start: whether the whole fleet starts for the first time.
        packets: endpoint at which a balancer receives callers' packets from the network; balancers
            and agents send packets for callers to its port.
        health: TCP endpoint of the health page.
        metrics: TCP endpoint of the metrics page.
        tunnel_port: UDP port of tunneled packets and TCP port of content, the same on all VMs.
        gossip_port: UDP port of heartbeats, the same on all VMs.
        store: endpoint of the store.
        seeds: IPv4 addresses of some balancers, which are contacted before the directory is known;
            ports in the file are ignored.
        flow_seconds: how long an agent keeps an idle flow that it forwarded, a balancer the owner
            of a flow, and both departed targets and former routes.
        grace_seconds: time between the stop signal and the end of the process.
        agent: settings of an agent; None for a balancer.
    """

    role: NodeRole
    name: str
    host: str
    failure_domain: str
    is_first_start: bool
    packets: Address
    health: Address
    metrics: Address
    tunnel_port: int
    gossip_port: int
    store: Address
    seeds: Sequence[str]
    flow_seconds: float
    grace_seconds: float
    agent: AgentSettings | None = None


class _Reader:
    def __init__(self, path: Path) -> None:
        self._path = path
        self._parser = configparser.ConfigParser(interpolation=None)
        try:
            self._parser.read_string(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeError) as error:
            raise NodeSettingsRejected(path, "", "", type(error).__name__) from error
        except configparser.Error as error:
            raise NodeSettingsRejected(path, "", "", error.message) from error

    def text(self, section: str, key: str) -> str:
        """Return a non-empty value."""
        value = self._parser.get(section, key, fallback="").strip()
        if not value:
            raise NodeSettingsRejected(self._path, section, key, "missing or empty")
        return value

    def flag(self, section: str, key: str) -> bool:
        """Return a boolean."""
        value = _BOOLEANS.get(self.text(section, key).lower())
        if value is None:
            raise NodeSettingsRejected(self._path, section, key, "true or false is expected")
        return value

    def seconds(self, section: str, key: str) -> float:
        """Return a positive duration."""
        try:
            value = float(self.text(section, key))
        except ValueError:
            value = 0.0
        if not 0.0 < value < float("inf"):
            raise NodeSettingsRejected(
                self._path, section, key, "a finite number of seconds above 0 is expected"
            )
        return value

    def port(self, section: str, key: str) -> int:
        """Return a port number."""
        return self._port(section, key, self.text(section, key))

    def host(self, section: str, key: str) -> str:
        """Return an IPv4 address."""
        return self._host(section, key, self.text(section, key))

    def address(self, section: str, key: str) -> Address:
        """Return an IPv4 address with a port."""
        host, _, port = self.text(section, key).rpartition(":")
        return Address(self._host(section, key, host), self._port(section, key, port))

    def hosts(self, section: str, key: str) -> Sequence[str]:
        """Return the IPv4 addresses of a list of endpoints, which may be empty."""
        entries = self._parser.get(section, key, fallback="").split(",")
        hosts = [each.strip().partition(":")[0] for each in entries if each.strip()]
        return tuple(self._host(section, key, each) for each in hosts)

    def role(self, section: str, key: str) -> NodeRole:
        """Return a role."""
        try:
            return NodeRole(self.text(section, key))
        except ValueError as error:
            expected = " or ".join(each.value for each in NodeRole)
            raise NodeSettingsRejected(
                self._path, section, key, f"{expected} is expected"
            ) from error

    def _host(self, section: str, key: str, text: str) -> str:
        host = text.strip()
        try:
            parse_ipv4(host)
        except ValueError as error:
            raise NodeSettingsRejected(
                self._path, section, key, "an IPv4 address is expected"
            ) from error
        return host

    def _port(self, section: str, key: str, text: str) -> int:
        try:
            return parse_port(text)
        except ValueError as error:
            raise NodeSettingsRejected(
                self._path, section, key, "a port from 1 to 65535 is expected"
            ) from error


def load_node_settings(path: Path) -> NodeSettings:
    """Load the settings of a file; unknown keys and sections are ignored.

    Raises:
        NodeSettingsRejected: if the file can't be read or is invalid.
    """
    reader = _Reader(path)
    role = reader.role("node", "role")
    agent = None
    if role is NodeRole.AGENT:
        agent = AgentSettings(
            reader.text("node", "service"),
            reader.address("addresses", "target"),
            reader.address("addresses", "outbound"),
        )
    return NodeSettings(
        role=role,
        name=reader.text("node", "name"),
        host=reader.host("node", "host"),
        failure_domain=reader.text("node", "failure_domain"),
        is_first_start=reader.flag("node", "first_start"),
        packets=reader.address("addresses", "packets"),
        health=reader.address("addresses", "health"),
        metrics=reader.address("addresses", "metrics"),
        tunnel_port=reader.port("addresses", "tunnel_port"),
        gossip_port=reader.port("addresses", "gossip_port"),
        store=reader.address("addresses", "store"),
        seeds=reader.hosts("addresses", "seeds"),
        flow_seconds=reader.seconds("bounds", "flow_seconds"),
        grace_seconds=reader.seconds("bounds", "grace_seconds"),
        agent=agent,
    )
