"""Published values as JSON: models that validate them, and conversion in both directions."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..wire import Address
from ._exceptions import MalformedValue
from ._model import Limits, RequestClass, RequestShape, Service, Target, TargetState

FORMAT = 1
DIGEST_BYTES = 16
MAXIMUM_REVISION = 2**63 - 1

DigestText = Annotated[str, Field(pattern=r"^[0-9a-f]{32}$")]
RevisionNumber = Annotated[int, Field(ge=1, le=MAXIMUM_REVISION)]
ModelT = TypeVar("ModelT", bound=BaseModel)


def digest_of(content: bytes) -> str:
    """Return the hexadecimal digest of published bytes."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def digest_of_index(index: Mapping[str, str]) -> str:
    """Return the digest of a complete bundle from the digests of its services' values."""
    lines = "".join(f"{name} {index[name]}\n" for name in sorted(index))
    return digest_of(lines.encode())


class PublishedModel(BaseModel):
    """Base of the published formats: exactly these fields, no conversion between types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class PublishedChange(PublishedModel):
    """Changes made by one revision.

    Attributes:
        digest: of the complete bundle after the change.
        services: digest of each changed service's value; None for a service that was removed.
    """

    revision: RevisionNumber
    digest: DigestText
    services: dict[str, DigestText | None]


class PublishedHead(PublishedModel):
    """The value `head`.

    Attributes:
        index_parts: number of `index/N` values.
        pages: number of `page/N` values.
        changes: the latest ones, oldest first, ending with this revision; as many as fit.
        checksum: digest of the canonical JSON of the other fields.
    """

    format: Annotated[int, Field(ge=FORMAT, le=FORMAT)]
    revision: RevisionNumber
    digest: DigestText
    index_parts: Annotated[int, Field(ge=0, le=10_000)]
    pages: Annotated[int, Field(ge=0, le=10_000)]
    changes: list[PublishedChange]
    checksum: DigestText


class PublishedIndexPart(PublishedModel):
    """A value `index/N`: digest of each service's value, by name."""

    services: dict[str, DigestText]


class PublishedPage(PublishedModel):
    """A value `page/N`: many services' values, by name."""

    services: dict[str, Any]


class PublishedClass(PublishedModel):
    """A request class in a service's value."""

    name: str
    methods: list[str]
    path_prefix: str
    idempotent: bool
    weight: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    shape: str
    priority: int
    deadline_seconds: float | None

    def to_class(self) -> RequestClass:
        """Return the class as a `RequestClass`."""
        return RequestClass(
            name=self.name,
            methods=tuple(self.methods),
            path_prefix=self.path_prefix,
            idempotent=self.idempotent,
            weight=self.weight,
            shape=RequestShape(self.shape),
            priority=self.priority,
            deadline_seconds=self.deadline_seconds,
        )


class PublishedTarget(PublishedModel):
    """A target in a service's value; endpoints are pairs of IP number and port."""

    name: str
    number: Annotated[int, Field(ge=1, le=2**32 - 1)]
    failure_domain: str
    tunnel: Annotated[list[str | int], Field(min_length=2, max_length=2)]
    relay: Annotated[list[str | int], Field(min_length=2, max_length=2)]
    gossip: Annotated[list[str | int], Field(min_length=2, max_length=2)]
    backend: Annotated[list[str | int], Field(min_length=2, max_length=2)]
    slots: Annotated[int, Field(ge=1)]
    connections: Annotated[int, Field(ge=0)]
    state: str

    def to_target(self, service: str) -> Target:
        """Return the target as a `Target`."""
        return Target(
            name=self.name,
            number=self.number,
            service=service,
            failure_domain=self.failure_domain,
            tunnel=_to_address(self.tunnel),
            relay=_to_address(self.relay),
            gossip=_to_address(self.gossip),
            backend=_to_address(self.backend),
            slots=self.slots,
            connections=self.connections,
            state=TargetState(self.state),
        )


