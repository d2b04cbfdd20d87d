"""Routes and targets that a process steers by, read from the store or learned from peers."""

from ._directory import RETENTION_SECONDS, Directory, TargetView
from ._messages import (
    DIRECTORY_TYPES,
    ContentFound,
    ContentWanted,
    DirectoryMessage,
    MalformedContent,
    pack_table,
    pack_targets,
    unpack_table,
    unpack_targets,
)
from ._model import Changes, Route, RouteTable, ServiceShare, Snapshot, Target, TargetPhase
from ._reading import Pause, ReadAll, ReadPlan, ReadStep, WatchChanges
from ._store import HistoryLost, Store, StoreFailure, StoreUnavailable

__all__ = [
    "Changes",
    "ContentFound",
    "ContentWanted",
    "DIRECTORY_TYPES",
    "Directory",
    "DirectoryMessage",
    "HistoryLost",
    "MalformedContent",
    "Pause",
    "RETENTION_SECONDS",
    "ReadAll",
    "ReadPlan",
    "ReadStep",
    "Route",
    "RouteTable",
    "ServiceShare",
    "Snapshot",
    "Store",
    "StoreFailure",
    "StoreUnavailable",
    "Target",
    "TargetPhase",
    "TargetView",
    "WatchChanges",
    "pack_table",
    "pack_targets",
    "unpack_table",
    "unpack_targets",
]
