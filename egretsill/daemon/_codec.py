"""Connection-ID keys from settings to steering."""

from __future__ import annotations

from collections.abc import Sequence

from ..settings import ConnectionIdKey as KeySetting
from ..steering import ConnectionIdCodec, ConnectionIdKey


def make_codec(keys: Sequence[KeySetting]) -> ConnectionIdCodec:
    """Return the codec for the keys of the settings, the active one first."""
    return ConnectionIdCodec([ConnectionIdKey(each.rotation, each.key) for each in keys])
