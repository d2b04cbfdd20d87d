"""Framing of typed messages between the system's own processes, and small page reads."""

from ._codec import Codec, MalformedMessage, StreamDecoder
from ._http_get import HttpPage, PageUnavailable, get_page

__all__ = [
    "Codec",
    "HttpPage",
    "MalformedMessage",
    "PageUnavailable",
    "StreamDecoder",
    "get_page",
]
