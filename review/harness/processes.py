"""Starts the project's programs as its deploy file says, and restarts those that end."""

import asyncio
import json
import os
import re
import signal
import tomllib
from pathlib import Path

from record import Record

ROOT = Path(__file__).resolve().parents[2]
RESTART_SECONDS = 0.5
PASSED_VARIABLES = ("PATH", "HOME", "LANG")


class Process:
    """One process of the system on one machine.

    `ends` counts how often it ended without a signal of the test.
    """

    def __init__(self, role: str, settings: dict, folder: Path, record: Record) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self._command = deploy["run"].split()
        self._settings = settings
        self._template = (ROOT / deploy["template"]).read_text()
        self._path = folder / f"{settings['node_name']}.ini"
        self._log = (folder / f"{settings['node_name']}.log").open("ab")
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task | None = None
        self._is_wanted = True
        self._is_signalled = False
        self.name = settings["node_name"]
        self.log_path = folder / f"{settings['node_name']}.log"
        self.ends = 0

    def start(self) -> None:
        self._task = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        while self._is_wanted:
            self._is_signalled = False
            self._path.write_text(render(self._template, self._settings))
            self._settings["bootstrap"] = False  # true only at the first start of the system
            environment = {k: os.environ[k] for k in PASSED_VARIABLES if k in os.environ}
            environment |= {
                "EGRETSILL_BOOT": str(self._path),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=self._log,
                stderr=self._log,
            )
            self._record.write("process-started", name=self.name, pid=self._process.pid)
            code = await self._process.wait()
            if not self._is_wanted:
                return
            if not self._is_signalled:
                self.ends += 1
            self._record.write(
                "process-ended", name=self.name, code=code, by_test=self._is_signalled
            )
            await asyncio.sleep(RESTART_SECONDS)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal as part of a disruption."""
        if self._process is not None and self._process.returncode is None:
            self._is_signalled = True
            self._record.write("signal", name=self.name, signal=number.name)
            self._process.send_signal(number)

    async def stop(self) -> None:
        self._is_wanted = False
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._process is not None:
            await self._process.wait()
        self._log.close()


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders `{{a}}`, `{{a.b}}` and `{{a.0}}` (DEPLOY.md)."""

    def value_of(match: re.Match) -> str:
        value: object = fields
        for part in match[1].split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value_of, template)