class PublishedLimits(PublishedModel):
    """The limits in a service's value."""

    tries: Annotated[int, Field(ge=1)]
    retry_share: Annotated[float, Field(ge=0, le=1)]
    queue_length: Annotated[int, Field(ge=0)]
    queue_seconds: Annotated[float, Field(ge=0)]
    answer_tail_bytes: Annotated[int, Field(ge=0)]


class PublishedService(PublishedModel):
    """A value `service/NAME`."""

    name: str
    number: Annotated[int, Field(ge=1, le=2**16 - 1)]
    tenant: str
    authority: str
    addresses: list[Annotated[list[str | int], Field(min_length=2, max_length=2)]]
    classes: list[PublishedClass]
    targets: list[PublishedTarget]
    limits: PublishedLimits

    def to_service(self) -> Service:
        """Return the service as a `Service`."""
        return Service(
            name=self.name,
            number=self.number,
            tenant=self.tenant,
            authority=self.authority,
            addresses=tuple(_to_address(each) for each in self.addresses),
            classes=tuple(each.to_class() for each in self.classes),
            targets=tuple(each.to_target(self.name) for each in self.targets),
            limits=Limits(**self.limits.model_dump()),
        )


def encode_service(service: Service) -> bytes:
    """Return a service encoded as its value `service/NAME`."""
    return canonical_json(
        {
            "name": service.name,
            "number": service.number,
            "tenant": service.tenant,
            "authority": service.authority,
            "addresses": [list(each) for each in service.addresses],
            "classes": [_class_fields(each) for each in service.classes],
            "targets": [_target_fields(each) for each in service.targets],
            "limits": {
                "tries": service.limits.tries,
                "retry_share": service.limits.retry_share,
                "queue_length": service.limits.queue_length,
                "queue_seconds": service.limits.queue_seconds,
                "answer_tail_bytes": service.limits.answer_tail_bytes,
            },
        }
    )


def decode_service(key: str, content: bytes) -> Service:
    """Decode the value of a service.

    Raises:
        MalformedValue: if it doesn't have the published format.
    """
    model = decode_model(PublishedService, key, content)
    try:
        return model.to_service()
    except (ValueError, TypeError) as error:
        raise MalformedValue(key, type(error).__name__) from error


def decode_model(model: type[ModelT], key: str, content: bytes) -> ModelT:
    """Decode a value as a model.

    Raises:
        MalformedValue: if it doesn't have the published format.
    """
    try:
        return model.model_validate_json(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(each) for each in first["loc"])
        raise MalformedValue(key, f"{place}: {first['type']}") from error
    except (ValueError, RecursionError) as error:
        raise MalformedValue(key, type(error).__name__) from error


def canonical_json(value: Any) -> bytes:
    """Return JSON that is identical for equal values: sorted keys, no spaces, ASCII."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def _to_address(pair: list[str | int]) -> Address:
    host, port = pair
    if not isinstance(host, str) or not isinstance(port, int) or not 1 <= port <= 65_535:
        raise ValueError(pair)
    return Address(host, port)


def _class_fields(each: RequestClass) -> Mapping[str, Any]:
    return {
        "name": each.name,
        "methods": list(each.methods),
        "path_prefix": each.path_prefix,
        "idempotent": each.idempotent,
        "weight": each.weight,
        "shape": each.shape.value,
        "priority": each.priority,
        "deadline_seconds": each.deadline_seconds,
    }


def _target_fields(each: Target) -> Mapping[str, Any]:
    return {
        "name": each.name,
        "number": each.number,
        "failure_domain": each.failure_domain,
        "tunnel": list(each.tunnel),
        "relay": list(each.relay),
        "gossip": list(each.gossip),
        "backend": list(each.backend),
        "slots": each.slots,
        "connections": each.connections,
        "state": each.state.value,
    }
