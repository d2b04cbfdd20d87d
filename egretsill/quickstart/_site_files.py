"""Writes the files of a site, so that its processes can be started separately."""

from __future__ import annotations

from collections.abc import Mapping
from configparser import ConfigParser
from pathlib import Path

from ..configuration import Address, encode_vms
from ..settings import DaemonSettings, load_daemon_settings
from ._site_plan import SitePlan

SETTINGS_DIRECTORY = "settings"
VALUES_DIRECTORY = "published"
VMS_FILE = "vms"
BACKENDS_FILE = "backends"


def write_site_files(plan: SitePlan, directory: Path) -> None:
    """Write a settings file for each daemon, the platform's VM list and the backend servers.

    Each line of `BACKENDS_FILE` holds a target's name, service, backend endpoint and slots.

    Raises:
        SettingsRejected: if a written settings file is not accepted when read back.
    """
    settings_directory = directory / SETTINGS_DIRECTORY
    settings_directory.mkdir(parents=True, exist_ok=True)
    values_directory = directory / VALUES_DIRECTORY
    values_directory.mkdir(parents=True, exist_ok=True)
    (values_directory / VMS_FILE).write_bytes(encode_vms(plan.vms))
    lines = [f"{each.name} {each.service} {each.backend} {each.slots}\n" for each in plan.targets]
    (directory / BACKENDS_FILE).write_text("".join(lines), encoding="utf-8")
    daemons = [plan.balancer_settings(each) for each in plan.balancers]
    daemons += [plan.agent_settings(each) for each in plan.targets]
    for each in daemons:
        path = settings_directory / f"{each.name}.ini"
        _write_settings(each, path)
        load_daemon_settings(path)


def _write_settings(settings: DaemonSettings, path: Path) -> None:
    parser = ConfigParser(interpolation=None, delimiters=("=",))
    for section, keys in _to_sections(settings).items():
        if keys:
            parser[section] = dict(keys)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def _to_sections(settings: DaemonSettings) -> Mapping[str, Mapping[str, str]]:
    daemon = {
        "role": settings.role.value,
        "name": settings.name,
        "failure_domain": settings.failure_domain,
        "fleet": settings.fleet,
    }
    if settings.number is not None:
        daemon["number"] = str(settings.number)
    keys = [f"{each.rotation}:{each.secret.hex()}" for each in settings.connection_id_keys]
    tls = {}
    if settings.tls is not None:
        tls = {"certificate": str(settings.tls.certificate), "key": str(settings.tls.key)}
    return {
        "daemon": daemon,
        "addresses": {
            "tunnel": str(settings.tunnel),
            "relay": str(settings.relay),
            "gossip": str(settings.gossip),
            "admin": str(settings.admin),
        },
        "listen": {str(service): str(local) for service, local in settings.listen.items()},
        "platform": {"addresses": _join_addresses(settings.platform.addresses)},
        "peers": {"seeds": _join_addresses(settings.seeds)},
        "tls": tls,
        "connection_ids": {"keys": ", ".join(keys)},
        "log": {"file": str(settings.log.file)},
        "shutdown": {"linger": f"{settings.shutdown.linger_seconds:g} s"},
    }


def _join_addresses(addresses: tuple[Address, ...]) -> str:
    return ", ".join(map(str, addresses))
