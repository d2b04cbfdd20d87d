"""Notices that a VM is leaving, sent by the first process that reads so in the VM list.

Each process reads the platform's VM list seldom, so that the reads and bytes stay bounded whatever
the fleet's size. Since the processes read it at different times, the first that finds a VM leaving
notifies the process on that VM, which need not wait for its own next reading.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from ..configuration import Address, Vm, VmState

MAXIMUM_NOTICES = 64
MAXIMUM_NAME_CHARACTERS = 63


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Notifies the receiver that its VM is leaving, according to the VM list.

    Attributes:
        name: name of the VM, by which a process at a reused address ignores the notice.
    """

    name: str

    def __post_init__(self) -> None:
        if not 0 < len(self.name) <= MAXIMUM_NAME_CHARACTERS:
            raise ValueError("name")


@dataclass(frozen=True, slots=True)
class SendNotice:
    """Send a notice to a gossip endpoint."""

    to: Address
    notice: LeavingNotice


DRAINING_TYPES: Mapping[int, type[LeavingNotice]] = MappingProxyType({80: LeavingNotice})


def leaving_notices(
    vms: Sequence[Vm], serving: Mapping[str, Address], own_name: str
) -> Sequence[SendNotice]:
    """Return the notices to send after a reading of the VM list.

    Args:
        vms: the VM list.
        serving: gossip endpoints by name of the processes that are reachable and have not announced
            that they are leaving.
        own_name: name of this process, which needs no notice.
    """
    leaving: Collection[str] = [vm.name for vm in vms if vm.state is VmState.LEAVING]
    wanted = [name for name in leaving if name in serving and name != own_name]
    return [SendNotice(serving[name], LeavingNotice(name)) for name in wanted[:MAXIMUM_NOTICES]]
