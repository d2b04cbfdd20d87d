"""`egretsillctl explain`: shows where a packet or request is sent by a bundle, and why."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..configuration import (
    Bundle,
    ConfigurationError,
    RequestClass,
    Service,
    Target,
    TargetState,
)
from ..settings import parse_keys
from ..steering import CONNECTION_ID_BYTES, ConnectionIdCodec, rank
from ._bundle_files import read_publication_files


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decision about a packet or a request.

    Attributes:
        decision: short description of the decision.
        target: name of the target whose agent gets it, or None.
        reasons: steps of the decision, in order.
    """

    decision: str
    target: str | None
    reasons: tuple[str, ...]


def make_command() -> Command:
    """Return the `explain` command."""
    values = new_flags()
    flags.DEFINE_string("bundle", None, "Directory of a compiled bundle.", flag_values=values)
    flags.DEFINE_string("service", None, "Name of the service.", flag_values=values)
    flags.DEFINE_string(
        "connection_id", None, "Connection ID of a packet, hexadecimal.", flag_values=values
    )
    flags.DEFINE_string(
        "keys",
        None,
        "Connection-ID keys as in the settings, ROTATION:HEX,...",
        flag_values=values,
    )
    flags.DEFINE_string("method", "GET", "Method of a request.", flag_values=values)
    return Command(
        "explain",
        "[PATH]",
        "Show the agent for a packet (--connection_id) or the class of a request (PATH).",
        values,
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if not values.bundle or not values.service or len(arguments) + bool(values.connection_id) != 1:
        print("explain takes --bundle, --service and --connection_id or PATH", file=sys.stderr)
        return EXIT_USAGE
    try:
        bundle = read_publication_files(Path(values.bundle)).bundle
    except (ConfigurationError, OSError) as error:
        print(f"explain: {error}", file=sys.stderr)
        return EXIT_FAILED
    service = bundle.services.get(values.service)
    if service is None:
        print(
            f"explain: no service {values.service} in revision {bundle.revision}", file=sys.stderr
        )
        return EXIT_FAILED
    try:
        explanation = _explain(values, arguments, bundle, service)
    except ValueError as error:
        print(f"explain: {error}", file=sys.stderr)
        return EXIT_USAGE
    if values.output == "json":
        print(json.dumps({"revision": bundle.revision, **asdict(explanation)}))
    else:
        print("\n".join([explanation.decision, *(f"  {each}" for each in explanation.reasons)]))
    return EXIT_OK


def _explain(
    values: FlagValues, arguments: Sequence[str], bundle: Bundle, service: Service
) -> Explanation:
    if arguments:
        return explain_request(service, values.method.upper(), arguments[0])
    keys = parse_keys(values.keys) if values.keys else ()
    codec = ConnectionIdCodec(keys)
    return explain_packet(bundle, service, codec, bytes.fromhex(values.connection_id))


def explain_packet(
    bundle: Bundle, service: Service, codec: ConnectionIdCodec, connection_id: bytes
) -> Explanation:
    """Return the decision about a packet for `service` with this connection ID."""
    owner = codec.decode(connection_id)
    if owner is None:
        return _explain_first_packet(service, connection_id)
    decoded = f"the ID names service number {owner.service_number}, target {owner.target_number}"
    if owner.service_number != service.number:
        return Explanation("dropped: the owner belongs to another service", None, (decoded,))
    target = _targets(bundle).get(owner.target_number)
    if target is None:
        missing = "the target is not in this revision; balancers keep such owners for hours"
        return Explanation("to its owner", None, (decoded, missing))
    return Explanation(f"to {target.name}, its owner", target.name, (decoded, _endpoint(target)))


def explain_request(service: Service, method: str, path: str) -> Explanation:
    """Return the class of a request and how the class is handled."""
    request_class = service.classify(method, path)
    if request_class is None:
        return Explanation("refused and not run: no class is declared for it", None, ())
    active = [each.name for each in service.targets if each.state is TargetState.ACTIVE]
    return Explanation(
        f"class {request_class.name}, placed on one of {len(active)} targets",
        None,
        (*_class_reasons(request_class), "targets: " + ", ".join(active)),
    )


def _explain_first_packet(service: Service, connection_id: bytes) -> Explanation:
    targets_by_number = {each.number: each for each in service.targets}
    ranked = [targets_by_number[number] for number in rank(connection_id, targets_by_number)]
    usable = [each for each in ranked if each.state is TargetState.ACTIVE] or ranked
    decoded = (
        f"the ID is no owner ID of {CONNECTION_ID_BYTES} bytes under the given keys, "
        "so only a first packet may carry it"
    )
    if not usable:
        return Explanation("dropped: the service has no target", None, (decoded,))
    ranking = "rank: " + ", ".join(_ranked_name(each) for each in ranked)
    skipped = "agents that do not answer are skipped for first packets"
    first = usable[0]
    return Explanation(f"to {first.name} by rank", first.name, (decoded, ranking, skipped))


def _ranked_name(target: Target) -> str:
    return target.name if target.state is TargetState.ACTIVE else f"{target.name} (draining)"


def _class_reasons(request_class: RequestClass) -> tuple[str, ...]:
    kind = "idempotent" if request_class.idempotent else "non-idempotent: started at most once"
    deadline = request_class.deadline_seconds
    deadline_text = "no deadline" if deadline is None else f"deadline {deadline:g} s unless sooner"
    return (
        kind,
        f"weight {request_class.weight:g}, {request_class.shape.value}, "
        f"priority {request_class.priority}",
        deadline_text,
    )


def _targets(bundle: Bundle) -> Mapping[int, Target]:
    return {
        target.number: target for service in bundle.services.values() for target in service.targets
    }


def _endpoint(target: Target) -> str:
    return f"its agent receives packets at {target.tunnel}"
