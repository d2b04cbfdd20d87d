"""Services, targets and limits as the operators declared them, and how a process learns them."""

from ._bundle_codec import (
    Change,
    Head,
    Publication,
    compile_publication,
    decode_publication,
    encode_publication,
)
from ._declaration import load_declaration
from ._exceptions import (
    ConfigurationError,
    DeclarationRejected,
    MalformedValue,
    PlatformFailure,
    PlatformMalformed,
    PlatformRefused,
    PlatformTimedOut,
    PlatformUnreachable,
    TornPublication,
    ValueMissing,
    ValueTooLarge,
)
from ._model import (
    Address,
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
from ._vms import Vm, VmState, decode_vms, encode_vms

__all__ = [
    "Address",
    "Bundle",
    "Change",
    "ConfigurationError",
    "DeclarationRejected",
    "Head",
    "Limits",
    "MalformedValue",
    "PlatformClient",
    "PlatformFailure",
    "PlatformMalformed",
    "PlatformRefused",
    "PlatformTimedOut",
    "PlatformUnreachable",
    "Problem",
    "Publication",
    "RequestClass",
    "RequestShape",
    "Service",
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
]
