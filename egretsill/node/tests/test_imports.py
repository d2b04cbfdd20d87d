"""Tests that a process imports only what it uses, which limits startup time and memory."""

from __future__ import annotations

import subprocess
import sys

UNUSED = ("pydantic", "aioquic", "cryptography", "matplotlib", "aioprometheus", "eliot", "asyncio")


def test_node_does_not_import_unused_libraries() -> None:
    program = f"import sys, egretsill.node; print([m for m in {UNUSED!r} if m in sys.modules])"
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
