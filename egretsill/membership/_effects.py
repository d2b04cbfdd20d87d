"""What the membership protocol asks its surroundings to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import Address
from ._member import Member, MemberState
from ._messages import MembershipMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Note that a member's state changed in this process's view."""

    member: Member
    before: MemberState
    after: MemberState


Effect: TypeAlias = Send | MemberChanged
