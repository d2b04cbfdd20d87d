"""Loading of a daemon's settings file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path

from pydantic import ValidationError
from pydantic_core import PydanticCustomError

from ..configuration import Address, Problem
from ..configuration.ini import (
    DuplicateAddress,
    InvalidValue,
    MissingKey,
    MissingSection,
    Section,
    SectionModel,
    UnknownKey,
    UnknownSection,
    parse_address,
    read_layers,
)
from ._exceptions import SettingsRejected
from ._model import DaemonSettings, Role
from ._sections import (
    AddressesSection,
    BackendSection,
    ConnectionIdsSection,
    DaemonSection,
    ExchangeSection,
    FlowsSection,
    LogSection,
    MembershipSection,
    PeersSection,
    PlatformSection,
    ShutdownSection,
    TlsSection,
)

LISTEN = "listen"
TLS = "tls"
REQUIRED: Mapping[str, type[SectionModel]] = {
    "daemon": DaemonSection,
    "addresses": AddressesSection,
    "platform": PlatformSection,
    "connection_ids": ConnectionIdsSection,
}
OPTIONAL: Mapping[str, type[SectionModel]] = {
    "peers": PeersSection,
    TLS: TlsSection,
    "log": LogSection,
    "flows": FlowsSection,
    "backend": BackendSection,
    "membership": MembershipSection,
    "configuration": ExchangeSection,
    "shutdown": ShutdownSection,
}


class _Reader:
    """Reads the sections of a settings file and its overlay, and collects their errors."""

    def __init__(self, path: Path, overlay: Path | None) -> None:
        self.problems: list[Problem] = []
        self._file = str(path)
        paths = [path, overlay] if overlay else [path]
        self._sections = read_layers(paths, self.problems)
        for section in self._sections.values():
            if section.name not in (*REQUIRED, *OPTIONAL, LISTEN):
                self.problems.append(UnknownSection(section.file, section.name, ""))

    def required(self, name: str) -> SectionModel | None:
        """Return a required section, or None if it is missing or invalid."""
        section = self._sections.get(name)
        if section is None:
            self.problems.append(MissingSection(self._file, name, ""))
            return None
        return section.build(REQUIRED[name], self.problems)

    def optional(self, name: str) -> SectionModel | None:
        """Return an optional section, or None if it is missing or invalid."""
        section = self._sections.get(name)
        return section.build(OPTIONAL[name], self.problems) if section else None

    def listen(self) -> Mapping[Address, Address]:
        """Return the local endpoint of each service address that the section lists."""
        section = self._sections.get(LISTEN)
        if section is None:
            return {}
        return dict(self._listen_entries(section))

    def check_role(self, daemon: DaemonSection) -> None:
        """Check for keys and sections that the role requires or can't use."""
        section = self._sections["daemon"]
        if daemon.role is Role.AGENT and daemon.number is None:
            self.problems.append(MissingKey(section.file, section.name, "number"))
        if daemon.role is Role.BALANCER and daemon.number is not None:
            file = section.file_of("number")
            self.problems.append(UnknownKey(file, section.name, "number"))
        if daemon.role is Role.AGENT and TLS not in self._sections:
            self.problems.append(MissingSection(self._file, TLS, ""))

    def check_addresses(self, addresses: AddressesSection) -> None:
        """Check that no two sockets of the same protocol have the same endpoint."""
        section = self._sections["addresses"]
        same_protocol = (("tunnel", "gossip"), ("relay", "admin"))
        for first, second in same_protocol:
            endpoint = getattr(addresses, second)
            if endpoint == getattr(addresses, first):
                file = section.file_of(second)
                self.problems.append(
                    DuplicateAddress(file, section.name, second, str(endpoint), section.name, first)
                )

    def _listen_entries(self, section: Section) -> Iterator[tuple[Address, Address]]:
        for key, entry in section.entries.items():
            try:
                yield parse_address(key), parse_address(entry.value)
            except (PydanticCustomError, ValidationError) as error:
                self.problems.append(
                    InvalidValue(entry.file, section.name, key, entry.value, str(error))
                )


def load_daemon_settings(path: Path, overlay: Path | None = None) -> DaemonSettings:
    """Load the settings of a file; values of an overlay file replace its values.

    Raises:
        SettingsRejected: if the files are invalid, with all their errors.
    """
    reader = _Reader(path, overlay)
    required = {name: reader.required(name) for name in REQUIRED}
    optional = {name: reader.optional(name) for name in OPTIONAL}
    listen = reader.listen()
    daemon, addresses = required["daemon"], required["addresses"]
    if isinstance(daemon, DaemonSection):
        reader.check_role(daemon)
    if isinstance(addresses, AddressesSection):
        reader.check_addresses(addresses)
    if reader.problems:
        raise SettingsRejected(reader.problems)
    return _assemble({**required, **optional}, listen)


def _assemble(
    sections: Mapping[str, SectionModel | None], listen: Mapping[Address, Address]
) -> DaemonSettings:
    daemon = DaemonSection.model_validate(sections["daemon"])
    addresses = AddressesSection.model_validate(sections["addresses"])
    platform = PlatformSection.model_validate(sections["platform"])
    keys = ConnectionIdsSection.model_validate(sections["connection_ids"])
    tls = sections[TLS]
    return DaemonSettings(
        role=daemon.role,
        name=daemon.name,
        number=daemon.number,
        failure_domain=daemon.failure_domain,
        listen=listen,
        tunnel=addresses.tunnel,
        relay=addresses.relay,
        gossip=addresses.gossip,
        admin=addresses.admin,
        platform=platform.to_settings(),
        seeds=PeersSection.model_validate(sections["peers"] or {}).seeds,
        tls=TlsSection.model_validate(tls).to_settings() if tls else None,
        connection_id_keys=keys.keys,
        fleet=daemon.fleet,
        log=LogSection.model_validate(sections["log"] or {}).to_settings(),
        flows=FlowsSection.model_validate(sections["flows"] or {}).to_settings(),
        backend=BackendSection.model_validate(sections["backend"] or {}).to_settings(),
        membership=MembershipSection.model_validate(sections["membership"] or {}).to_settings(),
        exchange=ExchangeSection.model_validate(sections["configuration"] or {}).to_settings(),
        shutdown=ShutdownSection.model_validate(sections["shutdown"] or {}).to_settings(),
    )
