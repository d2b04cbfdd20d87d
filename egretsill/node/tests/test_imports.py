"""A process loads only what it uses: its start and its memory depend on it."""

from __future__ import annotations

import subprocess
import sys

UNUSED = ("pydantic", "aioquic", "cryptography", "matplotlib", "aioprometheus", "eliot", "asyncio")


def test_a_process_that_steers_by_address_loads_nothing_of_the_other_interface() -> None:
    program = f"import sys, egretsill.node; print([m for m in {UNUSED!r} if m in sys.modules])"
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
