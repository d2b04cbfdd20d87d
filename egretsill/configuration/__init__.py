"""Services, targets and limits as the operators declared them, and how a process learns them."""

from ._model import (
    Address,
    Bundle,
    Limits,
    RequestClass,
    RequestShape,
    Service,
    Target,
    TargetState,
)

__all__ = [
    "Address",
    "Bundle",
    "Limits",
    "RequestClass",
    "RequestShape",
    "Service",
    "Target",
    "TargetState",
]
