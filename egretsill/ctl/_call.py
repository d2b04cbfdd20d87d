"""`egretsillctl call`: sends a request and prints the answer as it arrives."""

from __future__ import annotations

import dataclasses
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

import trio
from absl import flags
from absl.flags import FlagValues

from ..caller import Call, FlowNotOpened, open_caller
from ..commands import (
    EXIT_CANCELLED,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    Command,
    new_flags,
)
from ..configuration import Address
from ..configuration.ini import parse_address, parse_optional_duration
from ..outcomes import Answered, Cancelled, Outcome, RefusalReason, Refused, Unknown

CHUNK_BYTES = 65_536


def make_command() -> Command:
    """Return the `call` command."""
    values = new_flags()
    flags.DEFINE_string("address", None, "Service address, IP:PORT.", flag_values=values)
    flags.DEFINE_string("authority", None, "Host name of the service.", flag_values=values)
    flags.DEFINE_string(
        "authorities",
        None,
        "PEM file of trusted certificate authorities; without it, nothing is verified.",
        flag_values=values,
    )
    flags.DEFINE_string("method", "GET", "HTTP method.", flag_values=values)
    flags.DEFINE_multi_string(
        "header", [], "Header as NAME: VALUE; may be repeated.", flag_values=values
    )
    flags.DEFINE_string(
        "body", None, "File to send as body; - is standard input.", flag_values=values
    )
    flags.DEFINE_string("deadline", "none", "Duration such as '5 s', or none.", flag_values=values)
    flags.DEFINE_string(
        "cancel_after", "none", "Cancel the request after this time.", flag_values=values
    )
    return Command(
        "call", "PATH", "Send a request and print the answer as it arrives.", values, _run
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if len(arguments) != 1 or not values.address or not values.authority:
        print("call takes --address, --authority and one PATH", file=sys.stderr)
        return EXIT_USAGE
    try:
        address = parse_address(values.address)
        deadline = parse_optional_duration(values.deadline)
        cancel_after = parse_optional_duration(values.cancel_after)
        headers = [_parse_header(each) for each in values.header]
    except ValueError as error:
        print(f"call: {error}", file=sys.stderr)
        return EXIT_USAGE
    outcome = trio.run(_call, values, address, arguments[0], headers, deadline, cancel_after)
    print(_describe(outcome, values.output), file=sys.stderr)
    return _exit_code(outcome)


async def _call(
    values: FlagValues,
    address: Address,
    path: str,
    headers: Sequence[tuple[bytes, bytes]],
    deadline: float | None,
    cancel_after: float | None,
) -> Outcome:
    authorities = Path(values.authorities) if values.authorities else None
    async with open_caller(address, values.authority, authorities) as caller:
        try:
            call = await caller.start(
                values.method,
                path,
                headers=headers,
                deadline_seconds=deadline,
                end=values.body is None,
            )
        except FlowNotOpened:
            return Refused(RefusalReason.FLOW_NOT_OPENED)
        async with trio.open_nursery() as nursery:
            if values.body is not None:
                nursery.start_soon(_send_body, call, values.body)
            with trio.move_on_after(float("inf") if cancel_after is None else cancel_after):
                await _print_answer(call)
            call.cancel()
            nursery.cancel_scope.cancel()
        return call.outcome or Cancelled()


async def _send_body(call: Call, name: str) -> None:
    if name == "-":
        await _send_all(call, sys.stdin.buffer)
    else:
        with Path(name).open("rb") as source:
            await _send_all(call, source)
    await call.send_data(b"", end=True)


async def _send_all(call: Call, source: BinaryIO) -> None:
    while chunk := source.read(CHUNK_BYTES):
        await call.send_data(chunk)


async def _print_answer(call: Call) -> None:
    data = await call.receive_data()
    while data is not None:
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()
        data = await call.receive_data()


def _parse_header(text: str) -> tuple[bytes, bytes]:
    name, separator, value = text.partition(":")
    if not separator or not name.strip():
        raise ValueError(f"NAME: VALUE is expected, not {text!r}")
    return name.strip().lower().encode(), value.strip().encode()


def _describe(outcome: Outcome, output: str) -> str:
    fields = {
        name: getattr(value, "value", value) for name, value in dataclasses.asdict(outcome).items()
    }
    kind = type(outcome).__name__.lower()
    if output == "json":
        return json.dumps({"outcome": kind, **fields})
    details = ", ".join(f"{name.replace('_', ' ')} {value}" for name, value in fields.items())
    return f"{kind}: {details}" if details else kind


def _exit_code(outcome: Outcome) -> int:
    match outcome:
        case Answered():
            return EXIT_OK
        case Refused():
            return EXIT_REFUSED
        case Unknown():
            return EXIT_UNKNOWN
        case Cancelled():
            return EXIT_CANCELLED
