"""`egretsillctl status`: shows the status pages of several daemons as a table."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import trio
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import Address
from ..configuration.ini import parse_address
from ..wire import PageUnavailable, get_page

TIMEOUT_SECONDS = 3.0
DAEMON_COLUMNS = ("name", "role", "revision", "flows", "requests", "draining")
NODE_COLUMNS = (
    "name",
    "role",
    "version",
    "revision",
    "content_age",
    "targets",
    "peers_heard",
    "flows",
    "pending",
    "is_leaving",
)


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Status of one daemon.

    Attributes:
        address: its admin endpoint.
        page: its status page, or None if it could not be read.
        problem: why it could not be read, or an empty string.
    """

    address: Address
    page: Mapping[str, object] | None
    problem: str = ""


def make_command() -> Command:
    """Return the `status` command."""
    return Command(
        "status",
        "ADMIN_ADDRESS...",
        "Show revision, flows, draining and refusals of each daemon.",
        new_flags(),
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    try:
        addresses = [parse_address(each) for each in arguments]
    except ValueError as error:
        print(f"status: {error}", file=sys.stderr)
        return EXIT_USAGE
    if not addresses:
        print("status takes at least one ADMIN_ADDRESS", file=sys.stderr)
        return EXIT_USAGE
    statuses = trio.run(read_statuses, addresses)
    print(_as_json(statuses) if values.output == "json" else _as_text(statuses))
    return EXIT_OK if all(each.page is not None for each in statuses) else EXIT_FAILED


async def read_statuses(addresses: Sequence[Address]) -> Sequence[DaemonStatus]:
    """Return the status of each daemon, in the order given."""
    found: dict[Address, DaemonStatus] = {}
    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(_store_status, address, found)
    return [found[address] for address in addresses]


async def _store_status(address: Address, found: dict[Address, DaemonStatus]) -> None:
    try:
        page = await get_page(address.host, address.port, "/status", TIMEOUT_SECONDS)
        content = json.loads(page.body)
    except (PageUnavailable, ValueError) as error:
        found[address] = DaemonStatus(address, None, str(error))
        return
    if not isinstance(content, dict):
        found[address] = DaemonStatus(address, None, "not a status page")
        return
    found[address] = DaemonStatus(address, content)


def _as_json(statuses: Sequence[DaemonStatus]) -> str:
    return json.dumps(
        [
            {"address": str(each.address), "status": each.page, "problem": each.problem}
            for each in statuses
        ]
    )


def _as_text(statuses: Sequence[DaemonStatus]) -> str:
    """Return one table for daemons and one for nodes, omitting an empty one."""
    nodes = [each for each in statuses if each.page is not None and "peers_heard" in each.page]
    daemons = [each for each in statuses if each not in nodes]
    tables = ((daemons, DAEMON_COLUMNS), (nodes, NODE_COLUMNS))
    return "\n".join(_as_table(group, columns) for group, columns in tables if group)


def _as_table(statuses: Sequence[DaemonStatus], columns: Sequence[str]) -> str:
    rows: list[tuple[str, ...]] = [("address", *columns)]
    notes: list[str] = []
    for each in statuses:
        if each.page is None:
            rows.append((str(each.address), "unreachable", *("-" for _ in columns[1:])))
            notes.append(f"{each.address}: {each.problem}")
            continue
        rows.append((str(each.address), *(str(each.page.get(name, "-")) for name in columns)))
        notes += _refusals(each.address, each.page)
        notes += _evacuations(each.address, each.page)
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join([*(line.rstrip() for line in lines), *notes])


def _refusals(address: Address, page: Mapping[str, object]) -> list[str]:
    refusals = page.get("refusals")
    if not isinstance(refusals, dict) or not refusals:
        return []
    reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(refusals.items()))
    return [f"{address}: refused: {reasons}"]


def _evacuations(address: Address, page: Mapping[str, object]) -> list[str]:
    evacuated = page.get("evacuated")
    if not isinstance(evacuated, list):
        return []
    orders = [each for each in evacuated if isinstance(each, dict)]
    return [
        f"{address}: evacuated: {each.get('domain')} by revision {each.get('revision')}, "
        f"known for {each.get('known_for')} s"
        for each in orders
    ]
