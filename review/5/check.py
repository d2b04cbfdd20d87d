"""Case 5: open flows at a service that a route no longer uses are reset after a rolling restart."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

from deployment import READ_SERVICE, WRITE_SERVICE, Site, keep_long_flow  # noqa: E402
from record import Record  # noqa: E402
from verdict import BROKEN, HELD, NOT_RUN, run_case, with_trouble  # noqa: E402

FLOWS = 24
OPENING_SECONDS = 6.0
APPLIED_SECONDS = 4.0
GAP_SECONDS = 2.0  # between two machines that are stopped and started in turn
AFTER_SECONDS = 20.0
ROUTE_PORT = 9_000


def publish(site: Site, weights: dict[str, int]) -> None:
    """Write a configuration whose third route is shared by services with these weights."""
    address = site.further_address(ROUTE_PORT)
    route = site.route("r-shared", address, "idempotent", READ_SERVICE)
    del route["service"]
    route["backends"] = [{"service": name, "weight": each} for name, each in weights.items()]
    site.publish([route])


async def play(record: Record) -> int:
    is_only_restart = os.environ.get("TROUBLE") == "restart"
    async with Site(record, balancers=2, readers=3, writers=2) as site:
        publish(site, {READ_SERVICE: 50, WRITE_SERVICE: 50})
        if not await site.wait_until_ready():
            return NOT_RUN
        restart_seconds = GAP_SECONDS * len(site.machines)
        until = record.now + OPENING_SECONDS + APPLIED_SECONDS + restart_seconds + AFTER_SECONDS
        hosts = [await site.client_host(number) for number in range(2)]
        address = site.further_address(ROUTE_PORT)
        tasks = [
            asyncio.create_task(keep_long_flow(hosts[each % 2], address, until, each * 0.1))
            for each in range(FLOWS)
        ]
        await asyncio.sleep(OPENING_SECONDS)
        opened = [each for host in hosts for each in host.flows.values() if each.is_open]
        if len(opened) < FLOWS or any(each.reset_by for each in opened):
            record.write("not-run", why="flows not open", opened=len(opened))
            return NOT_RUN
        if with_trouble() and not is_only_restart:
            publish(site, {READ_SERVICE: 100})
        await asyncio.sleep(APPLIED_SECONDS)
        if with_trouble():
            for machine in site.machines:
                machine.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*tasks)
        broken = 0
        for flow in opened:
            if flow.reset_by != "system":
                continue
            holders = [each.target.service for each in site.sides if each.target.holds(flow.key)]
            record.write("flow-reset-by-system", flow=flow.key, still_open_at=holders)
            broken += bool(holders)
        record.write("result", flows=FLOWS, broken=broken)
        print(f"{broken} of {FLOWS} open flows were reset by the system; their target lives")
        return BROKEN if broken else HELD


run_case(FOLDER, play)
