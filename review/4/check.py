"""Case 4: an incomplete entry at a draining target's address brings the target back into use."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

from client import ClientHost, Flow  # noqa: E402
from deployment import BOUNDS, READ_SERVICE, Site  # noqa: E402
from record import Record  # noqa: E402
from verdict import BROKEN, HELD, NOT_RUN, run_case, with_trouble  # noqa: E402

CALM_SECONDS = 6.0
FOREIGN_AFTER_SECONDS = 1.0
WATCHED_SECONDS = 12.0  # the target serves "many seconds" longer
FLOW_INTERVAL_SECONDS = 0.05
DRAIN_SECONDS = BOUNDS["drain_timeout_ms"] / 1000


async def send_requests(host: ClientHost, service: tuple[int, int], until: float) -> None:
    """Send a request on a flow of its own at fixed intervals."""

    async def send_one() -> None:
        flow = Flow(host, service)
        if await flow.open() and flow.reset_by is None:
            await flow.request("GET /entry", 4.0)
            flow.close()

    async with asyncio.TaskGroup() as group:
        while host.record.now < until:
            group.create_task(send_one())
            await asyncio.sleep(FLOW_INTERVAL_SECONDS)


async def play(record: Record) -> int:
    async with Site(record) as site:
        if not await site.wait_until_ready():
            return NOT_RUN
        until = record.now + CALM_SECONDS + WATCHED_SECONDS
        host = await site.client_host(0)
        sending = asyncio.create_task(send_requests(host, site.service_address, until))
        await asyncio.sleep(CALM_SECONDS)
        machine = next(each for each in site.sides if each.target.service == READ_SERVICE)
        target = machine.target
        if not target.syns:
            return NOT_RUN
        site.write_entry(machine, phase="draining", sequence=2)
        drained_at = record.now
        await asyncio.sleep(FOREIGN_AFTER_SECONDS)
        if with_trouble():
            entry = site.entry(machine)
            kept = ("service", "address", "zone", "phase")  # the others are missing
            site.write_foreign_entry("inventory-1", {each: entry[each] for each in kept})
        await sending
        late = [at for at in target.syns if at > drained_at + DRAIN_SECONDS]
        record.write("result", drained_at=round(drained_at, 3), late_flows=len(late))
        print(f"{len(late)} flows reached the draining target later than {DRAIN_SECONDS} s")
        return BROKEN if late else HELD


run_case(FOLDER, play)
