"""Routes and targets by which a process steers, read from the store or received from peers."""

from ._change_log import ContentChanges
from ._directory import RETENTION_SECONDS, Directory
from ._evacuations import Evacuation, EvacuationView
from ._messages import (
    DIRECTORY_TYPES,
    ContentRequest,
    ContentResponse,
    ContentUpdate,
    DirectoryMessage,
    pack_changes,
    pack_table,
    pack_targets,
    unpack_changes,
    unpack_request,
    unpack_table,
    unpack_targets,
)
from ._model import (
    Changes,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
    WarmUpTerms,
)
from ._packing import (
    MalformedContent,
    pack_evacuations,
    pack_revision,
    unpack_age,
    unpack_evacuations,
    unpack_revision,
)
from ._reading import READERS, Pause, ReadAll, ReadPlan, ReadStep, WatchChanges, reader_order
from ._revision import NO_REVISION, StoreRevision
from ._store import HistoryLost, Store, StoreFailure, StoreUnavailable
from ._store_return import StoreReturn
from ._target_changes import TargetChange, TargetChangeKind
from ._target_index import TargetPlace
from ._target_view import TargetView
from ._unusable_entries import UnusableEntry, describe_entries
from ._validity import (
    MAXIMUM_NAME_BYTES,
    NUMBER_LIMIT,
    is_duration,
    is_endpoint,
    is_name,
    is_number,
    is_rate,
)

__all__ = [
    "Changes",
    "ContentUpdate",
    "ContentChanges",
    "ContentResponse",
    "ContentRequest",
    "DIRECTORY_TYPES",
    "Directory",
    "DirectoryMessage",
    "Evacuation",
    "EvacuationView",
    "HistoryLost",
    "MAXIMUM_NAME_BYTES",
    "MalformedContent",
    "NO_REVISION",
    "NUMBER_LIMIT",
    "Pause",
    "READERS",
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
    "StoreReturn",
    "StoreRevision",
    "StoreUnavailable",
    "Target",
    "TargetChange",
    "TargetChangeKind",
    "TargetPhase",
    "TargetPlace",
    "TargetView",
    "UnusableEntry",
    "WarmUpTerms",
    "WatchChanges",
    "describe_entries",
    "is_duration",
    "is_endpoint",
    "is_name",
    "is_number",
    "is_rate",
    "pack_changes",
    "pack_evacuations",
    "pack_revision",
    "pack_table",
    "pack_targets",
    "reader_order",
    "unpack_age",
    "unpack_changes",
    "unpack_evacuations",
    "unpack_request",
    "unpack_revision",
    "unpack_table",
    "unpack_targets",
]
