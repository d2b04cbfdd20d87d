"""Settings of a daemon, read from INI files and validated."""

from ._exceptions import EXIT_CODE, SettingsRejected
from ._loader import load_daemon_settings
from ._model import (
    BackendSettings,
    DaemonSettings,
    ExchangeSettings,
    FlowSettings,
    LogSettings,
    MembershipSettings,
    PlatformSettings,
    Role,
    ShutdownSettings,
    TlsSettings,
)
from ._sections import parse_keys

__all__ = [
    "EXIT_CODE",
    "BackendSettings",
    "DaemonSettings",
    "ExchangeSettings",
    "FlowSettings",
    "LogSettings",
    "MembershipSettings",
    "PlatformSettings",
    "Role",
    "SettingsRejected",
    "ShutdownSettings",
    "TlsSettings",
    "load_daemon_settings",
    "parse_keys",
]
