"""The platform's list of VMs, and its JSON format."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..wire import Address
from ._exceptions import MalformedValue
from ._published import canonical_json
from ._quantities import Endpoint, Name

VMS_KEY = "vms"
MAXIMUM_VMS = 100_000


class VmState(enum.Enum):
    """State of a VM in the platform's list, which lags behind the VM's actual state."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
        role: "balancer" or "agent"; other roles are kept and have no effect.
        addresses: endpoints by use, such as "relay" and "gossip".
    """

    name: str
    role: str
    failure_domain: str
    state: VmState = VmState.LIVE
    addresses: Mapping[str, Address] = field(default_factory=dict)


class PublishedVm(BaseModel):
    """One VM in the platform's JSON; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: Name
    role: Annotated[str, Field(max_length=63)]
    failure_domain: Name
    state: VmState
    addresses: dict[str, Endpoint] = {}


class PublishedVms(BaseModel):
    """The platform's VM list in JSON."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    vms: Annotated[list[PublishedVm], Field(max_length=MAXIMUM_VMS)]


def decode_vms(content: bytes) -> Sequence[Vm]:
    """Return the VMs listed in the platform's JSON.

    Raises:
        MalformedValue: if it doesn't have the published format or lists a VM twice.
    """
    try:
        published = PublishedVms.model_validate_json(content)
    except (ValidationError, ValueError, RecursionError) as error:
        raise MalformedValue(VMS_KEY, type(error).__name__) from error
    vms = tuple(
        Vm(each.name, each.role, each.failure_domain, each.state, each.addresses)
        for each in published.vms
    )
    if len({vm.name for vm in vms}) != len(vms):
        raise MalformedValue(VMS_KEY, "a VM appears twice")
    return vms


def encode_vms(vms: Sequence[Vm]) -> bytes:
    """Return the platform's JSON of a list of VMs."""
    return canonical_json(
        {
            "vms": [
                {
                    "name": vm.name,
                    "role": vm.role,
                    "failure_domain": vm.failure_domain,
                    "state": vm.state.value,
                    "addresses": {use: str(address) for use, address in vm.addresses.items()},
                }
                for vm in vms
            ]
        }
    )
