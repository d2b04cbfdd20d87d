"""Placement of requests on targets, and the load reports it uses."""

from ._load_reporter import LoadReporter, SendReport
from ._messages import LOAD_TYPES, LoadReport
from ._placement import Placement

__all__ = ["LOAD_TYPES", "LoadReport", "LoadReporter", "Placement", "SendReport"]
