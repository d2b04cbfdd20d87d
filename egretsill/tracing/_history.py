"""The lines that tell what happened to a flow, in order."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._log_line import LogLine

AROUND_SECONDS = 5.0  # longer than callers wait for most answers, and than a VM takes to restart

_FIRST = frozenset({"flow-new-flow", "flow-first-candidate"})
_LAST = frozenset({"flow-refused", "request-expired"})
_ABOUT_PROCESS = frozenset({"started", "leaving", "stopped", "woke"})
_ABOUT_PEER = frozenset({"peer-silent", "peer-heard"})
_ABOUT_STORE = frozenset({"store-lost", "store-regained"})


@dataclass(frozen=True, slots=True)
class History:
    """What is known of one flow.

    Attributes:
        name: the flow, or its caller's end if that is all that was asked for.
        lines: about the flow, in order of time.
        around: about the processes that it passed, from a little before to a little after.
        omitted: how many lines of the same kinds these processes left out meanwhile.
    """

    name: str
    lines: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    omitted: int

    @property
    def in_order(self) -> Sequence[LogLine]:
        """Return all its lines in order of time."""
        return sorted((*self.lines, *self.around), key=_order)


def find_history(name: str, lines: Iterable[LogLine]) -> History:
    """Return the history of a flow.

    Clocks of VMs differ a little, so lines of two processes may be out of order by as much.

    Args:
        name: a flow's name, or its caller's end.
        lines: of all processes, in any order.
    """
    known = sorted(lines, key=_order)
    own = tuple(line for line in known if _is_of(line, name))
    if not own:
        return History(name, (), (), 0)
    processes = {line.process for line in own}
    hosts = {line.text("agent") for line in own} - {""}
    processes |= {process for process, host in _hosts(known).items() if host in hosts}
    first, last = own[0].at - AROUND_SECONDS, own[-1].at + AROUND_SECONDS
    during = [line for line in known if first <= line.at <= last and line.process in processes]
    around = tuple(line for line in during if _is_around(line, hosts))
    kinds = {line.kind for line in own}
    omitted = sum(line.omitted for line in during if line.kind in kinds)
    return History(name, own, around, omitted)


def _order(line: LogLine) -> tuple[float, int]:
    """Sort by time, and within a millisecond by which decision comes first in a flow's life."""
    if line.kind in _FIRST:
        return line.at, 0
    return line.at, 2 if line.kind in _LAST else 1


def _is_of(line: LogLine, name: str) -> bool:
    return line.flow == name or (bool(line.flow) and line.flow.partition(">")[0] == name)


def _hosts(lines: Iterable[LogLine]) -> Mapping[str, str]:
    """Return the VMs' addresses by process; only the line of a start has them."""
    return {line.process: line.text("host") for line in lines if line.kind == "started"}


def _is_around(line: LogLine, hosts: set[str]) -> bool:
    if line.kind in _ABOUT_PEER:
        return line.text("peer") in hosts
    return line.kind in _ABOUT_PROCESS or line.kind in _ABOUT_STORE
