"""Comparison of sequence numbers, which tell flows with the same addresses and ports apart.

Each end begins a flow with a number of its own (RFC 9293, section 3.4.1).
"""

from __future__ import annotations

SEQUENCE_NUMBERS = 2**32  # they wrap
MAXIMUM_SEQUENCE_DISTANCE = 76_800  # bytes; four times the 16 packets that an end has in flight


def are_of_one_flow(number: int, other: int) -> bool:
    """Return whether two numbers that one end has sent or acknowledged may be of one flow.

    Args:
        number: of a packet.
        other: of the packets last seen.
    """
    ahead = (number - other) % SEQUENCE_NUMBERS
    return min(ahead, SEQUENCE_NUMBERS - ahead) <= MAXIMUM_SEQUENCE_DISTANCE


def is_continuation(number: int, earlier: int, span: int) -> bool:
    """Return whether a number may be of the flow that had reached another one some time ago.

    Args:
        number: of a packet.
        earlier: the number that was reached.
        span: most bytes that the end may have sent since.
    """
    ahead = (number - earlier) % SEQUENCE_NUMBERS
    return ahead <= span or SEQUENCE_NUMBERS - ahead <= MAXIMUM_SEQUENCE_DISTANCE
