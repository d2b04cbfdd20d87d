from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from .. import DrainEffect, Draining, DrainSignal, Leave, NotifyPeers, SendGoaway, StopNewWork

scenarios("draining.feature")


class Process:
    """A draining process in virtual time, and the effects it returned."""

    def __init__(self, draining: Draining) -> None:
        self.draining = draining
        self.now = 100.0
        self.effects: list[DrainEffect] = []

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while (wake := self.draining.next_wake) is not None and wake <= end:
            self.now = max(self.now, wake)
            self.effects.extend(self.draining.tick(self.now))
        self.now = end

    @property
    def left(self) -> bool:
        return Leave() in self.effects


@given(
    parsers.parse("an agent with {requests:d} requests and {flows:d} flows"),
    target_fixture="process",
)
def an_agent(requests: int, flows: int) -> Process:
    process = Process(Draining())
    process.effects.extend(process.draining.work(requests, flows, process.now))
    return process


@given("a balancer", target_fixture="process")
def a_balancer() -> Process:
    return Process(Draining.for_balancer())


@when(parsers.parse("the {signal} says that it leaves"))
def set_signal(process: Process, signal: str) -> None:
    process.effects.extend(process.draining.signal(DrainSignal(signal), True, process.now))


@when(parsers.parse("the {signal} says that it stays"))
def withdraw_signal(process: Process, signal: str) -> None:
    process.effects.extend(process.draining.signal(DrainSignal(signal), False, process.now))


@when(parsers.parse("{seconds:d} seconds pass"))
def seconds_pass(process: Process, seconds: int) -> None:
    process.pass_time(seconds)


@when(parsers.parse("it has {requests:d} requests and {flows:d} flows"))
def has_work(process: Process, requests: int, flows: int) -> None:
    process.effects.extend(process.draining.work(requests, flows, process.now))


@when("a packet arrives")
def packet_arrives(process: Process) -> None:
    process.draining.packet(process.now)


@when(parsers.parse("packets arrive for {seconds:d} seconds"))
def packets_arrive(process: Process, seconds: int) -> None:
    for _ in range(seconds):
        process.pass_time(1.0)
        process.draining.packet(process.now)


@then("it stops new work, notifies its peers and sends GOAWAY")
def stops_new_work(process: Process) -> None:
    assert process.effects == [StopNewWork(), NotifyPeers(True), SendGoaway()]


@then(parsers.parse("it has not left after {seconds:d} seconds"))
def not_left_after(process: Process, seconds: int) -> None:
    process.pass_time(seconds)
    assert not process.left


@then("it has not left")
def not_left(process: Process) -> None:
    assert not process.left


@then("it has left")
def has_left(process: Process) -> None:
    assert process.effects.count(Leave()) == 1


@then("it takes new work")
def accepts_new_work(process: Process) -> None:
    assert process.draining.takes_new_work
    assert process.effects[-1] == NotifyPeers(False)


@then("it refuses new work")
def refuses_new_work(process: Process) -> None:
    assert not process.draining.takes_new_work
