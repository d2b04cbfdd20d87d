"""Telling a VM that it is leaving, by whichever process reads so first.

The platform's VM list is read seldom by each process, so that its reads and bytes stay bounded
whatever the fleet's size. But the processes read it at different times, and the first that finds a
VM on its way out tells that VM's own process.
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
    """The VM list says that the receiver's VM is leaving.

    Attributes:
        name: of the VM, so that a process at a reused address does not take it for its own.
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


def notices_for(
    vms: Sequence[Vm], serving: Mapping[str, Address], own_name: str
) -> Sequence[SendNotice]:
    """Return whom to tell after a reading of the VM list.

    Args:
        vms: the list.
        serving: gossip endpoints of the processes that answer and have not said that they leave,
            by name.
        own_name: of this process, which needs no notice.
    """
    leaving: Collection[str] = [vm.name for vm in vms if vm.state is VmState.LEAVING]
    wanted = [name for name in leaving if name in serving and name != own_name]
    return [SendNotice(serving[name], LeavingNotice(name)) for name in wanted[:MAXIMUM_NOTICES]]
