"""Tests of the table of status pages."""

from __future__ import annotations

from ...endpoints import Address
from .._status import DaemonStatus, _as_text


# Guards against an evacuation that operators forget because no command shows it.
def test_evacuated_domains_are_named_with_their_order() -> None:
    order = {"domain": "a", "revision": "1:45", "known_for": 12.3, "awaited": False}
    page = {"name": "agent-1", "peers_heard": 3, "evacuated": [order]}
    text = _as_text([DaemonStatus(Address("10.0.0.1", 9464), page)])
    note = "10.0.0.1:9464: evacuated: a by revision 1:45, known for 12.3 s"
    assert text.splitlines()[-1] == note
