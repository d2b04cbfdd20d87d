from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from .. import Vm, VmState
from .._readers import (
    DIRECT_READ_BURST,
    DIRECT_READS_PER_SECOND,
    ReadOnce,
    ReadScheduler,
    TokenBucket,
    Wait,
    Watch,
    readers_of,
)
from .fleets import DOMAINS, make_vms

SILENCE_SECONDS = 20.0


def make_read_scheduler(name: str, seed: int = 1) -> ReadScheduler:
    domain = next(vm.failure_domain for vm in make_vms(30) if vm.name == name)
    read_scheduler = ReadScheduler(name, domain, Random(seed), 0.0, SILENCE_SECONDS)
    read_scheduler.set_vms(make_vms(30), 0.0)
    return read_scheduler


def non_reader_name() -> str:
    readers = {name for domain in DOMAINS for name in readers_of(make_vms(30), domain)}
    return next(vm.name for vm in make_vms(30) if vm.name not in readers)


def test_each_failure_domain_has_two_readers() -> None:
    vms = make_vms(30)
    domains = {vm.name: vm.failure_domain for vm in vms}
    for domain in DOMAINS:
        readers = readers_of(vms, domain)
        assert len(set(readers)) == 2
        assert {domains[name] for name in readers} == {domain}


def test_readers_do_not_depend_on_list_order() -> None:
    vms = make_vms(30)
    assert readers_of(vms[::-1], DOMAINS[0]) == readers_of(vms, DOMAINS[0])


def test_leaving_or_unreachable_reader_is_replaced() -> None:
    vms = make_vms(30)
    first, second = readers_of(vms, DOMAINS[0])
    leaving = [Vm(first, "agent", DOMAINS[0], VmState.LEAVING)]
    rest = [vm for vm in vms if vm.name != first]
    assert readers_of([*rest, *leaving], DOMAINS[0])[0] == second
    assert readers_of(vms, DOMAINS[0], {first}) == readers_of(rest, DOMAINS[0])


def test_reader_watches_and_backs_off_after_failures() -> None:
    read_scheduler = make_read_scheduler(readers_of(make_vms(30), DOMAINS[1])[0])
    assert read_scheduler.decide(0.0) == Watch()
    waits = []
    for _ in range(8):
        read_scheduler.note_failure(1.0)
        decision = read_scheduler.decide(1.0)
        assert isinstance(decision, Wait)
        waits.append(decision.seconds)
    assert max(waits) <= 4.0
    assert waits[-1] > waits[0]
    read_scheduler.note_success(10.0)
    assert read_scheduler.decide(10.0) == Watch()


def test_other_process_waits_while_platform_answers() -> None:
    read_scheduler = make_read_scheduler(non_reader_name())
    now = 0.0
    while now < 100.0:
        read_scheduler.note_contact(now - 5.0)
        assert isinstance(read_scheduler.decide(now), Wait)
        now += 1.0


def test_other_process_reads_directly_after_silence() -> None:
    read_scheduler = make_read_scheduler(non_reader_name())
    read_scheduler.note_contact(10.0)
    assert read_scheduler.decide(20.0) == Wait(10.0)
    decision = read_scheduler.decide(30.0)
    assert isinstance(decision, Wait)
    assert read_scheduler.decide(30.0 + decision.seconds) == ReadOnce()


def test_newer_contact_cancels_planned_read() -> None:
    read_scheduler = make_read_scheduler(non_reader_name())
    read_scheduler.note_contact(10.0)
    assert isinstance(read_scheduler.decide(30.0), Wait)
    read_scheduler.note_contact(29.0)
    assert read_scheduler.decide(40.0) == Wait(9.0)


def test_relayed_contact_does_not_become_recent() -> None:
    delay = 0.25
    one, other = make_read_scheduler(non_reader_name()), make_read_scheduler(non_reader_name())
    one.note_success(0.0)
    now = 0.0
    while now < SILENCE_SECONDS + 1.0:
        for sender, receiver in ((one, other), (other, one)):
            sent_at, now = now, now + delay
            age = sent_at - (sender.last_contact_at or 0.0)
            receiver.note_contact(now - age)
    planned = one.decide(now)
    assert isinstance(planned, Wait)
    assert one.decide(now + planned.seconds) == ReadOnce()
    assert one.last_contact_at == 0.0
    assert other.last_contact_at == delay


def test_direct_reads_of_isolated_fleet_are_spread() -> None:
    read_schedulers = [
        ReadScheduler(vm.name, vm.failure_domain, Random(number), 0.0, SILENCE_SECONDS)
        for number, vm in enumerate(make_vms(1300))
    ]
    vms = make_vms(1300)
    reads: Counter[int] = Counter()
    for read_scheduler in read_schedulers:
        read_scheduler.set_vms(vms, 0.0)
        now = 0.0
        while now < 60.0:
            match read_scheduler.decide(now):
                case Wait(seconds):
                    now += max(seconds, 0.001)
                case _:
                    reads[int(now)] += 1
                    read_scheduler.note_failure(now)
    assert sum(reads.values()) > 1300
    assert max(reads.values()) < 2 * DIRECT_READS_PER_SECOND


@pytest.mark.parametrize(
    ("times", "waits"),
    [
        pytest.param([0.0, 0.0, 0.0], [0.0, 0.0, 0.5], id="after the burst"),
        pytest.param([0.0, 0.0, 0.5], [0.0, 0.0, 0.0], id="refilled"),
        pytest.param([0.0, 0.0, 9.0, 9.0, 9.0], [0.0, 0.0, 0.0, 0.0, 0.5], id="full again"),
        pytest.param([5.0, 5.0, 1.0], [0.0, 0.0, 0.5], id="clock set back"),
    ],
)
def test_token_bucket_spaces_reads(times: list[float], waits: list[float]) -> None:
    bucket = TokenBucket(2.0, 2.0, 0.0)
    assert [bucket.take(now) for now in times] == pytest.approx(waits)


def test_reads_beyond_burst_are_delayed() -> None:
    read_scheduler = make_read_scheduler(non_reader_name())
    total = sum(read_scheduler.take_token(0.0) > 0 for _ in range(int(DIRECT_READ_BURST) + 2))
    assert total == 2
