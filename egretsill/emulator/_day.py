"""Model of day files: the initial fleet, the traffic and the events. The files are TOML."""

from __future__ import annotations

import enum
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Literal

import pydantic

from ._router import Hashing

Share = Annotated[float, pydantic.Field(gt=0, le=1)]
Seconds = Annotated[float, pydantic.Field(ge=0, le=600)]
Count = Annotated[int, pydantic.Field(ge=1, le=50)]


class DayRejected(Exception):
    """A day file is unreadable or invalid.

    Attributes:
        path: path of the file.
        problem: what is wrong, and where in the file.
    """

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class ProcessGroup(enum.Enum):
    """Group of processes that an event affects."""

    BALANCERS = "balancers"
    AGENTS = "agents"
    ALL = "all"


class Service(enum.Enum):
    """Services of a day; the values are their names in routes and entries."""

    LISTINGS = "catalog"
    INTAKE = "intake"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Event(_Model):
    at: Seconds


class Kill(_Event):
    """Kills processes and starts them again after some seconds."""

    kind: Literal["kill"]
    who: ProcessGroup = ProcessGroup.BALANCERS
    share: Share = 0.3
    seconds: Seconds = 0.5


class PowerLoss(_Event):
    """Cuts the power of VMs, including the targets on them."""

    kind: Literal["power-loss"]
    who: ProcessGroup = ProcessGroup.ALL
    share: Share = 1.0
    seconds: Seconds = 1.0


class Cut(_Event):
    """Isolates VMs from the whole network."""

    kind: Literal["cut"]
    who: ProcessGroup = ProcessGroup.ALL
    share: Share = 0.2
    seconds: Seconds = 3.0


class Loss(_Event):
    """Drops a share of the datagrams on the links of VMs."""

    kind: Literal["loss"]
    who: ProcessGroup = ProcessGroup.ALL
    share: Share = 0.5
    lost: Share = 0.03
    seconds: Seconds = 4.0


class Restart(_Event):
    """Restarts processes gracefully, one after the other."""

    kind: Literal["restart"]
    who: ProcessGroup = ProcessGroup.BALANCERS
    share: Share = 1.0
    gap: Seconds = 2.0


class ClockStep(_Event):
    """Steps the wall clock of some VMs, and back at the end."""

    kind: Literal["clock-step"]
    share: Share = 0.3
    by: Annotated[float, pydantic.Field(ge=-86_400, le=86_400)] = 100.0
    seconds: Seconds = 4.0


class AddBalancers(_Event):
    """Adds balancers."""

    kind: Literal["add-balancers"]
    count: Count = 1


class AddTargets(_Event):
    """Adds targets on new VMs, one after the other."""

    kind: Literal["add-targets"]
    service: Service = Service.LISTINGS
    count: Count = 1
    gap: Seconds = 0.5


class Lag(_Event):
    """Blocks gossip to processes and their store calls; they still send gossip and serve flows."""

    kind: Literal["lag"]
    who: ProcessGroup = ProcessGroup.AGENTS
    share: Share = 0.5
    seconds: Seconds = 5.0


class StoreDown(_Event):
    """Makes the store stop responding."""

    kind: Literal["store-down"]
    seconds: Seconds = 4.0


class StoreSlow(_Event):
    """Delays the store's responses."""

    kind: Literal["store-slow"]
    delay: Seconds = 0.3
    seconds: Seconds = 4.0


class StoreRefuses(_Event):
    """Makes the store reject the calls of some VMs."""

    kind: Literal["store-refuses"]
    share: Share = 0.4
    seconds: Seconds = 5.0


class StoreForgets(_Event):
    """Discards the store's history of changes."""

    kind: Literal["store-forgets"]


class StoreReturns(_Event):
    """Copies the store; later stops it for some seconds and brings it back from the copy.

    Operators and targets write again what the store has lost.
    """

    kind: Literal["store-returns"]
    lost: Seconds = 4.0
    seconds: Seconds = 1.0


class Configure(_Event):
    """Publishes configurations that add and remove unused routes."""

    kind: Literal["configure"]
    count: Count = 1
    gap: Seconds = 0.5


