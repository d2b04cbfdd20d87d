"""Admission control of one backend server: slots, connections and a short queue."""

from ._admission import Admission
from ._exceptions import DuplicateTicket
from ._messages import AdmissionDecision, Admitted, Queued, Rejected, Ticket

__all__ = [
    "Admission",
    "AdmissionDecision",
    "Admitted",
    "DuplicateTicket",
    "Queued",
    "Rejected",
    "Ticket",
]
