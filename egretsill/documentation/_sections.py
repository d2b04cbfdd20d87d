"""Settings sections with the data classes that document their keys."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..configuration import Limits, RequestClass, Service, Target
from ..configuration._declaration import ClassSection, ServiceSection, TargetSection
from ..configuration.ini import SectionModel
from ..settings import (
    BackendSettings,
    DaemonSettings,
    ExchangeSettings,
    FlowSettings,
    LogSettings,
    MembershipSettings,
    PlatformSettings,
    ShutdownSettings,
)
from ..settings._loader import OPTIONAL, REQUIRED
from ._attribute_docs import attribute_docs

# The fields of each data class are in the order of the keys of its section.
_DOCUMENTED_BY: Mapping[str, type] = {
    "platform": PlatformSettings,
    "log": LogSettings,
    "flows": FlowSettings,
    "backend": BackendSettings,
    "membership": MembershipSettings,
    "configuration": ExchangeSettings,
    "shutdown": ShutdownSettings,
}
_DECLARATION_MODELS: Mapping[str, tuple[type[SectionModel], tuple[type, ...]]] = {
    "service NAME": (ServiceSection, (Service, Limits)),
    "class SERVICE/NAME": (ClassSection, (RequestClass,)),
    "target NAME": (TargetSection, (Target,)),
}
_ATTRIBUTE_OF_KEY: Mapping[str, str] = {
    "queue_time": "queue_seconds",
    "answer_tail": "answer_tail_bytes",
    "path": "path_prefix",
    "deadline": "deadline_seconds",
}
_OTHER_MEANINGS: Mapping[str, str] = {
    "role": "balancer or agent.",
    "tenant": "label of the service's metrics.",
    "service": "name of the service that the target belongs to, and no other.",
    "state": "active or draining.",
    "failure_domain": "where the VM is; as in the platform's list.",
    "certificate": "PEM file of the certificate chain; for an agent.",
    "key": "PEM file of the private key; for an agent.",
    "keys": "ROTATION:HEX, any number; the first is used for new connection IDs.",
}


class KeyCountMismatch(Exception):
    """A section and the data class that documents it have different numbers of keys.

    Attributes:
        section: name of the section.
    """

    def __init__(self, section: str) -> None:
        super().__init__(f"[{section}] and its data class have different numbers of keys")
        self.section = section


@dataclass(frozen=True, slots=True)
class SectionReference:
    """One section of a settings file.

    Attributes:
        model: model that validates the section.
        meanings: meaning by key; a key without a meaning is absent.
    """

    name: str
    model: type[SectionModel]
    meanings: Mapping[str, str]


def _make_section(name: str, model: type[SectionModel]) -> SectionReference:
    documented_by = _DOCUMENTED_BY.get(name)
    if documented_by is None:
        return SectionReference(name, model, {**_OTHER_MEANINGS, **attribute_docs(DaemonSettings)})
    attributes = [each.name for each in dataclasses.fields(documented_by)]
    if len(attributes) != len(model.model_fields):
        raise KeyCountMismatch(name)
    texts = attribute_docs(documented_by)
    keys = zip(model.model_fields, attributes, strict=True)
    meanings = {key: texts[attribute] for key, attribute in keys if attribute in texts}
    return SectionReference(name, model, {**_OTHER_MEANINGS, **meanings})


def _make_declaration_section(
    name: str, model: type[SectionModel], documented_by: Sequence[type]
) -> SectionReference:
    texts = dict(_OTHER_MEANINGS)
    for each in documented_by:
        texts.update(attribute_docs(each))
    keys = model.model_fields
    meanings = {key: texts[_ATTRIBUTE_OF_KEY.get(key, key)] for key in keys}
    return SectionReference(name, model, meanings)


DECLARATION_SECTIONS: Sequence[SectionReference] = tuple(
    _make_declaration_section(name, model, documented_by)
    for name, (model, documented_by) in _DECLARATION_MODELS.items()
)
SECTIONS: Sequence[SectionReference] = tuple(
    _make_section(name, model) for name, model in {**REQUIRED, **OPTIONAL}.items()
)