class MoveRoute(_Event):
    """Moves the route of uploads to another service."""

    kind: Literal["move-route"]


class Drain(_Event):
    """Drains targets and removes them with their VMs."""

    kind: Literal["drain"]
    count: Count = 1
    gap: Seconds = 2.0


class Evacuate(_Event):
    """Evacuates a failure domain, and takes it back after some seconds."""

    kind: Literal["evacuate"]
    domain: Literal["a", "b", "c"] = "a"
    seconds: Seconds = 8.0


class ExpireEntries(_Event):
    """Removes entries of serving targets from the store and restores them later."""

    kind: Literal["expire-entries"]
    count: Count = 1
    gap: Seconds = 0.5
    seconds: Seconds = 4.0


class CrashTarget(_Event):
    """Crashes targets and restarts them under the same names."""

    kind: Literal["crash-target"]
    count: Count = 1
    seconds: Seconds = 0.5


class ReuseAddress(_Event):
    """Stops a target without draining; a target of another service reuses its address."""

    kind: Literal["reuse-address"]
    seconds: Seconds = 2.0


class SlowTarget(_Event):
    """Slows down targets for some time."""

    kind: Literal["slow-target"]
    count: Count = 1
    factor: Annotated[float, pydantic.Field(gt=1, le=100)] = 6.0
    seconds: Seconds = 4.0


class Burst(_Event):
    """Multiplies the request rate for some time."""

    kind: Literal["burst"]
    factor: Annotated[float, pydantic.Field(gt=1, le=20)] = 2.0
    seconds: Seconds = 3.0


Event = Annotated[
    Kill
    | PowerLoss
    | Cut
    | Loss
    | Restart
    | ClockStep
    | AddBalancers
    | AddTargets
    | Lag
    | StoreDown
    | StoreSlow
    | StoreRefuses
    | StoreForgets
    | StoreReturns
    | Configure
    | MoveRoute
    | Drain
    | Evacuate
    | ExpireEntries
    | CrashTarget
    | ReuseAddress
    | SlowTarget
    | Burst,
    pydantic.Field(discriminator="kind"),
]


class Day(_Model):
    """An emulated day.

    Attributes:
        about: purpose of the day.
        seconds: duration of the traffic.
        requests_a_second: request rate of all callers.
        balancers: initial number of balancers, spread over the failure domains.
        targets: initial number of targets of the service for listings and orders.
        intake_targets: initial number of targets of the service for uploads.
        slots: number of requests that a target works on concurrently.
        hashing: hash method of the routers.
        warm_up_pace: SYN packets that a target for listings may get in any second of its warm-up; 0
            for any number.
        events: events in any order; `at` counts from the start of the traffic.
    """

    about: str
    seconds: Annotated[float, pydantic.Field(gt=0, le=600)] = 12.0
    requests_a_second: Annotated[float, pydantic.Field(gt=0, le=500)] = 12.0
    balancers: Annotated[int, pydantic.Field(ge=1, le=200)] = 6
    targets: Annotated[int, pydantic.Field(ge=1, le=200)] = 7
    intake_targets: Annotated[int, pydantic.Field(ge=1, le=200)] = 3
    slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 2
    hashing: Hashing = Hashing.MODULO
    warm_up_pace: Annotated[int, pydantic.Field(ge=0, le=100)] = 0
    events: tuple[Event, ...] = ()


def load_day(path: Path) -> Day:
    """Load a day from a file.

    Raises:
        DayRejected: if the file is unreadable or invalid.
    """
    try:
        return Day.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise DayRejected(path, error.strerror or type(error).__name__) from error
    except (tomllib.TOMLDecodeError, UnicodeError) as error:
        raise DayRejected(path, str(error)) from error
    except pydantic.ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, each['loc']))}: {each['msg']}" for each in error.errors()
        )
        raise DayRejected(path, problems) from error


def library() -> Sequence[Path]:
    """Return the paths of the built-in days."""
    return sorted((Path(__file__).parent / "days").glob("*.toml"))
