"""Record of what an installation was made from and what it consists of."""

from __future__ import annotations

import hashlib
import json
import os
import sys
import sysconfig
from dataclasses import asdict, dataclass
from pathlib import Path

RECORD_NAME = ".installation.json"

_COMPILED = "__pycache__"  # Python writes there, too, while processes run


@dataclass(frozen=True, slots=True)
class InstallationRecord:
    """What an installation was made from and what it consists of.

    Attributes:
        requirements: digest of the requirements file.
        platform: version of Python, operating system, machine, and tag of compiled modules.
        files: digest of names and content of all files but compiled bytecode.
    """

    requirements: str
    platform: str
    files: str


def make_record(requirements: Path, folder: Path) -> InstallationRecord:
    """Return the record of a folder as it is, for this machine and Python.

    Raises:
        OSError: if a file can't be read.
    """
    version = ".".join(map(str, sys.version_info[:3]))
    parts = (sys.implementation.name, version, sysconfig.get_platform())
    return InstallationRecord(
        digest_of_file(requirements),
        " ".join((*parts, str(sysconfig.get_config_var("SOABI")))),
        _digest_of_files(folder),
    )


def read_record(folder: Path) -> InstallationRecord | None:
    """Return the record in a folder, or None if there is no valid one."""
    try:
        content = json.loads((folder / RECORD_NAME).read_text(encoding="utf-8"))
        return InstallationRecord(**content)
    except (OSError, ValueError, TypeError):
        return None


def write_record(record: InstallationRecord, folder: Path) -> None:
    """Write a record into its folder.

    Raises:
        OSError: if it can't be written.
    """
    (folder / RECORD_NAME).write_text(json.dumps(asdict(record), indent=2), encoding="utf-8")


def digest_of_file(path: Path) -> str:
    """Return the digest of a file's content.

    Raises:
        OSError: if it can't be read.
    """
    return hashlib.sha256(path.read_bytes()).hexdigest()


def _digest_of_files(folder: Path) -> str:
    digest = hashlib.sha256()
    for directory, directories, names in os.walk(folder):
        directories[:] = sorted(each for each in directories if each != _COMPILED)
        for path in (Path(directory, name) for name in sorted(names)):
            name = path.relative_to(folder).as_posix()
            if name != RECORD_NAME:
                digest.update(f"{name}\0{digest_of_file(path)}\0".encode())
    return digest.hexdigest()
