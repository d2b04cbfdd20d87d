"""What the first statements of a process load."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SLOW_MODULES = ("dataclasses", "inspect", "pathlib", "re", "socket", "typing")
ROOT = Path(__file__).resolve().parents[3]


# Guards against imports that delay the first signal handler.
def test_startup_imports_no_slow_module() -> None:
    program = (
        f"import sys, egretsill.startup; print([m for m in {SLOW_MODULES} if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-S", "-c", program], capture_output=True, text=True, check=True, cwd=ROOT
    )
    assert result.stdout.strip() == "[]"
