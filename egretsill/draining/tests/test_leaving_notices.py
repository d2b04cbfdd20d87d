from __future__ import annotations

from collections.abc import Mapping, Sequence

import pytest

from ...configuration import Address, Vm, VmState
from ...wire import Codec, MalformedMessage
from .._leaving_notices import (
    DRAINING_TYPES,
    MAXIMUM_NOTICES,
    LeavingNotice,
    SendNotice,
    leaving_notices,
)

ENDPOINT = Address("10.0.0.1", 7000)
LEAVING = Vm("agent-a", "agent", "zone", VmState.LEAVING)
NOT_LEAVING = Vm("agent-b", "agent", "zone")
NOTICE = SendNotice(ENDPOINT, LeavingNotice("agent-a"))


@pytest.mark.parametrize(
    ("vms", "serving", "own_name", "expected"),
    [
        pytest.param(
            [LEAVING, NOT_LEAVING], {"agent-a": ENDPOINT}, "agent-b", [NOTICE], id="serving"
        ),
        pytest.param([LEAVING], {}, "agent-b", [], id="already announced or unreachable"),
        pytest.param([LEAVING], {"agent-a": ENDPOINT}, "agent-a", [], id="this process"),
        pytest.param([NOT_LEAVING], {"agent-b": ENDPOINT}, "agent-a", [], id="live"),
        pytest.param([], {"agent-a": ENDPOINT}, "agent-b", [], id="not on the list, which lags"),
    ],
)
def test_notified_processes(
    vms: Sequence[Vm],
    serving: Mapping[str, Address],
    own_name: str,
    expected: Sequence[SendNotice],
) -> None:
    assert leaving_notices(vms, serving, own_name) == expected


def test_number_of_notices_is_bounded() -> None:
    vms = [Vm(f"agent-{n}", "agent", "zone", VmState.LEAVING) for n in range(1000)]
    serving = {vm.name: ENDPOINT for vm in vms}
    assert len(leaving_notices(vms, serving, "other")) == MAXIMUM_NOTICES


@pytest.mark.parametrize("name", ["", "x" * 64])
def test_notice_with_invalid_name_is_malformed(name: str) -> None:
    codec: Codec[LeavingNotice] = Codec("gossip", DRAINING_TYPES)
    data = codec.encode(LeavingNotice("x")).replace(
        b"\xa1x", bytes([0xD9, len(name)]) + name.encode()
    )
    with pytest.raises(MalformedMessage):
        codec.decode(data)
