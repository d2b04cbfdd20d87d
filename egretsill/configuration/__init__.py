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
    TornPublication,
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
from ._problems import Problem

__all__ = [
    "Address",
    "Bundle",
    "Change",
    "ConfigurationError",
    "DeclarationRejected",
    "Head",
    "Limits",
    "MalformedValue",
    "Problem",
    "Publication",
    "RequestClass",
    "RequestShape",
    "Service",
    "Target",
    "TargetState",
    "TornPublication",
    "ValueTooLarge",
    "compile_publication",
    "decode_publication",
    "encode_publication",
    "load_declaration",
]
