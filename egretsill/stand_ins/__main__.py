"""`python -m egretsill.stand_ins`: runs one stand-in as a separate process."""

from __future__ import annotations

import dataclasses
import json
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from random import Random

import trio
from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags, run_program
from ..configuration import Address
from ..configuration.ini import parse_address
from ._backend_totals import read_counts
from .backend_server import BackendBehaviour, BackendServer
from .certificates import write_certificate
from .fabric import Fabric
from .platform import PlatformStandIn

PROGRAM = "python -m egretsill.stand_ins"
INTRODUCTION = f"""{PROGRAM} COMMAND [--flags]

Runs one stand-in until interrupted. Stand-ins are for trials on one machine only.

Commands:"""


def _backend_server_command() -> Command:
    values = _flags_with_listen()
    flags.DEFINE_string("service", "", "Service of the backend server.", flag_values=values)
    flags.DEFINE_integer("slots", 4, "Requests that run at once.", flag_values=values)
    flags.DEFINE_float(
        "weight_seconds", 0.005, "Service time of a request of weight 1.", flag_values=values
    )
    flags.DEFINE_float("revision_seconds", 1.0, "Seconds between revisions.", flag_values=values)
    return Command(
        "backend-server", "", "A backend server of one service.", values, _run_backend_server
    )


def _run_backend_server(values: FlagValues, arguments: Sequence[str]) -> int:
    address = parse_address(values.listen)
    behaviour = BackendBehaviour(
        slots=values.slots,
        seconds_per_weight=values.weight_seconds,
        revision_seconds=values.revision_seconds,
    )

    async def serve() -> None:
        await BackendServer(values.service, behaviour).serve(address.host, address.port)

    return _run_until_interrupted(serve)


def _platform_command() -> Command:
    values = _flags_with_listen()
    flags.DEFINE_string(
        "directory", ".", "Directory that holds the values as files.", flag_values=values
    )
    return Command("platform", "", "The platform: values and the VM list.", values, _run_platform)


def _run_platform(values: FlagValues, arguments: Sequence[str]) -> int:
    address = parse_address(values.listen)

    async def serve() -> None:
        stand_in = PlatformStandIn()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stand_in.follow_directory, Path(values.directory))
            nursery.start_soon(stand_in.serve, address)

    return _run_until_interrupted(serve)


def _fabric_command() -> Command:
    values = new_flags()
    flags.DEFINE_multi_string(
        "balancer",
        [],
        "SERVICE_ADDRESS=LISTENER[,...]; repeat for each balancer.",
        flag_values=values,
    )
    flags.DEFINE_float("loss", 0.0, "Share of packets to drop.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the choice of balancers.", flag_values=values)
    return Command("fabric", "", "Distributes packets over the balancers.", values, _run_fabric)


def _run_fabric(values: FlagValues, arguments: Sequence[str]) -> int:
    balancers = {text: _parse_listeners(text) for text in values.balancer}
    if not balancers:
        print("fabric requires at least one --balancer", file=sys.stderr)
        return EXIT_USAGE
    addresses = sorted({address for each in balancers.values() for address in each})

    async def serve() -> None:
        await Fabric(addresses, balancers, Random(values.seed), values.loss).run()

    return _run_until_interrupted(serve)


def _certificate_command() -> Command:
    values = new_flags()
    flags.DEFINE_string(
        "directory", ".", "Directory to write the certificate to.", flag_values=values
    )
    return Command(
        "certificate",
        "HOST_NAME...",
        "Write a short-lived test certificate.",
        values,
        _run_certificate,
    )


def _run_certificate(values: FlagValues, arguments: Sequence[str]) -> int:
    if not arguments:
        print("certificate requires at least one HOST_NAME", file=sys.stderr)
        return EXIT_USAGE
    print(write_certificate(Path(values.directory), arguments).certificate)
    return EXIT_OK


def _counts_command() -> Command:
    return Command(
        "counts",
        "BACKEND_ADDRESS...",
        "Sum the counts of backend servers; exit code 1 if a request ran twice or was misdirected.",
        new_flags(),
        _run_counts,
    )


def _run_counts(values: FlagValues, arguments: Sequence[str]) -> int:
    counts = trio.run(read_counts, [parse_address(each) for each in arguments])
    print(json.dumps(dataclasses.asdict(counts)))
    return EXIT_FAILED if counts.run_twice or counts.misdirected else EXIT_OK


def _parse_listeners(text: str) -> Mapping[Address, Address]:
    pairs = [pair.partition("=") for pair in text.split(",")]
    return {parse_address(service): parse_address(listener) for service, _, listener in pairs}


def _flags_with_listen() -> FlagValues:
    values = new_flags()
    flags.DEFINE_string("listen", "127.0.0.1:0", "IP:PORT to listen on.", flag_values=values)
    return values


def _run_until_interrupted(serve: Callable[[], Awaitable[None]]) -> int:
    try:
        trio.run(serve)
    except* KeyboardInterrupt:
        pass
    return EXIT_OK


if __name__ == "__main__":
    commands = [
        _backend_server_command(),
        _platform_command(),
        _fabric_command(),
        _counts_command(),
        _certificate_command(),
    ]
    sys.exit(run_program(PROGRAM, INTRODUCTION, commands, sys.argv[1:]))
