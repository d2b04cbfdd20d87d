"""The requester's end of links: opening with a Ping, keep-alive and reuse."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import trio

from ..configuration import Address
from ..supervision import Part, Supervisor
from ..timing import ClockJump, TimerService
from ._byte_window import WindowGap
from ._collaborators import RequestObserver
from ._exceptions import RelayClosed
from ._gate_request import BodyWriter
from ._local_link import LocalLinks
from ._message_link import LinkBroken, MessageLink, StreamLink
from ._messages import GateMark, Ping, Pong, RelayMessage
from ._ping_schedule import PingSchedule, idle_ping_interval
from ._request_link import LinkUser, RequestLink
from ._silence import bounded
from ._wakeup import Wakeup

OPEN_SECONDS = 2.0
REAP_SECONDS = 2.0
IDLE_SECONDS = 30.0
IDLE_LINKS = 16
FLUSH_SECONDS = 1.0
CLOCK_SAMPLES = 5

Connector = Callable[[Address], Awaitable[trio.abc.Stream]]
AddressLookup = Callable[[int], Address | None]


async def connect_tcp(address: Address) -> trio.abc.Stream:
    """Open a TCP stream to an agent.

    Raises:
        OSError: if the connection fails.
    """
    return await trio.open_tcp_stream(address.host, address.port)


class RequesterLink:
    """One link to a gate in another agent.

    Args:
        target_number: the gate's target.
        address: address of the gate.
        link: sends and receives the messages.
        timer: the timer service.
        observer: notified of lost links and malformed data.
        idle_ping_seconds: returns the ping interval while no request holds a slot over the link.
        on_lost: called when the link ended without `finish`.

    Attributes:
        target_number: the gate's target.
        user: the request that it serves, or None while it is idle.
        idle_since: when it was last returned to the pool, in seconds.
    """

    def __init__(
        self,
        target_number: int,
        address: Address,
        link: MessageLink,
        timer: TimerService,
        observer: RequestObserver,
        idle_ping_seconds: Callable[[], float],
        on_lost: Callable[[RequesterLink], None],
    ) -> None:
        self.target_number = target_number
        self.user: LinkUser | None = None
        self.idle_since = 0.0
        self._address = address
        self._link = link
        self._timer = timer
        self._observer = observer
        self._scope = trio.CancelScope()
        self._control: deque[RelayMessage] = deque()
        self._body: BodyWriter | None = None
        self._wakeup = Wakeup()
        self._opened = trio.Event()
        self._finishing = False
        self._lost = False
        self._mark = GateMark(0, 0.0)
        self._offsets: deque[float] = deque(maxlen=CLOCK_SAMPLES)
        self._on_lost = on_lost
        self._pings = PingSchedule(
            timer, lambda seconds: self.send(Ping(seconds)), self._scope.cancel, idle_ping_seconds
        )

    @property
    def address(self) -> Address:
        """Return the address of the gate."""
        return self._address

    @property
    def usable(self) -> bool:
        """Return whether the link is open and the gate has answered a Ping."""
        return self._opened.is_set() and not self._lost and not self._finishing

    @property
    def mark(self) -> GateMark:
        """Return the mark of the gate's latest Pong."""
        return self._mark

    @property
    def clock_offset(self) -> float:
        """Return the gate's clock minus this process's clock, in seconds.

        The network delay makes each sample too small, so the largest recent sample is the most
        accurate.
        """
        return max(self._offsets)

    def send(self, message: RelayMessage) -> None:
        """Queue a message for sending."""
        self._control.append(message)
        self._wakeup.set()

    def send_body(self, body: BodyWriter | None) -> None:
        """Send a request's body as it arrives, or stop with None."""
        self._body = body
        self._wakeup.set()

    def wake(self) -> None:
        """Signal that more of the body is available."""
        self._wakeup.set()

    def set_active(self, active: bool) -> None:
        """Ping often while a request holds a slot over the link, and less often otherwise."""
        self._pings.set_active(active)

    def ping_now(self) -> None:
        """Ping at once, because another link to the same gate was lost."""
        self._pings.ping_now()

    def finish(self) -> None:
        """Send pending messages, then close."""
        self.user = None
        self._body = None
        self._finishing = True
        self._wakeup.set()
        self._timer.call_later(FLUSH_SECONDS, lambda _: self._scope.cancel())

    def close(self) -> None:
        """Close at once."""
        self._scope.cancel()

    async def wait_until_opened(self) -> None:
        """Wait for the gate's first Pong or for the end of the link."""
        await self._opened.wait()

    async def run(self) -> None:
        """Serve the link until it ends."""
        self._pings.start()
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    nursery.cancel_scope.cancel()
        finally:
            self._pings.close()
            self._end()
            with trio.CancelScope(shield=True):
                await self._link.close()

    def _end(self) -> None:
        self._lost = True
        self._opened.set()
        user, self.user = self.user, None
        if user is not None:
            user.on_lost(self)
        if not self._finishing:
            self._observer.on_link_lost()
            self._on_lost(self)

    async def _read(self) -> None:
        try:
            while True:
                message = await self._link.receive()
                self._pings.heard()
                self._take(message)
        except LinkBroken as error:
            if error.malformed:
                self._observer.on_malformed("relay")

    def _take(self, message: RelayMessage) -> None:
        if isinstance(message, Pong):
            self._mark = message.mark
            self._offsets.append(message.mark.time - self._timer.now)
            self._opened.set()
        elif self.user is not None:
            self.user.on_message(self, message)

    async def _write(self) -> None:
        try:
            while True:
                message = self._next_message()
                if message is not None:
                    await self._link.send(message)
                elif self._finishing:
                    break
                else:
                    await self._wakeup.wait()
        except (LinkBroken, WindowGap):
            pass
        self._scope.cancel()

    def _next_message(self) -> RelayMessage | None:
        if self._control:
            return self._control.popleft()
        return None if self._body is None else self._body.next_message()


