"""Framing of typed messages between the system's own processes, with msgpack."""

from ._codec import Codec, MalformedMessage, StreamDecoder

__all__ = ["Codec", "MalformedMessage", "StreamDecoder"]
