"""Makes a folder of libraries, or repairs it by making it anew."""

from __future__ import annotations

import fcntl
import secrets
import shutil
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from ._exceptions import InstallationFailed
from ._record import make_record, read_record, write_record


class Installer:
    """Installs libraries beside their folder and moves them into place when they are complete.

    It may be stopped at any moment: the next run removes what is left and begins anew. Of several
    that run at the same time, one installs and the others wait for it.

    Args:
        requirements: file that lists the libraries.
        folder: where they belong; replaced as a whole.
        fetch: installs the libraries of a file into an empty folder.
        check: raises an InstallationFailed if the libraries in a folder can't be used.
    """

    def __init__(
        self,
        requirements: Path,
        folder: Path,
        fetch: Callable[[Path, Path], None],
        check: Callable[[Path], None],
    ) -> None:
        self._requirements = requirements
        self._folder = folder
        self._fetch = fetch
        self._check = check

    def run(self) -> str | None:
        """Install the libraries unless they are there, and return why, or None if they were.

        Raises:
            InstallationFailed: if they can't be fetched or used; the folder is as it was before.
            OSError: if files can't be read or written.
        """
        self._folder.parent.mkdir(parents=True, exist_ok=True)
        with self._locked():
            self._remove_leftovers()
            reason = self._find_reason()
            if reason is not None:
                self._replace_folder()
            return reason

    def _find_reason(self) -> str | None:
        """Return why the folder has to be made anew, or None if it needs nothing."""
        record = read_record(self._folder)
        if record is None:
            return "there was no complete installation"
        wanted = make_record(self._requirements, self._folder)
        if record.requirements != wanted.requirements:
            return "the requirements have changed"
        if record.platform != wanted.platform:
            return f"they were for {record.platform}"
        if record.files != wanted.files:
            return "files were missing or changed"
        try:
            self._check(self._folder)
        except InstallationFailed as error:
            return f"they couldn't be used: {error}"
        return None

    def _replace_folder(self) -> None:
        made = self._beside("installing")
        made.mkdir()
        try:
            self._fetch(self._requirements, made)
            self._check(made)
            write_record(make_record(self._requirements, made), made)
            if self._folder.is_symlink() or self._folder.exists():
                self._folder.rename(self._beside("replaced"))
            made.rename(self._folder)
        finally:
            self._remove_leftovers()

    @contextmanager
    def _locked(self) -> Iterator[None]:
        # The system releases the lock when the process ends, however it does.
        with self._folder.with_name(f"{self._folder.name}.lock").open("a") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield

    def _beside(self, purpose: str) -> Path:
        return self._folder.with_name(f"{self._folder.name}.{purpose}-{secrets.token_hex(4)}")

    def _remove_leftovers(self) -> None:
        """Remove other folders of this and earlier runs; what is still in use is left."""
        for purpose in ("installing", "replaced"):
            for path in self._folder.parent.glob(f"{self._folder.name}.{purpose}-*"):
                if path.is_dir() and not path.is_symlink():
                    shutil.rmtree(path, ignore_errors=True)
                else:
                    path.unlink(missing_ok=True)
