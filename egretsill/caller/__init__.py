"""A client library for callers: HTTP/3 requests whose end is reported as a typed outcome."""

from ._call import Call
from ._caller import Caller, open_caller
from ._exceptions import FlowNotOpened
from ._reply import Reply

__all__ = ["Call", "Caller", "FlowNotOpened", "Reply", "open_caller"]
