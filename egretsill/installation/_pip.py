"""Fetches libraries with pip."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from ._exceptions import InstallationFailed


def install_with_pip(requirements: Path, folder: Path) -> None:
    """Install the requirements into an empty folder.

    Raises:
        InstallationFailed: if pip fails; it has written the reason to standard error.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--target", str(folder), "--requirement", str(requirements)]
    result = subprocess.run(command, check=False)
    if result.returncode:
        raise InstallationFailed(f"pip ended with exit code {result.returncode}")
