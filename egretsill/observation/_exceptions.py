"""Exceptions raised by metrics and logging."""

from __future__ import annotations


class LabelMismatch(Exception):
    """The number of label values differs from the number of labels of the metric.

    Attributes:
        metric: name of the metric.
        expected: number of its labels.
        given: number of label values.
    """

    def __init__(self, metric: str, expected: int, given: int) -> None:
        super().__init__(f"{metric} has {expected} labels, not {given}")
        self.metric = metric
        self.expected = expected
        self.given = given


class LogFileUnavailable(Exception):
    """The log file can't be opened.

    Attributes:
        path: the file.
        reason: error text of the operating system.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"log file {path} can't be opened: {reason}")
        self.path = path
        self.reason = reason
