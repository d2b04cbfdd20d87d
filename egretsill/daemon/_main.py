"""`egretsilld`: reads its settings and runs one daemon until a signal stops it."""

from __future__ import annotations

import resource
import signal
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from random import SystemRandom

import trio
from absl import flags
from absl.flags import FlagValues

from ..observation import LogFileUnavailable, open_log
from ..settings import SettingsRejected, load_daemon_settings
from ..supervision import Part
from ._daemon import Daemon
from ._exceptions import AddressUnavailable, AgentSettingsIncomplete, TlsUnusable

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3

PROGRAM = "egretsilld"
USAGE = f"""{PROGRAM} --settings=FILE

Runs one balancer or agent until SIGTERM, which shuts it down gracefully. SIGHUP reads the
settings again and applies the connection-ID keys and the certificate.
Exit codes: 0 stopped as requested, 1 failed while running, 2 flags or settings rejected,
3 an address could not be bound.
"""


def main(arguments: Sequence[str]) -> int:
    """Run the daemon and return the exit code.

    0: stopped as requested; 1: failed while running; 2: flags or settings rejected, nothing was
    started; 3: an address could not be bound.

    Args:
        arguments: without the program's own name.
    """
    values = _make_flags()
    try:
        rest = values([PROGRAM, *arguments])[1:]
    except flags.Error as error:
        return _fail(EXIT_SETTINGS, str(error))
    if values.help:
        print(USAGE + values.get_help())
        return EXIT_STOPPED
    if rest or not values.settings:
        return _fail(EXIT_SETTINGS, "takes --settings=FILE and nothing else")
    return _run_from_settings(Path(values.settings), values.check)


def run() -> None:
    """Run the daemon as a program."""
    sys.exit(main(sys.argv[1:]))


def _make_flags() -> FlagValues:
    values = FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "INI file of the settings.", flag_values=values)
    flags.DEFINE_bool("check", False, "Check the settings, start nothing.", flag_values=values)
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    return values


def _run_from_settings(path: Path, check_only: bool) -> int:
    try:
        settings = load_daemon_settings(path)
        if check_only:
            return EXIT_STOPPED
        open_log(settings.log.file)
        raise_file_limit()
        daemon = Daemon(settings, SystemRandom())
    except (SettingsRejected, LogFileUnavailable, AgentSettingsIncomplete, TlsUnusable) as error:
        return _fail(EXIT_SETTINGS, str(error))
    except AddressUnavailable as error:
        return _fail(EXIT_ADDRESS, str(error))
    return _run_to_exit_code(daemon, path)


def raise_file_limit() -> None:
    """Raise the limit of open files to the hard limit: each relayed request holds a connection."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def _run_to_exit_code(daemon: Daemon, path: Path) -> int:
    try:
        trio.run(_run, daemon, path)
    except BaseExceptionGroup as group:
        unavailable, rest = group.split(AddressUnavailable)
        if unavailable is None or rest is not None:
            raise
        return _fail(EXIT_ADDRESS, "; ".join(str(each) for each in leaf_exceptions(unavailable)))
    except AddressUnavailable as error:
        return _fail(EXIT_ADDRESS, str(error))
    return EXIT_STOPPED


async def _run(daemon: Daemon, path: Path) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_to_end, daemon, nursery.cancel_scope)
            async for number in signals:
                if number == signal.SIGHUP:
                    _reload(daemon, path)
                else:
                    daemon.shut_down()


async def _run_to_end(daemon: Daemon, scope: trio.CancelScope) -> None:
    await daemon.run()
    scope.cancel()


def _reload(daemon: Daemon, path: Path) -> None:
    with daemon.supervisor.contain(Part.SETTINGS):
        try:
            daemon.replace_settings(load_daemon_settings(path))
        except (SettingsRejected, TlsUnusable) as error:
            daemon.reject_settings(error)


def leaf_exceptions(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    """Yield the exceptions of a group and of its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from leaf_exceptions(error)
        else:
            yield error


def _fail(code: int, problem: str) -> int:
    print(f"{PROGRAM}: {problem}", file=sys.stderr)
    return code
