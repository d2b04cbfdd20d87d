"""Which settings section is explained by which data class."""

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

# Data classes whose fields stand in the order of their section's keys.
_EXPLAINED_BY: Mapping[str, type] = {
    "platform": PlatformSettings,
    "log": LogSettings,
    "flows": FlowSettings,
    "backend": BackendSettings,
    "membership": MembershipSettings,
    "configuration": ExchangeSettings,
    "shutdown": ShutdownSettings,
}
_DECLARATION: Mapping[str, tuple[type[SectionModel], tuple[type, ...]]] = {
    "service NAME": (ServiceSection, (Service, Limits)),
    "class SERVICE/NAME": (ClassSection, (RequestClass,)),
    "target NAME": (TargetSection, (Target,)),
}
_DECLARED_AS: Mapping[str, str] = {
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


class KeysDiffer(Exception):
    """A section has other keys than the data class that explains it.

    Attributes:
        section: its name.
    """

    def __init__(self, section: str) -> None:
        super().__init__(f"[{section}] and its data class differ in their number of keys")
        self.section = section


@dataclass(frozen=True, slots=True)
class SectionReference:
    """One section of a settings file.

    Attributes:
        model: checks the section.
        meanings: what each key is for; a key that is missing has none.
    """

    name: str
    model: type[SectionModel]
    meanings: Mapping[str, str]


def _make_section(name: str, model: type[SectionModel]) -> SectionReference:
    explained_by = _EXPLAINED_BY.get(name)
    if explained_by is None:
        return SectionReference(name, model, {**_OTHER_MEANINGS, **attribute_docs(DaemonSettings)})
    attributes = [each.name for each in dataclasses.fields(explained_by)]
    if len(attributes) != len(model.model_fields):
        raise KeysDiffer(name)
    texts = attribute_docs(explained_by)
    keys = zip(model.model_fields, attributes, strict=True)
    meanings = {key: texts[attribute] for key, attribute in keys if attribute in texts}
    return SectionReference(name, model, {**_OTHER_MEANINGS, **meanings})


def _make_declared(
    name: str, model: type[SectionModel], explained_by: Sequence[type]
) -> SectionReference:
    texts = dict(_OTHER_MEANINGS)
    for each in explained_by:
        texts.update(attribute_docs(each))
    keys = model.model_fields
    meanings = {key: texts[_DECLARED_AS.get(key, key)] for key in keys}
    return SectionReference(name, model, meanings)


DECLARATION_SECTIONS: Sequence[SectionReference] = tuple(
    _make_declared(name, model, explained_by)
    for name, (model, explained_by) in _DECLARATION.items()
)
SECTIONS: Sequence[SectionReference] = tuple(
    _make_section(name, model) for name, model in {**REQUIRED, **OPTIONAL}.items()
)
