"""Request handling from the caller to the backend server and back: gate, relay and retries."""

from ._backend_call import Bounds
from ._backend_client import BackendClient
from ._collaborators import (
    GateAdmission,
    NullObserver,
    RequestEnd,
    RequestObserver,
    ServiceLookup,
    TargetPlacement,
)
from ._exceptions import BackendFailed
from ._exchange import CallerGone, Exchange, RequestHead
from ._messages import RELAY_TYPES, RelayMessage
from ._request_service import RequestService
from ._retry_budget import RetryBudget

__all__ = [
    "BackendClient",
    "BackendFailed",
    "Bounds",
    "CallerGone",
    "Exchange",
    "GateAdmission",
    "RELAY_TYPES",
    "RelayMessage",
    "RequestEnd",
    "RequestHead",
    "RequestObserver",
    "RequestService",
    "RetryBudget",
    "ServiceLookup",
    "NullObserver",
    "TargetPlacement",
]
