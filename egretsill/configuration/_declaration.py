"""Reads the operators' base INI file and site overlay, and converts them to services."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import Field

from ..wire import Address
from ._exceptions import DeclarationRejected
from ._ini import Section, SectionModel, read_layers
from ._model import Limits, RequestClass, RequestShape, Service, Target, TargetState
from ._problems import (
    DuplicateAddress,
    DuplicateClass,
    DuplicateNumber,
    InvalidValue,
    Problem,
    ServiceWithoutClass,
    ServiceWithoutTarget,
    TargetInTwoServices,
    UnknownSection,
    UnknownService,
)
from ._quantities import (
    Bytes,
    Endpoint,
    Endpoints,
    Methods,
    Name,
    OptionalSeconds,
    Seconds,
    parse_list,
)

MAXIMUM_SERVICE_NUMBER = 2**16 - 1
MAXIMUM_TARGET_NUMBER = 2**32 - 1
DEFAULT_LIMITS = Limits()


class ServiceSection(SectionModel):
    """Keys of `[service NAME]`."""

    number: Annotated[int, Field(ge=1, le=MAXIMUM_SERVICE_NUMBER)]
    tenant: Name
    authority: Annotated[str, Field(pattern=r"^[a-z0-9.-]{1,253}$")]
    addresses: Annotated[Endpoints, Field(min_length=1)]
    tries: Annotated[int, Field(ge=1, le=16)] = DEFAULT_LIMITS.tries
    retry_share: Annotated[float, Field(ge=0, le=1)] = DEFAULT_LIMITS.retry_share
    queue_length: Annotated[int, Field(ge=0, le=1000)] = DEFAULT_LIMITS.queue_length
    queue_time: Seconds = DEFAULT_LIMITS.queue_seconds
    answer_tail: Bytes = DEFAULT_LIMITS.answer_tail_bytes

    def to_limits(self) -> Limits:
        """Return the limits of the service."""
        return Limits(
            tries=self.tries,
            retry_share=self.retry_share,
            queue_length=self.queue_length,
            queue_seconds=self.queue_time,
            answer_tail_bytes=self.answer_tail,
        )


class ClassSection(SectionModel):
    """Keys of `[class SERVICE/NAME]`."""

    methods: Methods
    path: Annotated[str, Field(pattern=r"^/[!-~]*$")]
    idempotent: bool
    weight: Annotated[float, Field(gt=0, le=1000, allow_inf_nan=False)] = 1.0
    shape: RequestShape = RequestShape.SHORT
    priority: Annotated[int, Field(ge=0, le=9)] = 1
    deadline: OptionalSeconds = 30.0

    def to_class(self, name: str) -> RequestClass:
        """Return the class as a `RequestClass`."""
        return RequestClass(
            name=name,
            methods=self.methods,
            path_prefix=self.path,
            idempotent=self.idempotent,
            weight=self.weight,
            shape=self.shape,
            priority=self.priority,
            deadline_seconds=self.deadline,
        )


class TargetSection(SectionModel):
    """Keys of `[target NAME]`."""

    number: Annotated[int, Field(ge=1, le=MAXIMUM_TARGET_NUMBER)]
    service: str
    failure_domain: Name
    tunnel: Endpoint
    relay: Endpoint
    gossip: Endpoint
    backend: Endpoint
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=0, le=10_000_000)] = 2000
    state: TargetState = TargetState.ACTIVE

    def to_target(self, name: str) -> Target:
        """Return the target as a `Target`."""
        return Target(
            name=name,
            number=self.number,
            service=self.service,
            failure_domain=self.failure_domain,
            tunnel=self.tunnel,
            relay=self.relay,
            gossip=self.gossip,
            backend=self.backend,
            slots=self.slots,
            connections=self.connections,
            state=self.state,
        )


@dataclass(slots=True)
class _Draft:
    """Parts read so far, each with the section that it came from.

    Attributes:
        named: kind of section and service, for every service that a section refers to.
        references: section, key and service where a section refers to one service.
    """

    problems: list[Problem]
    services: dict[str, tuple[Section, ServiceSection | None]] = field(default_factory=dict)
    classes: dict[str, list[tuple[Section, RequestClass]]] = field(default_factory=dict)
    targets: dict[str, list[tuple[Section, Target]]] = field(default_factory=dict)
    named: set[tuple[str, str]] = field(default_factory=set)
    references: list[tuple[Section, str, str]] = field(default_factory=list)


def load_declaration(base: Path, overlay: Path | None = None) -> Mapping[str, Service]:
    """Return the services of a base file with a site's overlay applied, by name.

    Raises:
        DeclarationRejected: with every error in both files.
    """
    problems: list[Problem] = []
    sections = read_layers([base, overlay] if overlay else [base], problems)
    draft = _Draft(problems)
    for section in sections.values():
        _read_section(section, draft)
    _check_references(draft)
    _check_numbers(draft)
    _check_addresses(draft)
    _check_classes(draft)
    if problems:
        raise DeclarationRejected(problems)
    return dict(_make_services(draft))


def _read_section(section: Section, draft: _Draft) -> None:
    kind, _, name = section.name.partition(" ")
    if kind not in ("service", "class", "target"):
        draft.problems.append(UnknownSection(section.file, section.name, ""))
        return
    names = name.split("/") if kind == "class" else [name]
    if len(names) != (2 if kind == "class" else 1) or not all(
        _is_valid_name(each) for each in names
    ):
        expected = "[service NAME], [class SERVICE/NAME] or [target NAME] in a-z, 0-9 and -"
        draft.problems.append(InvalidValue(section.file, section.name, "", name, expected))
        return
    match kind:
        case "service":
            draft.services[name] = (section, section.build(ServiceSection, draft.problems))
        case "class":
            _read_class(section, names[0], names[1], draft)
        case _:
            _read_target(section, name, draft)


def _is_valid_name(text: str) -> bool:
    plain = text.replace("-", "0")
    return 0 < len(text) <= 63 and plain.isascii() and plain.isalnum() and text == text.lower()


def _read_class(section: Section, service: str, name: str, draft: _Draft) -> None:
    draft.named.add(("class", service))
    draft.references.append((section, "", service))
    model = section.build(ClassSection, draft.problems)
    if model is not None:
        draft.classes.setdefault(service, []).append((section, model.to_class(name)))


def _read_target(section: Section, name: str, draft: _Draft) -> None:
    services = _services_of_target(section)
    for service in services:
        draft.named.add(("target", service))
    model = section.build(TargetSection, draft.problems)
    if len(services) > 1:
        file = section.file_of("service")
        draft.problems.append(TargetInTwoServices(file, section.name, "service", services))
        return
    draft.references.extend((section, "service", service) for service in services)
    if model is not None:
        draft.targets.setdefault(model.service, []).append((section, model.to_target(name)))


def _services_of_target(section: Section) -> Sequence[str]:
    """Return the services that a target refers to, over all layers.

    An overlay can't move a target to another service, because connection IDs contain its number.
    """
    entries = [section.replaced.get("service"), section.entries.get("service")]
    named = [name for entry in entries if entry for name in parse_list(entry.value)]
    return tuple(dict.fromkeys(named))


def _check_references(draft: _Draft) -> None:
    for section, key, service in draft.references:
        if service not in draft.services:
            file = section.file_of(key)
            draft.problems.append(UnknownService(file, section.name, key, service))
    for name, (section, _) in draft.services.items():
        if ("class", name) not in draft.named:
            draft.problems.append(ServiceWithoutClass(section.file, section.name, ""))
        if ("target", name) not in draft.named:
            draft.problems.append(ServiceWithoutTarget(section.file, section.name, ""))


def _check_numbers(draft: _Draft) -> None:
    services = [(section, model.number) for section, model in draft.services.values() if model]
    targets = [(section, target.number) for section, target in _all_targets(draft)]
    for numbered in (services, targets):
        seen: dict[int, Section] = {}
        for section, number in numbered:
            other = seen.setdefault(number, section)
            if other is not section:
                file = section.file_of("number")
                draft.problems.append(
                    DuplicateNumber(file, section.name, "number", number, other.name)
                )


def _all_targets(draft: _Draft) -> Iterator[tuple[Section, Target]]:
    for targets in draft.targets.values():
        yield from targets


def _check_addresses(draft: _Draft) -> None:
    datagram: dict[Address, tuple[Section, str]] = {}
    stream: dict[Address, tuple[Section, str]] = {}
    for section, model in draft.services.values():
        for address in model.addresses if model else ():
            _claim_address(datagram, address, section, "addresses", draft.problems)
    for section, target in _all_targets(draft):
        _claim_address(datagram, target.tunnel, section, "tunnel", draft.problems)
        _claim_address(datagram, target.gossip, section, "gossip", draft.problems)
        _claim_address(stream, target.relay, section, "relay", draft.problems)
        _claim_address(stream, target.backend, section, "backend", draft.problems)


def _claim_address(
    taken: dict[Address, tuple[Section, str]],
    address: Address,
    section: Section,
    key: str,
    problems: list[Problem],
) -> None:
    if address not in taken:
        taken[address] = (section, key)
        return
    other, other_key = taken[address]
    file = section.file_of(key)
    problems.append(DuplicateAddress(file, section.name, key, str(address), other.name, other_key))


def _check_classes(draft: _Draft) -> None:
    for classes in draft.classes.values():
        taken: dict[tuple[str, str], Section] = {}
        for section, each in classes:
            keys = [(method, each.path_prefix) for method in each.methods]
            others = [taken[key] for key in keys if key in taken]
            if others:
                file = section.file_of("path")
                draft.problems.append(DuplicateClass(file, section.name, "path", others[0].name))
            taken.update(dict.fromkeys(keys, section))


def _make_services(draft: _Draft) -> Iterator[tuple[str, Service]]:
    for name, (_, model) in sorted(draft.services.items()):
        if model is None:
            continue
        targets = [target for _, target in draft.targets.get(name, ())]
        yield name, Service(
            name=name,
            number=model.number,
            tenant=model.tenant,
            authority=model.authority,
            addresses=model.addresses,
            classes=tuple(each for _, each in draft.classes.get(name, ())),
            targets=tuple(sorted(targets, key=lambda each: each.number)),
            limits=model.to_limits(),
        )
