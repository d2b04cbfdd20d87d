"""Conclusion about how a flow ended, drawn from its history."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from ..address_steering import RefuseReason
from ._history import History
from ._log_line import LogLine

_REFUSAL_EXPLANATIONS: Mapping[str, str] = {
    RefuseReason.NO_ROUTE.value: "the configuration in force there has no such service address",
    RefuseReason.NO_TARGET.value: "no target of the service accepted new flows",
    RefuseReason.EVACUATED.value: (
        "the targets that would have accepted it are in evacuated failure domains"
    ),
    RefuseReason.ALL_FULL.value: "each target bounced the SYN packet",
    RefuseReason.ALL_WARMING_UP.value: (
        "the targets that it came to are in warm-up and had got as many flows as they may"
    ),
    RefuseReason.NOWHERE_OPEN.value: (
        "no target has the flow any more: it ended, or its target restarted"
    ),
    RefuseReason.OWNER_GONE.value: "the target that had the flow has left with its VM",
    RefuseReason.LOST_BY_TARGET.value: (
        "the target that had the flow bounced a packet of it: it restarted without the flow"
    ),
}


class Ending(enum.Enum):
    """How a flow ended according to the logs."""

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
        ending: how the flow ended.
        sentence: explanation for an operator.
    """

    ending: Ending
    sentence: str


def conclude(history: History) -> Conclusion:
    """Return the conclusion about a history; the last line that ended the flow decides."""
    if not history.lines:
        return Conclusion(
            Ending.UNKNOWN_FLOW,
            "No line is about this flow: its packets reached no process, or the lines were omitted"
            " or lost. Check the network and the starts of the balancers.",
        )
    for line in reversed(history.lines):
        match line.kind:
            case "flow-refused":
                return _conclude_refused(line)
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
            f"{restart.process} restarted after the flow had been sent there. If its target also"
            " restarted, a request in progress may have run and its answer is lost.",
        )
    last = history.lines[-1]
    if last.kind == "flow-packet-dropped":
        return Conclusion(
            Ending.DROPPED,
            f"{last.process} dropped its last packet ({last.text('reason')}); the caller sends"
            " it again.",
        )
    waits = [line for line in history.lines if line.kind == "request-waits"]
    if waits:
        return Conclusion(
            Ending.WAITED,
            f"A request waited at {waits[-1].process}, where {waits[-1].text('waiting')} waited"
            f" and the target had {waits[-1].text('pending')}; no line says that it was refused"
            " or given up, so it was answered late or its target did not answer.",
        )
    return Conclusion(
        Ending.STEERED,
        f"It was sent to the agent at {_last_agent(history)} and no line says that it was refused"
        " or given up: it was answered, or lost at its target or on the way.",
    )


def _conclude_refused(line: LogLine) -> Conclusion:
    reason = line.text("reason")
    explanation = _REFUSAL_EXPLANATIONS.get(reason, f"reason {reason}")
    return Conclusion(
        Ending.REFUSED,
        f"{line.process} reset it: {explanation}. It decided by configuration version"
        f" {line.text('version')}, content confirmed {line.text('age')} s before.",
    )


def _restart_after(history: History) -> LogLine | None:
    """Return the start line of an agent that restarted after the flow was last sent to it."""
    sent = {line.text("agent"): line.at for line in history.lines if line.text("agent")}
    for line in history.context:
        if line.kind == "started" and line.at > sent.get(line.text("host"), float("inf")):
            return line
    return None


def _last_agent(history: History) -> str:
    agents = [line.text("agent") for line in history.lines if line.text("agent")]
    return agents[-1] if agents else "an unknown address"
