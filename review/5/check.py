"""Case 5: entries of another product's servers keep the processes from finding each other."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

from client import ClientHost, Flow  # noqa: E402
from deployment import BOUNDS, READ_SERVICE, ZONES, Site  # noqa: E402
from record import Record  # noqa: E402
from verdict import BROKEN, HELD, NOT_RUN, run_case, with_trouble  # noqa: E402

# Whether a process reads late follows from a hash of its address; see claim.txt.
NETWORK = "127.47.6"
BALANCERS, READERS, WRITERS = 6, 6, 2
FOREIGN_ENTRIES = 80
SETTLE_SECONDS = 10.0
CHANGES = 18
FIRST_PORT = 9_000
APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
FLOWS_PER_BALANCER = 20
SPREAD_SECONDS = 0.7


async def ask_dropped_route(
    host: ClientHost, service: tuple[int, int], via: tuple[str, int], delay: float
) -> str | None:
    """Send a request on a route that was dropped; return the attempt's id if the flow opened."""
    await asyncio.sleep(delay)
    flow = Flow(host, service, via)
    sent_at = host.record.now
    if not await flow.open() or flow.reset_by is not None:
        flow.forget()
        return None
    host.record.write("opened-on-dropped-route", flow=flow.key, syn_sent_at=round(sent_at, 3))
    attempt, _ = await flow.request("GET /entry", 2.0)
    flow.close()
    return attempt


def publish(site: Site, number: int) -> None:
    """Write the next configuration, which drops the route before and adds another one."""
    address = site.further_address(FIRST_PORT + number)
    site.publish([site.route(f"r-{number}", address, "idempotent", READ_SERVICE)])


async def play(record: Record) -> int:
    async with Site(record, BALANCERS, READERS, WRITERS, NETWORK) as site:
        publish(site, 0)
        if not await site.wait_until_ready():
            return NOT_RUN
        hosts = [await site.client_host(number) for number in range(4)]
        if with_trouble():
            for number in range(FOREIGN_ENTRIES):
                entry = {
                    "service": "archive",
                    "address": f"127.{230 + number % 2}.7.{number + 1}:8080",
                    "zone": ZONES[number % 2],
                    "version": "v1",
                    "capacity": 4,
                    "phase": "ready",
                    "warmup_remaining_ms": 0,
                    "sequence": 1,
                    "born": site.sides[0].target.started_ms,
                }
                site.write_foreign_entry(f"archive-{number}", entry)
        await asyncio.sleep(SETTLE_SECONDS)
        for number in range(1, CHANGES + 1):
            publish(site, number)
            confirmed_at = record.now
            dropped = site.further_address(FIRST_PORT + number - 1)
            tasks = [
                ask_dropped_route(
                    hosts[each % len(hosts)],
                    dropped,
                    site.packets_address(balancer),
                    APPLY_SECONDS + 0.01 + SPREAD_SECONDS * each / FLOWS_PER_BALANCER,
                )
                for balancer in site.balancers
                for each in range(FLOWS_PER_BALANCER)
            ]
            attempts = [each for each in await asyncio.gather(*tasks) if each is not None]
            ran = [
                each
                for each in attempts
                if any(machine.target.runs.get(each) for machine in site.sides)
            ]
            record.write(
                "change", number=number, confirmed_at=round(confirmed_at, 3), ran_late=ran
            )
            if ran:
                print(f"change {number}: {len(ran)} requests ran on the dropped route")
                return BROKEN
            await asyncio.sleep(random.uniform(0.0, 0.5))
        return HELD


run_case(FOLDER, play)
