"""Signal handlers of a process while its event loop doesn't run."""

from __future__ import annotations

import os
import signal

from ._exit_codes import EXIT_STOPPED

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StartupSignals:
    """Handles stop and reload signals before the event loop receives them, and after it has ended.

    The default action of each of these signals would end the process with a failure.
    """

    def __init__(self) -> None:
        self._is_reload_pending = False
        self._is_handed_over = False

    def install(self) -> None:
        """Handle signals from now on: a stop signal ends the process with `EXIT_STOPPED`."""
        signal.signal(signal.SIGHUP, self._request_reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)

    def hand_over(self) -> bool:
        """Leave all signals to the event loop and return whether a reload was requested before.

        Call this once the loop's own handlers are installed, so that no signal is lost in between.
        When they are removed later, a signal has no effect.
        """
        self._is_handed_over = True
        return self._is_reload_pending

    @staticmethod
    def block() -> None:
        """Block all signals from now on, also while the interpreter shuts down.

        The interpreter restores the default action of signals that have a handler before it has
        ended, but it doesn't unblock any.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def _request_reload(self, number: int, frame: object) -> None:
        self._is_reload_pending = True

    def _stop(self, number: int, frame: object) -> None:
        if not self._is_handed_over:
            # An exception could be caught or logged by the import that it interrupts.
            os._exit(EXIT_STOPPED)
