"""A stand-in backend server in its own process, so that its cost is not measured."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection

import trio

from ..configuration import Address
from ..stand_ins.backend_server import BackendBehaviour, BackendServer

HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 30.0
SLOTS = 64


@contextmanager
def backend_process(service: str) -> Iterator[Address]:
    """Run a backend server that answers without delay, and yield its endpoint.

    Raises:
        TimeoutError: if it does not become ready in time.
    """
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=_run, args=(child_pipe, service))
    process.start()
    try:
        if not parent_pipe.poll(START_TIMEOUT_SECONDS):
            raise TimeoutError
        yield Address(HOST, parent_pipe.recv())
    finally:
        process.terminate()
        process.join()


def _run(pipe: Connection, service: str) -> None:
    trio.run(_serve, pipe, service)


async def _serve(pipe: Connection, service: str) -> None:
    behaviour = BackendBehaviour(slots=SLOTS, waiting=SLOTS, seconds_per_weight=0.0)
    async with trio.open_nursery() as nursery:
        pipe.send(await nursery.start(BackendServer(service, behaviour).serve, HOST, 0))
