"""A library for callers: requests over HTTP/3 with tagged outcomes."""

from ._call import Call
from ._caller import Caller, open_caller
from ._exceptions import FlowNotOpened
from ._reply import Reply

__all__ = ["Call", "Caller", "FlowNotOpened", "Reply", "open_caller"]
