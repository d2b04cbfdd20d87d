"""Effects that the membership protocol returns for its caller to carry out."""

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
    """Record that a member's state changed in this process's view."""

    member: Member
    before: MemberState
    after: MemberState


Effect: TypeAlias = Send | MemberChanged
