"""Exit codes of a case, and its switch."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110.0  # of the 120 s that a case may take


def with_trouble() -> bool:
    """Whether the disruption is part of this run (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case, write its record and exit with its code."""
    record = Record(folder / "record.txt")

    async def limited() -> int:
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                return await play(record)
        except Exception as error:  # a fault of the stand-ins is no verdict
            record.write("not-run", why=repr(error))
            return NOT_RUN

    code = asyncio.run(limited())
    record.write("exit", code=code)
    record.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
