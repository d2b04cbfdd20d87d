"""Runs one process until a signal stops it."""

from __future__ import annotations

import signal
import traceback
from functools import partial
from pathlib import Path
from random import SystemRandom

import trio

from ..address_steering import PacketCodec
from ..boot import NodeBoot, NodeSettingsRejected, load_node_settings, settings_version
from ..observation import log_to_standard_output
from ..startup import EXIT_FAILED, EXIT_STOPPED, HANDLED_SIGNALS, StartupSignals, write_notice
from ..supervision import Part
from ..timing import TrioTimerService
from ._node import Node, StoreFactory

SETTINGS_POLL_SECONDS = 1.0  # settings may change without a signal


def run(
    started: NodeBoot, codec: PacketCodec, make_store: StoreFactory, signals: StartupSignals
) -> int:
    """Run a process until a signal stops it, and return its exit code.

    It is 0 if a signal stopped the process, and 4 if a failure ended it, whose traceback is then
    written to standard error.

    Args:
        started: settings and sockets.
        codec: decodes and encodes the packets of flows.
        make_store: opens the store at an address.
        signals: handles signals while the event loop doesn't run.
    """
    try:
        node = Node(
            started.settings,
            started.sockets,
            codec,
            make_store,
            TrioTimerService(),
            log_to_standard_output,
            SystemRandom(),
        )
        trio.run(_run, node, started, signals)
    except Exception:
        write_notice(traceback.format_exc())
        return EXIT_FAILED
    return EXIT_STOPPED


async def _run(node: Node, started: NodeBoot, startup_signals: StartupSignals) -> None:
    try:
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            is_reload_pending = startup_signals.hand_over()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_until_stopped, node, nursery.cancel_scope)
                nursery.start_soon(
                    node.supervisor.run, Part.SETTINGS, partial(_poll_settings, node, started)
                )
                if is_reload_pending:
                    _reload(node, started.settings_path)
                async for number in signals:
                    if number == signal.SIGHUP:
                        _reload(node, started.settings_path)
                    else:
                        with node.supervisor.contain(Part.SHUTDOWN):
                            node.shut_down()
    finally:
        # Not later: trio reports a signal that comes while it closes its own sockets as an error.
        startup_signals.block()


async def _run_until_stopped(node: Node, scope: trio.CancelScope) -> None:
    await node.run()
    scope.cancel()


async def _poll_settings(node: Node, started: NodeBoot) -> None:
    before = started.settings_version
    while True:
        version = settings_version(started.settings_path)
        if version != before:
            before = version
            _reload(node, started.settings_path)
        await trio.sleep(SETTINGS_POLL_SECONDS)


def _reload(node: Node, settings_path: Path) -> None:
    with node.supervisor.contain(Part.SETTINGS):
        try:
            node.replace_settings(load_node_settings(settings_path))
        except NodeSettingsRejected as error:
            node.reject_settings(str(error))
