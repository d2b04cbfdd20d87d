"""Log lines that concern one flow, in order of time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._log_line import LogLine

CONTEXT_SECONDS = 5.0  # longer than most callers wait for an answer, and than a VM takes to restart

_FIRST_KINDS = frozenset({"flow-new-flow", "flow-first-candidate"})
_LAST_KINDS = frozenset({"flow-refused", "request-expired"})
_PROCESS_KINDS = frozenset({"started", "leaving", "stopped", "woke"})
_PEER_KINDS = frozenset({"peer-silent", "peer-heard"})
_STORE_KINDS = frozenset({"store-lost", "store-regained"})


@dataclass(frozen=True, slots=True)
class History:
    """Log lines about one flow and around it.

    Attributes:
        name: name of the flow, or only the address of its caller if that was requested.
        lines: lines about the flow, in order of time.
        context: lines about the processes that handled it, from `CONTEXT_SECONDS` before its first
            line to `CONTEXT_SECONDS` after its last.
        omitted: number of lines of the same kinds that these processes omitted in that time.
    """

    name: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    omitted: int

    @property
    def all_lines(self) -> Sequence[LogLine]:
        """Return all lines in order of time."""
        return sorted((*self.lines, *self.context), key=_sort_key)


def find_history(name: str, lines: Iterable[LogLine]) -> History:
    """Return the history of a flow.

    Lines of different processes may be out of order by the difference of their VMs' clocks.

    Args:
        name: name of a flow, or the address of its caller.
        lines: log lines of all processes, in any order.
    """
    ordered = sorted(lines, key=_sort_key)
    flow_lines = tuple(line for line in ordered if _is_about_flow(line, name))
    if not flow_lines:
        return History(name, (), (), 0)
    processes = {line.process for line in flow_lines}
    hosts = {line.text("agent") for line in flow_lines} - {""}
    processes |= {process for process, host in _hosts_by_process(ordered).items() if host in hosts}
    first, last = flow_lines[0].at - CONTEXT_SECONDS, flow_lines[-1].at + CONTEXT_SECONDS
    nearby = [line for line in ordered if first <= line.at <= last and line.process in processes]
    context = tuple(line for line in nearby if _is_context(line, hosts))
    kinds = {line.kind for line in flow_lines}
    omitted = sum(line.omitted for line in nearby if line.kind in kinds)
    return History(name, flow_lines, context, omitted)


def _sort_key(line: LogLine) -> tuple[float, int]:
    """Sort by time, and within a millisecond by the order of decisions about a flow."""
    if line.kind in _FIRST_KINDS:
        return line.at, 0
    return line.at, 2 if line.kind in _LAST_KINDS else 1


def _is_about_flow(line: LogLine, name: str) -> bool:
    return line.flow == name or (bool(line.flow) and line.flow.partition(">")[0] == name)


def _hosts_by_process(lines: Iterable[LogLine]) -> Mapping[str, str]:
    """Return the VM address of each process; only its `started` lines contain it."""
    return {line.process: line.text("host") for line in lines if line.kind == "started"}


def _is_context(line: LogLine, hosts: set[str]) -> bool:
    if line.kind in _PEER_KINDS:
        return line.text("peer") in hosts
    return line.kind in _PROCESS_KINDS or line.kind in _STORE_KINDS
