"""Installation of the libraries that a process needs; uses only the standard library and pip."""

from ._checks import check_imports
from ._exceptions import InstallationFailed
from ._installer import Installed, Installer, Kept
from ._pip import install_with_pip
from ._record import RECORD_NAME, InstallationRecord, make_record, read_record

__all__ = [
    "InstallationFailed",
    "InstallationRecord",
    "Installed",
    "Installer",
    "Kept",
    "RECORD_NAME",
    "check_imports",
    "install_with_pip",
    "make_record",
    "read_record",
]
