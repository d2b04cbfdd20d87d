"""Sections of a daemon's settings file as pydantic models."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated

from pydantic import BeforeValidator, Field
from pydantic_core import PydanticCustomError

from ..configuration.ini import (
    Endpoint,
    Endpoints,
    Name,
    OptionalSeconds,
    Seconds,
    SectionModel,
    parse_list,
)
from ..steering import ConnectionIdKey
from ._model import (
    DEFAULT_FLEET,
    BackendSettings,
    ExchangeSettings,
    FlowSettings,
    LogSettings,
    MembershipSettings,
    PlatformSettings,
    Role,
    ShutdownSettings,
    TlsSettings,
)

KEY_BYTES = 16
HIGHEST_ROTATION = 6

_KEY = re.compile(rf"([0-{HIGHEST_ROTATION}]):([0-9a-fA-F]{{{2 * KEY_BYTES}}})")
_FLOWS = FlowSettings()
_BACKEND = BackendSettings()
_MEMBERSHIP = MembershipSettings()
_EXCHANGE = ExchangeSettings()
_SHUTDOWN = ShutdownSettings()


def parse_keys(text: object) -> tuple[ConnectionIdKey, ...]:
    """Parse connection-ID keys from a text such as "1:00112233445566778899aabbccddeeff"."""
    matches = [_KEY.fullmatch(part) for part in parse_list(text)]
    keys = tuple(ConnectionIdKey(int(m[1]), bytes.fromhex(m[2])) for m in matches if m)
    if not keys or len(keys) != len(matches):
        expected = "ROTATION:HEX, with a rotation of 0 to 6 and a key of 16 bytes, is expected"
        raise PydanticCustomError("connection_id_key", expected)
    if len({key.rotation for key in keys}) != len(keys):
        raise PydanticCustomError("connection_id_key", "a rotation is used twice")
    return keys


def _parse_file(text: object) -> Path:
    if not str(text).strip():
        raise PydanticCustomError("path", "a path is expected")
    return Path(str(text).strip())


FilePath = Annotated[Path, BeforeValidator(_parse_file)]
PagePath = Annotated[str, Field(pattern=r"^/[!-~]*$")]
Count = Annotated[int, Field(ge=1, le=10_000_000)]


class DaemonSection(SectionModel):
    """Keys of `[daemon]`."""

    role: Role
    name: Name
    failure_domain: Name
    fleet: Name = DEFAULT_FLEET
    number: Annotated[int, Field(ge=1, le=2**32 - 1)] | None = None


class AddressesSection(SectionModel):
    """Keys of `[addresses]`."""

    tunnel: Endpoint
    relay: Endpoint
    gossip: Endpoint
    admin: Endpoint


class PlatformSection(SectionModel):
    """Keys of `[platform]`."""

    addresses: Annotated[Endpoints, Field(min_length=1)]
    read_time: Seconds = 2.0
    watch_time: Seconds = 5.0

    def to_settings(self) -> PlatformSettings:
        """Convert the section to its settings class."""
        return PlatformSettings(self.addresses, self.read_time, self.watch_time)


class PeersSection(SectionModel):
    """Keys of `[peers]`."""

    seeds: Endpoints = ()


class TlsSection(SectionModel):
    """Keys of `[tls]`."""

    certificate: FilePath
    key: FilePath

    def to_settings(self) -> TlsSettings:
        """Convert the section to its settings class."""
        return TlsSettings(self.certificate, self.key)


class ConnectionIdsSection(SectionModel):
    """Keys of `[connection_ids]`."""

    keys: Annotated[tuple[ConnectionIdKey, ...], BeforeValidator(parse_keys)]


class LogSection(SectionModel):
    """Keys of `[log]`."""

    file: FilePath | None = None

    def to_settings(self) -> LogSettings:
        """Convert the section to its settings class."""
        return LogSettings(self.file)


class FlowsSection(SectionModel):
    """Keys of `[flows]`."""

    keep_alive: Seconds = _FLOWS.keep_alive_seconds
    idle_time: Seconds = _FLOWS.idle_seconds
    maximum_flows: Count = _FLOWS.maximum_flows
    handshakes_per_second: Count = _FLOWS.handshakes_per_second
    placement_delay: Seconds = _FLOWS.placement_delay_seconds

    def to_settings(self) -> FlowSettings:
        """Convert the section to its settings class."""
        return FlowSettings(
            self.keep_alive,
            self.idle_time,
            self.maximum_flows,
            self.handshakes_per_second,
            self.placement_delay,
        )


class BackendSection(SectionModel):
    """Keys of `[backend]`."""

    connect_time: Seconds = _BACKEND.connect_seconds
    silence: Seconds = _BACKEND.silence_seconds
    health_interval: Seconds = _BACKEND.health_seconds
    health_path: PagePath = _BACKEND.health_path

    def to_settings(self) -> BackendSettings:
        """Convert the section to its settings class."""
        return BackendSettings(
            self.connect_time, self.silence, self.health_interval, self.health_path
        )


class MembershipSection(SectionModel):
    """Keys of `[membership]`."""

    vm_list_interval: Seconds = _MEMBERSHIP.vm_list_seconds

    def to_settings(self) -> MembershipSettings:
        """Convert the section to its settings class."""
        return MembershipSettings(self.vm_list_interval)


class ExchangeSection(SectionModel):
    """Keys of `[configuration]`."""

    period: Seconds = _EXCHANGE.period_seconds
    fetch_time: Seconds = _EXCHANGE.fetch_seconds
    start_time: Seconds = _EXCHANGE.start_seconds
    start_spread: Seconds = _EXCHANGE.start_spread_seconds
    silence: Seconds = _EXCHANGE.silence_seconds

    def to_settings(self) -> ExchangeSettings:
        """Convert the section to its settings class."""
        return ExchangeSettings(
            self.period, self.fetch_time, self.start_time, self.start_spread, self.silence
        )


class ShutdownSection(SectionModel):
    """Keys of `[shutdown]`."""

    drain_time: OptionalSeconds = _SHUTDOWN.drain_seconds
    linger: Seconds = _SHUTDOWN.linger_seconds

    def to_settings(self) -> ShutdownSettings:
        """Convert the section to its settings class."""
        return ShutdownSettings(self.drain_time, self.linger)