class LinkPool:
    """Opens links to gates and pools idle ones.

    Args:
        own_target_number: target number of the gate in this process.
        timer: the timer service.
        local_links: creates links to the gate in this process.
        addresses: returns the relay endpoint of a target.
        observer: notified of lost links and malformed data.
        supervisor: contains unexpected exceptions of single links.
        connect: opens a stream to an agent; may raise OSError.
    """

    def __init__(
        self,
        own_target_number: int,
        timer: TimerService,
        local_links: LocalLinks,
        addresses: AddressLookup,
        observer: RequestObserver,
        supervisor: Supervisor,
        connect: Connector = connect_tcp,
    ) -> None:
        self._own_target_number = own_target_number
        self._timer = timer
        self._local_links = local_links
        self._addresses = addresses
        self._observer = observer
        self._supervisor = supervisor
        self._connect = connect
        self._idle: dict[int, list[RequesterLink]] = {}
        self._links: set[RequesterLink] = set()
        self._nursery: trio.Nursery | None = None
        timer.subscribe_jumps(self._on_jump)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; no link can be opened before this has started."""
        reap = self._timer.subscribe(REAP_SECONDS, self._reap)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            reap.cancel()
            self._nursery = None

    @property
    def links(self) -> int:
        """Return the number of links to other agents."""
        return len(self._links)

    async def open(
        self, target_number: int, active: bool, resume_address: Address | None = None
    ) -> RequestLink:
        """Return a link to a target's gate that has answered a Ping.

        Args:
            target_number: the target.
            active: whether the request holds a slot, so that a lost link must be detected early.
            resume_address: where its gate was reached before, to resume there on a new link, or
                None. The gate may still run although the configuration has another endpoint or none
                for it.

        Raises:
            RelayClosed: if no link could be opened.
        """
        if target_number == self._own_target_number:
            return self._local_links.open()
        link = self._take_idle(target_number) if resume_address is None else None
        if link is None:
            address = resume_address or self._declared_address(target_number)
            link = await self._open_new(target_number, address)
        link.set_active(active)
        return link

    def _take_idle(self, target_number: int) -> RequesterLink | None:
        idle = self._idle.get(target_number, [])
        while idle:
            link = idle.pop()
            if link.usable:
                return link
        return None

    async def _open_new(self, target_number: int, address: Address) -> RequesterLink:
        with bounded(self._timer, OPEN_SECONDS):
            link = await self._start_link(target_number, address)
            try:
                await link.wait_until_opened()
            except trio.Cancelled:
                link.close()
                raise
            if link.usable:
                return link
        raise RelayClosed(target_number, "no answer to the first ping")

    def free(self, link: RequestLink) -> None:
        """Return a link to the pool, or close it if it can't be reused."""
        if not isinstance(link, RequesterLink):
            link.finish()
            return
        link.user = None
        link.send_body(None)
        link.set_active(False)
        idle = self._idle.setdefault(link.target_number, [])
        if not link.usable or len(idle) >= IDLE_LINKS:
            link.finish()
            return
        link.idle_since = self._timer.now
        idle.append(link)

    async def _start_link(self, target_number: int, address: Address) -> RequesterLink:
        if self._nursery is None:
            raise RelayClosed(target_number, "stopped")
        stream = StreamLink(await self._connect_to(target_number, address))
        link = RequesterLink(
            target_number,
            address,
            stream,
            self._timer,
            self._observer,
            self._idle_ping_seconds,
            self._on_lost,
        )
        self._nursery.start_soon(self._run, link)
        return link

    async def _run(self, link: RequesterLink) -> None:
        self._links.add(link)
        try:
            with self._supervisor.contain(Part.REQUESTS):
                await link.run()
        finally:
            self._links.discard(link)

    def _idle_ping_seconds(self) -> float:
        return idle_ping_interval(len(self._links))

    def _on_lost(self, lost: RequesterLink) -> None:
        """Ping all other links to the same gate."""
        for link in self._links:
            if link.target_number == lost.target_number and link is not lost:
                link.ping_now()

    def _declared_address(self, target_number: int) -> Address:
        """Return the relay endpoint of a target in the configuration.

        Raises:
            RelayClosed: if the target is not declared.
        """
        address = self._addresses(target_number)
        if address is None:
            raise RelayClosed(target_number, "target is not declared")
        return address

    async def _connect_to(self, target_number: int, address: Address) -> trio.abc.Stream:
        try:
            return await self._connect(address)
        except OSError as error:
            raise RelayClosed(target_number, type(error).__name__) from error

    def _reap(self, now: float) -> None:
        for idle in self._idle.values():
            old = [
                each for each in idle if now - each.idle_since >= IDLE_SECONDS or not each.usable
            ]
            for link in old:
                idle.remove(link)
                link.finish()

    def _on_jump(self, jump: ClockJump) -> None:
        """Close all idle links after a clock jump: their gates may have been replaced meanwhile."""
        for idle in self._idle.values():
            while idle:
                idle.pop().finish()
