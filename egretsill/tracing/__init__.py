"""Reconstruction of what happened to a flow from the log lines of all processes."""

from ._conclusion import Conclusion, Ending, conclude
from ._history import History, find_history
from ._log_line import LogLine, LogLines, MalformedFlowName, parse_flow_name, read_log_lines

__all__ = [
    "Conclusion",
    "Ending",
    "History",
    "LogLine",
    "LogLines",
    "MalformedFlowName",
    "conclude",
    "find_history",
    "parse_flow_name",
    "read_log_lines",
]
