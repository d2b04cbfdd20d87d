"""Case 3: an entry of another writer at a target's address; open flows of that target are reset."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

from deployment import READ_SERVICE, Site, keep_long_flow  # noqa: E402
from record import Record  # noqa: E402
from verdict import BROKEN, HELD, NOT_RUN, run_case, with_trouble  # noqa: E402

FLOWS = 24
CALM_SECONDS = 8.0
TROUBLE_SECONDS = 20.0  # so that no flow is older than `flow_ttl_s`


async def play(record: Record) -> int:
    async with Site(record) as site:
        if not await site.wait_until_ready():
            return NOT_RUN
        until = record.now + CALM_SECONDS + TROUBLE_SECONDS
        hosts = [await site.client_host(number) for number in range(2)]
        tasks = [
            asyncio.create_task(
                keep_long_flow(hosts[each % 2], site.service_address, until, each * 0.1)
            )
            for each in range(FLOWS)
        ]
        await asyncio.sleep(CALM_SECONDS)
        opened = [each for host in hosts for each in host.flows.values() if each.is_open]
        if len(opened) < FLOWS or any(each.reset_by for each in opened):
            record.write("not-run", why="flows not open", opened=len(opened))
            return NOT_RUN
        if with_trouble():
            # The service isn't named in the configuration.
            target = next(each for each in site.sides if each.target.service == READ_SERVICE)
            entry = {**site.entry(target), "service": "inventory"}
            site.write_foreign_entry("inventory-1", entry)
        await asyncio.gather(*tasks)
        broken = 0
        for flow in opened:
            if flow.reset_by != "system":
                continue
            holders = [each.target.name for each in site.sides if each.target.holds(flow.key)]
            record.write("flow-reset-by-system", flow=flow.key, still_open_at=holders)
            broken += bool(holders)
        record.write("result", flows=FLOWS, broken=broken)
        print(f"{broken} of {FLOWS} open flows were reset by the system; their target lives")
        return BROKEN if broken else HELD


run_case(FOLDER, play)
