"""Tries libraries in a new interpreter, as a process will use them."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from ._exceptions import InstallationFailed

# All that `platform/run.py` imports, at once or later.
MODULES = ("egretsill.node", "egretsill_platform", "eliot", "aioprometheus.renderer")
ROOT = Path(__file__).resolve().parents[2]


def check_imports(folder: Path) -> None:
    """Import what a process imports, with the libraries of a folder and no others.

    Raises:
        InstallationFailed: if that fails.
    """
    search_path = [str(folder.resolve()), str(ROOT), str(ROOT / "platform")]
    result = subprocess.run(
        [sys.executable, "-S", "-B", "-c", f"import {', '.join(MODULES)}"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(search_path)},
        capture_output=True,
        text=True,
        errors="replace",
        check=False,
    )
    if result.returncode:
        last_line = result.stderr.strip().rpartition("\n")[2]
        raise InstallationFailed(last_line or f"imports ended with {result.returncode}")
