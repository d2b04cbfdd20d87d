"""Makes a folder of libraries, or repairs it by making it anew."""

from __future__ import annotations

import fcntl
import secrets
import shutil
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

from ._exceptions import InstallationFailed
from ._record import digest_of_file, make_record, read_record, write_record

INSTALLING, REPLACED = "installing", "replaced"  # in the names of folders beside


@dataclass(frozen=True, slots=True)
class Installed:
    """The folder was made anew.

    Attributes:
        reason: what was wrong with the former one.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Kept:
    """The folder should have been made anew, but couldn't be; it can be used as it is.

    Attributes:
        reason: what is wrong with it.
        problem: why it wasn't made anew.
    """

    reason: str
    problem: str


Outcome: TypeAlias = Installed | Kept


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

    def run(self) -> Outcome | None:
        """Install the libraries; return what was done, or None if they were there.

        Libraries for the same requirements that can be used are kept if others can't be fetched.

        Raises:
            InstallationFailed: if they can't be fetched or used; the folder is as it was before.
            OSError: if files can't be read or written.
        """
        self._folder.parent.mkdir(parents=True, exist_ok=True)
        with self._locked():
            self._undo_unfinished_move()
            self._remove_leftovers()
            reason = self._find_reason()
            if reason is None:
                return None
            try:
                self._replace_folder()
            except InstallationFailed as error:
                if not self._is_usable():
                    raise
                return Kept(reason, error.problem)
            return Installed(reason)

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

    def _is_usable(self) -> bool:
        """Return whether the folder isn't known to be for other requirements and can be used."""
        record = read_record(self._folder)
        if record is not None and record.requirements != digest_of_file(self._requirements):
            return False
        try:
            self._check(self._folder)
        except InstallationFailed:
            return False
        return True

    def _replace_folder(self) -> None:
        made = self._beside(INSTALLING)
        made.mkdir()
        try:
            self._fetch(self._requirements, made)
            self._check(made)
            write_record(make_record(self._requirements, made), made)
            self._move_into_place(made)
        finally:
            self._remove_leftovers()

    def _move_into_place(self, made: Path) -> None:
        if not self._folder.is_symlink() and not self._folder.exists():
            made.rename(self._folder)
            return
        replaced = self._beside(REPLACED)
        self._folder.rename(replaced)
        try:
            made.rename(self._folder)
        except OSError:
            replaced.rename(self._folder)
            raise

    def _undo_unfinished_move(self) -> None:
        """Move the folder back if an earlier run was stopped between moving it and the new one."""
        replaced = next(self._folder.parent.glob(f"{self._folder.name}.{REPLACED}-*"), None)
        if replaced is not None and not self._folder.exists():
            replaced.rename(self._folder)

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
        for purpose in (INSTALLING, REPLACED):
            for path in self._folder.parent.glob(f"{self._folder.name}.{purpose}-*"):
                if path.is_dir() and not path.is_symlink():
                    shutil.rmtree(path, ignore_errors=True)
                else:
                    path.unlink(missing_ok=True)
