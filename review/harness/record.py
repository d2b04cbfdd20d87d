"""The record of a run: one JSON object a line."""

import json
import time
from pathlib import Path


class Record:
    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, what: str, **fields: object) -> None:
        self._file.write(json.dumps({"at": round(self.now, 3), "what": what, **fields}) + "\n")

    def close(self) -> None:
        self._file.close()
