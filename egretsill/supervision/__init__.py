"""Limits an unexpected exception to the piece of work in which it happens."""

from ._connections import Connections
from ._failure import FailureDescription, describe_failure, leaves
from ._parts import Part
from ._propagating import PropagatingSupervisor
from ._supervisor import StartingTask, Supervisor, SupervisorFactory, TaskEnded
from ._work_record import WorkRecord

__all__ = [
    "Connections",
    "FailureDescription",
    "Part",
    "PropagatingSupervisor",
    "StartingTask",
    "Supervisor",
    "SupervisorFactory",
    "TaskEnded",
    "WorkRecord",
    "describe_failure",
    "leaves",
]
