"""Case 1: an entry of another writer whose text can't be encoded ends every process."""

import asyncio
import json
import math
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

from deployment import Site, keep_long_flow  # noqa: E402
from record import Record  # noqa: E402
from verdict import BROKEN, HELD, NOT_RUN, run_case, with_trouble  # noqa: E402

FLOWS = 12
CALM_SECONDS = 6.0
TROUBLE_SECONDS = 25.0
# RULES.md, "Fault": on a tenth of the machines, two at least, three ends by themselves.
MACHINES_SHARE, MACHINES_AT_LEAST, ENDS = 0.1, 2, 3


async def play(record: Record) -> int:
    async with Site(record) as site:
        if not await site.wait_until_ready():
            return NOT_RUN
        until = record.now + CALM_SECONDS + TROUBLE_SECONDS
        host = await site.client_host(0)
        tasks = [
            asyncio.create_task(keep_long_flow(host, site.service_address, until, each * 0.1))
            for each in range(FLOWS)
        ]
        await asyncio.sleep(CALM_SECONDS)
        if any(each.process.ends for each in site.machines):
            return NOT_RUN
        if with_trouble():
            # The service isn't named in the configuration, and the zone's text was cut in the
            # middle of a character: it ends in half of a surrogate pair.
            entry = {
                "service": "inventory",
                "address": site.unused_address,
                "zone": "store room \ud83d",
                "version": "v1",
                "capacity": 4,
                "phase": "ready",
                "warmup_remaining_ms": 0,
                "sequence": 1,
                "born": site.sides[0].target.started_ms,
            }
            site.write_foreign_entry("inventory-1", json.dumps(entry).encode("ascii"))
        await asyncio.gather(*tasks)
        ends = {each.process.name: each.process.ends for each in site.machines}
        ended = [name for name, count in ends.items() if count >= ENDS]
        record.write("ends", **ends)
        print(f"ends by themselves: {ends}")
        limit = max(math.ceil(MACHINES_SHARE * len(ends)), MACHINES_AT_LEAST)
        return BROKEN if len(ended) >= limit else HELD


run_case(FOLDER, play)
