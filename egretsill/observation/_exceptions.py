"""Failures of observation."""

from __future__ import annotations


class LabelMismatch(Exception):
    """A metric was given another number of label values than it has labels.

    Attributes:
        metric: name of the metric.
        expected: number of its labels.
        given: number of values.
    """

    def __init__(self, metric: str, expected: int, given: int) -> None:
        super().__init__(f"{metric} has {expected} labels, not {given}")
        self.metric = metric
        self.expected = expected
        self.given = given


class LogFileUnavailable(Exception):
    """The file for log lines can't be opened.

    Attributes:
        path: the file.
        reason: what the operating system said.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"log file {path} can't be opened: {reason}")
        self.path = path
        self.reason = reason
