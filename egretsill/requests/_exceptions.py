"""Failures of backend calls and relay links; the types show whether the request may have run."""

from __future__ import annotations

from ..configuration import Address
from ..outcomes import Refused, UnknownReason


class BackendNotRun(Exception):
    """The backend server did not run the request and will not run it later.

    Attributes:
        detail: short description of the failure.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(f"request was not run: {detail}")
        self.detail = detail


class BackendUnreachable(BackendNotRun):
    """A connection to the backend server could not be opened.

    Attributes:
        address: endpoint that was tried.
    """

    def __init__(self, address: Address, cause: str) -> None:
        super().__init__(f"no connection to {address}: {cause}")
        self.address = address


class BackendShed(BackendNotRun):
    """The backend server reported that it did not run the request.

    Attributes:
        retry_after_seconds: delay before the next try.
        draining: whether it sheds load because it is draining.
    """

    def __init__(self, retry_after_seconds: float, draining: bool) -> None:
        super().__init__("the backend server is shedding load")
        self.retry_after_seconds = retry_after_seconds
        self.draining = draining


class RequestInvalid(BackendNotRun):
    """The request's head can't be encoded as HTTP/1.1; nothing was sent."""


class StartVetoed(BackendNotRun):
    """The gate refused the start just before the first byte was sent.

    Attributes:
        refusal: the refusal to report to the requester.
    """

    def __init__(self, refusal: Refused) -> None:
        super().__init__(f"start refused by the gate: {refusal.reason.value}")
        self.refusal = refusal


class BackendFailed(Exception):
    """The request started, but its result can't be determined on this connection.

    Attributes:
        reason: the reason to report to the caller.
    """

    def __init__(self, reason: UnknownReason) -> None:
        super().__init__(f"backend connection failed after start: {reason.value}")
        self.reason = reason


class RelayClosed(Exception):
    """A relay link could not be opened, broke, timed out or carried malformed data.

    Attributes:
        target_number: target number of the peer.
        detail: short description of the failure.
    """

    def __init__(self, target_number: int, detail: str) -> None:
        super().__init__(f"relay link to target {target_number} closed: {detail}")
        self.target_number = target_number
        self.detail = detail
