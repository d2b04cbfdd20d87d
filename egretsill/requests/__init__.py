"""Requests from their caller to a backend server's answer: gate, relay and retry."""

from ._exchange import CallerGone, Exchange, RequestHead

__all__ = ["CallerGone", "Exchange", "RequestHead"]
