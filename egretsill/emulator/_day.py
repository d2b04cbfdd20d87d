"""Days: what is there, who asks for what, and what goes wrong when. Written as TOML files."""

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
    """A day file can't be played.

    Attributes:
        path: the file.
        problem: what is wrong, with the place.
    """

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class Who(enum.Enum):
    """Which processes something happens to."""

    BALANCERS = "balancers"
    AGENTS = "agents"
    ALL = "all"


class Service(enum.Enum):
    """The services of a day, by their names in routes and entries."""

    LISTINGS = "catalog"
    INTAKE = "intake"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Event(_Model):
    at: Seconds


class Kill(_Event):
    """Processes end without warning and start again after some seconds."""

    kind: Literal["kill"]
    who: Who = Who.BALANCERS
    share: Share = 0.3
    seconds: Seconds = 0.5


class PowerLoss(_Event):
    """VMs lose power, with the targets on them."""

    kind: Literal["power-loss"]
    who: Who = Who.ALL
    share: Share = 1.0
    seconds: Seconds = 1.0


class Cut(_Event):
    """VMs are cut off from everything."""

    kind: Literal["cut"]
    who: Who = Who.ALL
    share: Share = 0.2
    seconds: Seconds = 3.0


class Loss(_Event):
    """Links of VMs lose datagrams."""

    kind: Literal["loss"]
    who: Who = Who.ALL
    share: Share = 0.5
    lost: Share = 0.03
    seconds: Seconds = 4.0


class Restart(_Event):
    """Processes are told to stop and start again, one after the other."""

    kind: Literal["restart"]
    who: Who = Who.BALANCERS
    share: Share = 1.0
    gap: Seconds = 2.0


class ClockStep(_Event):
    """The time of day jumps on some VMs and back."""

    kind: Literal["clock-step"]
    share: Share = 0.3
    by: Annotated[float, pydantic.Field(ge=-86_400, le=86_400)] = 100.0
    seconds: Seconds = 4.0


class AddBalancers(_Event):
    """Balancers are added."""

    kind: Literal["add-balancers"]
    count: Count = 1


class AddTargets(_Event):
    """Targets are added one after the other, on VMs of their own."""

    kind: Literal["add-targets"]
    service: Service = Service.LISTINGS
    count: Count = 1
    gap: Seconds = 0.5


class Lag(_Event):
    """Processes hear no peers and are turned away by the store, but are heard and take packets."""

    kind: Literal["lag"]
    who: Who = Who.AGENTS
    share: Share = 0.5
    seconds: Seconds = 5.0


class StoreDown(_Event):
    """The store answers nothing."""

    kind: Literal["store-down"]
    seconds: Seconds = 4.0


class StoreSlow(_Event):
    """The store answers late."""

    kind: Literal["store-slow"]
    delay: Seconds = 0.3
    seconds: Seconds = 4.0


class StoreRefuses(_Event):
    """The store turns some VMs away."""

    kind: Literal["store-refuses"]
    share: Share = 0.4
    seconds: Seconds = 5.0


class StoreForgets(_Event):
    """The store forgets its history."""

    kind: Literal["store-forgets"]


class Configure(_Event):
    """The operators publish configurations: routes that nobody uses come and go."""

    kind: Literal["configure"]
    count: Count = 1
    gap: Seconds = 0.5


class MoveRoute(_Event):
    """The operators let another service serve uploads."""

    kind: Literal["move-route"]


class Drain(_Event):
    """Targets leave as planned, with their VMs."""

    kind: Literal["drain"]
    count: Count = 1
    gap: Seconds = 2.0


class ExpireEntries(_Event):
    """Entries of targets vanish from the store while their targets serve on, and come back."""

    kind: Literal["expire-entries"]
    count: Count = 1
    gap: Seconds = 0.5
    seconds: Seconds = 4.0


class CrashTarget(_Event):
    """Targets crash and start again under their names."""

    kind: Literal["crash-target"]
    count: Count = 1
    seconds: Seconds = 0.5


class ReuseAddress(_Event):
    """A target ends without warning, and a target of another service takes its address."""

    kind: Literal["reuse-address"]
    seconds: Seconds = 2.0


class SlowTarget(_Event):
    """Targets work slowly for a while."""

    kind: Literal["slow-target"]
    count: Count = 1
    factor: Annotated[float, pydantic.Field(gt=1, le=100)] = 6.0
    seconds: Seconds = 4.0


class Burst(_Event):
    """More callers come for a while."""

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
    | Configure
    | MoveRoute
    | Drain
    | ExpireEntries
    | CrashTarget
    | ReuseAddress
    | SlowTarget
    | Burst,
    pydantic.Field(discriminator="kind"),
]


class Day(_Model):
    """One day.

    Attributes:
        about: what it is for.
        seconds: length of the traffic.
        requests_a_second: of all callers.
        balancers: at the beginning, spread over the failure domains.
        targets: of the service of listings and orders.
        intake_targets: of the service of uploads.
        slots: requests that a target works on at once.
        hashing: of the routers.
        events: what happens, in any order; `at` counts from the start of the traffic.
    """

    about: str
    seconds: Annotated[float, pydantic.Field(gt=0, le=600)] = 12.0
    requests_a_second: Annotated[float, pydantic.Field(gt=0, le=500)] = 12.0
    balancers: Annotated[int, pydantic.Field(ge=1, le=200)] = 6
    targets: Annotated[int, pydantic.Field(ge=1, le=200)] = 7
    intake_targets: Annotated[int, pydantic.Field(ge=1, le=200)] = 3
    slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 2
    hashing: Hashing = Hashing.MODULO
    events: tuple[Event, ...] = ()


def load_day(path: Path) -> Day:
    """Return the day in a file.

    Raises:
        DayRejected: if the file can't be read or holds a mistake.
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
    """Return the files of the days that come with the emulator."""
    return sorted((Path(__file__).parent / "days").glob("*.toml"))
