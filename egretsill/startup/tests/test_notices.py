"""Lines on standard error never stop a process."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

PROGRAM = (
    "from egretsill.startup import write_notice; [write_notice('x' * 99) for _ in range(2000)]"
)


# Guards against a process that hangs at its start, or ends, because nobody reads its errors.
@pytest.mark.parametrize("is_closed", [False, True], ids=["stalled reader", "no reader"])
def test_notices_are_dropped_if_nobody_reads_them(is_closed: bool) -> None:
    reader, writer = os.pipe()
    if is_closed:
        os.close(reader)
    try:
        result = subprocess.run([sys.executable, "-c", PROGRAM], stderr=writer, timeout=20)
    finally:
        os.close(writer)
        if not is_closed:
            os.close(reader)
    assert result.returncode == 0


def test_notice_is_a_line() -> None:
    program = "from egretsill.startup import write_notice; write_notice('address \\ud83d')"
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    assert result.stderr == b"address \\ud83d\n"
