"""A caller of one service, which opens flows as needed."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ..configuration import Address
from ..outcomes import RefusalReason, Refused
from ..timing import TrioTimerService
from ._call import Call
from ._exceptions import FlowNotOpened
from ._flow import CallerFlow, caller_configuration
from ._reply import Reply

OPEN_TIMEOUT_SECONDS = 5.0


class Caller:
    """Sends requests to one service; opens a new flow when the last one ends or is draining.

    Use `open_caller` to make one. This class never repeats a call. After Refused the request may be
    sent again; after Unknown it must first be determined whether the request ran.
    """

    def __init__(
        self,
        address: Address,
        authority: str,
        authorities_file: Path | None,
        timer: TrioTimerService,
        nursery: trio.Nursery,
    ) -> None:
        self._address = address
        self._authority = authority
        self._authorities_file = authorities_file
        self._timer = timer
        self._nursery = nursery
        self._flows: list[CallerFlow] = []
        self._open_lock = trio.Lock()
        self._flow_count = 0

    @property
    def flows_opened(self) -> int:
        """Return how many flows were opened so far."""
        return self._flow_count

    async def start(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[bytes, bytes]] = (),
        deadline_seconds: float | None = None,
        end: bool = True,
    ) -> Call:
        """Send a request's head and return the call; if `end` is False, a body must follow.

        Raises:
            FlowNotOpened: if no flow could be opened; no request was sent.
        """
        flow = await self._usable_flow()
        return flow.start(method, path, headers, deadline_seconds, end)

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        deadline_seconds: float | None = None,
    ) -> Reply:
        """Send a request and return the reply once the request has ended."""
        try:
            call = await self.start(
                method,
                path,
                headers=headers,
                deadline_seconds=deadline_seconds,
                end=not body,
            )
        except FlowNotOpened:
            return Reply(Refused(RefusalReason.FLOW_NOT_OPENED), None, {}, b"")
        if body:
            await call.send_data(body, end=True)
        return await call.collect()

    def close(self) -> None:
        """Close all flows."""
        for flow in self._flows:
            flow.close()

    async def _usable_flow(self) -> CallerFlow:
        async with self._open_lock:
            self._drop_finished()
            for flow in self._flows:
                if flow.usable:
                    return flow
            configuration = caller_configuration(self._authority, self._authorities_file)
            flow = CallerFlow(self._address, self._authority, configuration, self._timer)
            await flow.open(self._nursery, OPEN_TIMEOUT_SECONDS)
            self._flows.append(flow)
            self._flow_count += 1
            return flow

    def _drop_finished(self) -> None:
        for flow in self._flows:
            if not flow.usable and flow.idle:
                flow.close()
        self._flows = [flow for flow in self._flows if not flow.closed]


@asynccontextmanager
async def open_caller(
    address: Address, authority: str, authorities_file: Path | None = None
) -> AsyncIterator[Caller]:
    """Run a caller for the duration of the block; its first request opens the first flow."""
    timer = TrioTimerService()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        caller = Caller(address, authority, authorities_file, timer, nursery)
        try:
            yield caller
        finally:
            caller.close()
            nursery.cancel_scope.cancel()
