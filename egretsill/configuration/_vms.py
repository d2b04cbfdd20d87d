"""The platform's list of VMs: values and their JSON form at the border."""

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
    """What the platform says about a VM; it lags behind the truth."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
        role: "balancer" or "agent"; other roles are kept and mean nothing to the system.
        addresses: endpoints by use, such as "relay" and "gossip".
    """

    name: str
    role: str
    failure_domain: str
    state: VmState = VmState.LIVE
    addresses: Mapping[str, Address] = field(default_factory=dict)


class PublishedVm(BaseModel):
    """One VM in the platform's JSON; fields that the system doesn't know are passed over."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: Name
    role: Annotated[str, Field(max_length=63)]
    failure_domain: Name
    state: VmState
    addresses: dict[str, Endpoint] = {}


class PublishedVms(BaseModel):
    """The platform's JSON."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    vms: Annotated[list[PublishedVm], Field(max_length=MAXIMUM_VMS)]


def decode_vms(content: bytes) -> Sequence[Vm]:
    """Return the VMs that the platform's JSON lists.

    Raises:
        MalformedValue: if it doesn't have the published form or names a VM twice.
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
        raise MalformedValue(VMS_KEY, "a VM stands twice")
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
