"""What one backend server takes on: its slots, connections and a short queue before them."""

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
