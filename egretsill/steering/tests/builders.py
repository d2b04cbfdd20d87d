"""Small configurations and packets for the tests of `steering`."""

from collections.abc import Sequence

from ...configuration import Address, Bundle, Service, Target, TargetState
from .. import ConnectionIdCodec, ConnectionIdKey

LOOKUP = Address("10.0.0.1", 443)
SUBMISSION = Address("10.0.0.2", 443)
CALLER_HOST = "192.0.2.7"
KEY = ConnectionIdKey(0, b"0123456789abcdef")
CODEC = ConnectionIdCodec([KEY])


def target(
    number: int,
    service: str,
    state: TargetState = TargetState.ACTIVE,
    tunnel: Address | None = None,
) -> Target:
    host = f"10.1.0.{number}"
    return Target(
        name=f"target-{number}",
        number=number,
        service=service,
        failure_domain="a",
        tunnel=tunnel or Address(host, 4000),
        relay=Address(host, 4001),
        gossip=Address(host, 4002),
        backend=Address(host, 80),
        slots=4,
        state=state,
    )


def service(
    name: str, number: int, addresses: Sequence[Address], targets: Sequence[Target]
) -> Service:
    return Service(name, number, "tenant", f"{name}.example", tuple(addresses), (), tuple(targets))


def bundle(
    revision: int = 1,
    lookup: Sequence[int] = (1, 2, 3),
    submission: Sequence[int] = (11, 12),
    draining: Sequence[int] = (),
    lookup_at: Sequence[Address] = (LOOKUP,),
) -> Bundle:
    """Return a configuration of two services whose targets have these numbers."""

    def targets(numbers: Sequence[int], name: str) -> list[Target]:
        states = dict.fromkeys(draining, TargetState.DRAINING)
        return [target(each, name, states.get(each, TargetState.ACTIVE)) for each in numbers]

    services = {
        "lookup": service("lookup", 1, lookup_at, targets(lookup, "lookup")),
        "submission": service("submission", 2, [SUBMISSION], targets(submission, "submission")),
    }
    return Bundle(revision, str(revision), services)


def short_packet(connection_id: bytes, payload: bytes = bytes(40)) -> bytes:
    return b"\x40" + connection_id + payload


def initial_packet(connection_id: bytes, version: int = 1, size: int = 1200) -> bytes:
    header = b"\xc0" + version.to_bytes(4, "big") + bytes([len(connection_id)]) + connection_id
    return header.ljust(size, b"\0")
