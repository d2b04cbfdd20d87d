"""What one backend server takes on: its slots, connections and a short queue before them."""

from ._messages import AdmissionDecision, Admitted, Queued, Rejected, Ticket

__all__ = ["Admitted", "AdmissionDecision", "Queued", "Rejected", "Ticket"]
