"""Settings of all tests."""

from __future__ import annotations

from hypothesis import settings

# The usual limit of 0.2 s of clock time for an example tells only how busy the machine is.
settings.register_profile("egretsill", deadline=None)
settings.load_profile("egretsill")
