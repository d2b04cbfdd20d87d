"""Failures on the way to a backend server, told apart by whether the request may have run."""

from __future__ import annotations

from ..configuration import Address
from ..outcomes import Refused, UnknownReason


class BackendNotRun(Exception):
    """The backend server did not run the request and never will.

    Attributes:
        detail: what happened, in a few words.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(f"request was not run: {detail}")
        self.detail = detail


class BackendUnreachable(BackendNotRun):
    """No connection to the backend server could be opened.

    Attributes:
        address: endpoint that was tried.
    """

    def __init__(self, address: Address, cause: str) -> None:
        super().__init__(f"no connection to {address}: {cause}")
        self.address = address


class BackendShed(BackendNotRun):
    """The backend server answered that it did not run the request.

    Attributes:
        retry_after_seconds: when to come back.
        draining: whether it sheds because it is leaving.
    """

    def __init__(self, retry_after_seconds: float, draining: bool) -> None:
        super().__init__("the backend server sheds load")
        self.retry_after_seconds = retry_after_seconds
        self.draining = draining


class RequestInvalid(BackendNotRun):
    """The request's head can't be written as HTTP/1.1; nothing was sent."""


class StartVetoed(BackendNotRun):
    """The gate withdrew its permission just before the first byte.

    Attributes:
        refusal: what the asker is told.
    """

    def __init__(self, refusal: Refused) -> None:
        super().__init__(f"start vetoed: {refusal.reason.value}")
        self.refusal = refusal


class BackendFailed(Exception):
    """The request started and its end can't be learnt from this connection.

    Attributes:
        reason: what the caller is told.
    """

    def __init__(self, reason: UnknownReason) -> None:
        super().__init__(f"backend connection failed after start: {reason.value}")
        self.reason = reason


class RelayClosed(Exception):
    """A relay link broke, went silent or carried something malformed.

    Attributes:
        target_number: the peer's target.
        detail: what happened, in a few words.
    """

    def __init__(self, target_number: int, detail: str) -> None:
        super().__init__(f"relay link to target {target_number} closed: {detail}")
        self.target_number = target_number
        self.detail = detail
