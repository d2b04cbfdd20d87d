"""What a flow's history comes to, in a sentence."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from ..address_steering import RefuseReason
from ._history import History
from ._log_line import LogLine

_REFUSALS: Mapping[str, str] = {
    RefuseReason.NO_ROUTE.value: "the configuration in force there has no such service address",
    RefuseReason.NO_TARGET.value: "no target of the service took new flows",
    RefuseReason.ALL_FULL.value: "each target gave the opening packet back",
    RefuseReason.NOWHERE_OPEN.value: (
        "no target has the flow any more: it ended, or its target restarted"
    ),
    RefuseReason.OWNER_GONE.value: "the target that had the flow has left with its VM",
    RefuseReason.LOST_BY_TARGET.value: (
        "the target that had the flow gave a packet of it back: it came up anew without it"
    ),
}


class Ending(enum.Enum):
    """How a flow ended, as far as the logs tell."""

    UNKNOWN_FLOW = "unknown-flow"
    REFUSED = "refused"
    EXPIRED = "expired"
    AGENT_RESTARTED = "agent-restarted"
    DROPPED = "dropped"
    WAITED = "waited"
    STEERED = "steered"


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What happened to a flow.

    Attributes:
        ending: the kind of it.
        sentence: for an operator.
    """

    ending: Ending
    sentence: str


def conclude(history: History) -> Conclusion:
    """Return what a history comes to; the last thing that ended the flow counts."""
    if not history.lines:
        return Conclusion(
            Ending.UNKNOWN_FLOW,
            "No line is about this flow: its packets came to no process, or the lines were left"
            " out or lost. Look at the network and at the starts of the balancers.",
        )
    for line in reversed(history.lines):
        match line.kind:
            case "flow-refused":
                return _refused(line)
            case "request-expired":
                return Conclusion(
                    Ending.EXPIRED,
                    f"A request waited {line.text('waited')} s at {line.process} until its caller"
                    " gave up; it never ran. The target had no capacity for it.",
                )
    restart = _restart_after(history)
    if restart is not None:
        return Conclusion(
            Ending.AGENT_RESTARTED,
            f"{restart.process} restarted after the flow had been sent there. If its target did"
            " as well, a request in progress may have run and its answer is lost.",
        )
    last = history.lines[-1]
    if last.kind == "flow-packet-dropped":
        return Conclusion(
            Ending.DROPPED,
            f"{last.process} threw its last packet away ({last.text('reason')}); the caller sends"
            " it again.",
        )
    waits = [line for line in history.lines if line.kind == "request-waits"]
    if waits:
        return Conclusion(
            Ending.WAITED,
            f"A request waited at {waits[-1].process}, where {waits[-1].text('waiting')} waited"
            f" and the target had {waits[-1].text('pending')}; no line says that it was refused"
            " or given up, so it was answered late or its target didn't answer.",
        )
    return Conclusion(
        Ending.STEERED,
        f"It was sent to the agent at {_last_agent(history)} and no line says that it was refused"
        " or given up: it was answered, or lost at its target or on the way.",
    )


def _refused(line: LogLine) -> Conclusion:
    reason = line.text("reason")
    because = _REFUSALS.get(reason, f"reason {reason}")
    return Conclusion(
        Ending.REFUSED,
        f"{line.process} reset it: {because}. It decided by configuration version"
        f" {line.text('version')}, content confirmed {line.text('age')} s before.",
    )


def _restart_after(history: History) -> LogLine | None:
    """Return the start of an agent after the flow's last packet was sent to it."""
    sent = {line.text("agent"): line.at for line in history.lines if line.text("agent")}
    for line in history.around:
        if line.kind == "started" and line.at > sent.get(line.text("host"), float("inf")):
            return line
    return None


def _last_agent(history: History) -> str:
    agents = [line.text("agent") for line in history.lines if line.text("agent")]
    return agents[-1] if agents else "an unknown address"
