"""Services, targets and limits declared by the operators, and their distribution to processes."""

from ..wire import Address
from ._bundle_codec import (
    HEAD_KEY,
    Change,
    Head,
    Publication,
    compile_publication,
    decode_publication,
    encode_publication,
)
from ._core import DistributionTimes
from ._declaration import load_declaration
from ._distributor import (
    ConfigurationService,
    DistributionCounters,
    PlatformReader,
    SendAnnouncement,
)
from ._exceptions import (
    ConfigurationError,
    DeclarationRejected,
    MalformedValue,
    PeerFailure,
    PeerUnreachable,
    PlatformFailure,
    PlatformMalformed,
    PlatformRefused,
    PlatformTimedOut,
    PlatformUnreachable,
    TornPublication,
    ValueMissing,
    ValueTooLarge,
)
from ._exchange import Peer
from ._ledger import RevisionConflict
from ._messages import (
    CONFIGURATION_TYPES,
    Announcement,
    ConfigurationMessage,
    ConfigurationRequest,
    ConfigurationResponse,
    HeadRequest,
    HeadResponse,
    IndexRequest,
    IndexResponse,
    NoConfiguration,
    ServicesRequest,
    ServicesResponse,
)
from ._model import (
    Bundle,
    Limits,
    RequestClass,
    RequestShape,
    Service,
    Target,
    TargetState,
)
from ._platform_client import PlatformClient, Unchanged, Value
from ._problems import Problem
from ._review import Finding, review
from ._value_files import read_value_files
from ._vms import Vm, VmState, decode_vms, encode_vms

__all__ = [
    "Address",
    "Announcement",
    "Bundle",
    "CONFIGURATION_TYPES",
    "Change",
    "ConfigurationResponse",
    "ConfigurationError",
    "ConfigurationMessage",
    "ConfigurationRequest",
    "ConfigurationService",
    "DeclarationRejected",
    "DistributionCounters",
    "DistributionTimes",
    "Finding",
    "HEAD_KEY",
    "Head",
    "HeadResponse",
    "HeadRequest",
    "IndexResponse",
    "IndexRequest",
    "Limits",
    "MalformedValue",
    "NoConfiguration",
    "Peer",
    "PeerFailure",
    "PeerUnreachable",
    "PlatformClient",
    "PlatformFailure",
    "PlatformMalformed",
    "PlatformReader",
    "PlatformRefused",
    "PlatformTimedOut",
    "PlatformUnreachable",
    "Problem",
    "Publication",
    "RequestClass",
    "RequestShape",
    "RevisionConflict",
    "SendAnnouncement",
    "Service",
    "ServicesResponse",
    "ServicesRequest",
    "Target",
    "TargetState",
    "TornPublication",
    "Unchanged",
    "Value",
    "ValueMissing",
    "ValueTooLarge",
    "Vm",
    "VmState",
    "compile_publication",
    "decode_publication",
    "decode_vms",
    "encode_publication",
    "encode_vms",
    "load_declaration",
    "read_value_files",
    "review",
]
