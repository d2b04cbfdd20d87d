"""Parts of messages that carry directory content, as plain tuples."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ._evacuations import Evacuation
from ._revision import StoreRevision
from ._validity import is_name, is_number

MILLISECONDS = 1000


class MalformedContent(Exception):
    """A peer's content could not be decoded.

    Attributes:
        part: the part that could not be decoded.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"malformed {part}")
        self.part = part


def pack_revision(revision: StoreRevision) -> tuple[int, int]:
    """Pack a revision of the store into a plain tuple."""
    return revision.era, revision.number


def unpack_revision(packed: tuple[Any, ...]) -> StoreRevision:
    """Unpack a revision of the store from a plain tuple.

    Raises:
        MalformedContent: if it is not a valid revision.
    """
    if type(packed) is not tuple or len(packed) != 2 or not all(map(is_number, packed)):
        raise MalformedContent("revision")
    return StoreRevision(*packed)


def unpack_age(age_milliseconds: int) -> float:
    """Unpack the time since content was confirmed, in seconds.

    Raises:
        MalformedContent: if it is not a valid time.
    """
    if not is_number(age_milliseconds):
        raise MalformedContent("age")
    return age_milliseconds / MILLISECONDS


def pack_evacuations(evacuations: Iterable[Evacuation]) -> tuple[Any, ...]:
    """Pack evacuations into plain tuples."""
    return tuple((each.failure_domain, pack_revision(each.revision)) for each in evacuations)


def unpack_evacuations(packed: tuple[Any, ...]) -> tuple[Evacuation, ...]:
    """Unpack evacuations from plain tuples.

    Raises:
        MalformedContent: if one of them is not valid. None is passed over, since content without it
            would take the order back.
    """
    return tuple(_unpack_evacuation(each) for each in packed)


def _unpack_evacuation(packed: Any) -> Evacuation:
    match packed:
        case (failure_domain, revision) if is_name(failure_domain):
            return Evacuation(failure_domain, unpack_revision(revision))
    raise MalformedContent("evacuation")
