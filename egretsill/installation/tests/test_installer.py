"""Installations that are missing, incomplete, for other machines, stopped or made twice at once."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from .. import (
    RECORD_NAME,
    InstallationFailed,
    Installer,
    Kept,
    check_imports,
    read_record,
)

LIBRARY = "library/__init__.py"
COMPILED = "library/speedup.cpython-311-aarch64-linux-gnu.so"


class Fetch:
    """Stands in for pip and counts its runs."""

    def __init__(self) -> None:
        self.runs = 0

    def __call__(self, requirements: Path, folder: Path) -> None:
        self.runs += 1
        (folder / "library").mkdir()
        (folder / LIBRARY).write_text(requirements.read_text(encoding="utf-8"), encoding="utf-8")
        (folder / COMPILED).write_bytes(b"machine code")


def accept(folder: Path) -> None:
    """Find every folder usable."""


def reject(folder: Path) -> None:
    raise InstallationFailed("ImportError: wrong ELF class")


class Site:
    """A folder in which libraries are installed."""

    def __init__(self, directory: Path) -> None:
        self.requirements = directory / "requirements.txt"
        self.requirements.write_text("library==1\n", encoding="utf-8")
        self.target = directory / "target"
        self.folder = self.target / "deps"
        self.fetch = Fetch()

    def install(self, check: Callable[[Path], None] = accept) -> object:
        return Installer(self.requirements, self.folder, self.fetch, check).run()

    def is_whole(self) -> bool:
        names = sorted(
            each.relative_to(self.folder).as_posix()
            for each in self.folder.rglob("*")
            if each.is_file()
        )
        text = self.requirements.read_text(encoding="utf-8")
        return names == sorted([RECORD_NAME, LIBRARY, COMPILED]) and (
            (self.folder / LIBRARY).read_text(encoding="utf-8") == text
        )

    def leftovers(self) -> list[str]:
        return sorted(each.name for each in self.target.iterdir() if each.name not in KEPT)


KEPT = ("deps", "deps.lock", "bench")


@pytest.fixture
def site(tmp_path: Path) -> Site:
    return Site(tmp_path)


def test_second_installation_does_nothing(site: Site) -> None:
    assert site.install() is not None
    assert site.is_whole()
    assert site.install() is None
    assert site.fetch.runs == 1


def test_bytecode_may_appear(site: Site) -> None:
    site.install()
    (site.folder / "library" / "__pycache__").mkdir()
    (site.folder / "library" / "__pycache__" / "x.pyc").write_bytes(b"bytecode")
    assert site.install() is None


def remove_all(site: Site) -> None:
    for path in sorted(site.folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()


def rename_compiled_module(site: Site) -> None:
    other = "library/speedup.cpython-312-x86_64-linux-gnu.so"
    (site.folder / COMPILED).rename(site.folder / other)


def change_recorded_platform(site: Site) -> None:
    path = site.folder / RECORD_NAME
    content = json.loads(path.read_text(encoding="utf-8"))
    content["platform"] = "cpython 3.12.1 linux-x86_64 cpython-312-x86_64-linux-gnu"
    path.write_text(json.dumps(content), encoding="utf-8")


def replace_by_file(site: Site) -> None:
    remove_all(site)
    site.folder.rmdir()
    site.folder.write_text("no folder", encoding="utf-8")


# Guards against folders that count as installed though a process can't start with them.
@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(remove_all, id="empty"),
        pytest.param(lambda site: (site.folder / COMPILED).unlink(), id="a file is missing"),
        pytest.param(lambda site: (site.folder / LIBRARY).write_bytes(b""), id="a file is cut"),
        pytest.param(lambda site: (site.folder / RECORD_NAME).unlink(), id="no record"),
        pytest.param(lambda site: (site.folder / RECORD_NAME).write_bytes(b"{"), id="cut record"),
        pytest.param(lambda site: (site.folder / RECORD_NAME).write_bytes(b"[]"), id="odd record"),
        pytest.param(lambda site: (site.folder / "more").write_bytes(b""), id="a file too many"),
        pytest.param(rename_compiled_module, id="compiled for another machine"),
        pytest.param(change_recorded_platform, id="made on another machine"),
        pytest.param(replace_by_file, id="a file instead of the folder"),
        pytest.param(
            lambda site: site.requirements.write_text("library==2\n", encoding="utf-8"),
            id="other requirements",
        ),
    ],
)
def test_damaged_installation_is_made_anew(site: Site, damage: Callable[[Site], object]) -> None:
    site.install()
    damage(site)
    assert site.install() is not None
    assert site.is_whole()
    assert site.install() is None
    assert site.fetch.runs == 2
    assert site.leftovers() == []


def test_installation_that_cannot_be_used_is_made_anew(site: Site) -> None:
    site.install()
    with pytest.raises(InstallationFailed, match="ELF"):
        site.install(reject)
    assert site.fetch.runs == 2
    assert site.leftovers() == []


# Guards against a failed repair that takes away what was there.
def test_failed_installation_leaves_the_folder_as_it_was(site: Site) -> None:
    site.install()
    site.requirements.write_text("library==2\n", encoding="utf-8")
    with pytest.raises(InstallationFailed):
        site.install(reject)
    assert (site.folder / LIBRARY).read_text(encoding="utf-8") == "library==1\n"
    assert site.leftovers() == []


def find_no_index(requirements: Path, folder: Path) -> None:
    raise InstallationFailed("pip ended with exit code 1")


# Guards against a system that doesn't start as no index can be reached, though its libraries work.
@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda site: (site.folder / RECORD_NAME).unlink(), id="no record"),
        pytest.param(lambda site: (site.folder / "more").write_bytes(b""), id="a file too many"),
        pytest.param(change_recorded_platform, id="made by another Python"),
    ],
)
def test_usable_libraries_are_kept_if_none_can_be_fetched(
    site: Site, damage: Callable[[Site], object]
) -> None:
    site.install()
    damage(site)
    outcome = Installer(site.requirements, site.folder, find_no_index, accept).run()
    assert isinstance(outcome, Kept)
    assert outcome.problem == "pip ended with exit code 1"
    assert (site.folder / LIBRARY).exists()
    assert site.leftovers() == []


@pytest.mark.parametrize("is_usable", [True, False], ids=["other requirements", "not usable"])
def test_other_libraries_are_not_kept(site: Site, is_usable: bool) -> None:
    site.install()
    if is_usable:
        site.requirements.write_text("library==2\n", encoding="utf-8")
    check = accept if is_usable else reject
    with pytest.raises(InstallationFailed, match="pip"):
        Installer(site.requirements, site.folder, find_no_index, check).run()


# Guards against a failed move that leaves no libraries at all.
def test_folder_comes_back_if_the_new_one_cannot_be_moved(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.install()
    (site.folder / "more").write_bytes(b"")
    rename = Path.rename

    def fail_for_new(path: Path, to: Path) -> Path:
        if "installing" in path.name:
            raise OSError("no space left on device")
        return rename(path, to)

    monkeypatch.setattr(Path, "rename", fail_for_new)
    with pytest.raises(OSError, match="no space"):
        site.install()
    assert (site.folder / "more").exists()
    assert site.leftovers() == []


def test_other_files_beside_the_folder_are_kept(site: Site) -> None:
    (site.target / "bench").mkdir(parents=True)
    (site.target / "bench" / "run").write_bytes(b"")
    site.install()
    assert (site.target / "bench" / "run").exists()


# Runs an installation and ends the process at a given step, as kill -9 does.
PROGRAM = """
import os, sys, time
from pathlib import Path
from egretsill.installation import Installer
step, target = sys.argv[1], Path(sys.argv[2])

def fetch(requirements, folder):
    with open(target.parent / "runs", "a") as runs:
        runs.write("x")
    (folder / "library").mkdir()
    if step == "fetch":
        os._exit(9)
    time.sleep(0.3)
    (folder / "library" / "__init__.py").write_text(requirements.read_text())
    (folder / "library" / "speedup.cpython-311-aarch64-linux-gnu.so").write_bytes(b"machine code")

def check(folder):
    if step == "check":
        os._exit(9)

rename = Path.rename
def rename_and_end(path, to):
    rename(path, to)
    if step == ("moved away" if path.name == "deps" else "moved into place"):
        os._exit(9)
Path.rename = rename_and_end

Installer(target.parent / "requirements.txt", target / "deps", fetch, check).run()
"""


def start_installation(site: Site, step: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-c", PROGRAM, step, str(site.target)])


# Guards against a build that was killed half-way and counts as done, or hinders the next one.
@pytest.mark.parametrize("step", ["fetch", "check", "moved away", "moved into place"])
def test_killed_installation_is_repaired_by_the_next(site: Site, step: str) -> None:
    site.folder.mkdir(parents=True)
    (site.folder / "old").write_bytes(b"")
    assert start_installation(site, step).wait(30) == 9
    site.install()
    assert site.is_whole()
    assert site.leftovers() == []


def test_libraries_that_a_killed_installation_moved_away_come_back(site: Site) -> None:
    site.install()
    (site.folder / "more").write_bytes(b"")
    assert start_installation(site, "moved away").wait(30) == 9
    assert not site.folder.exists()
    outcome = Installer(site.requirements, site.folder, find_no_index, accept).run()
    assert isinstance(outcome, Kept)
    assert (site.folder / LIBRARY).exists()


# Guards against two builds that write into one folder.
def test_installations_at_the_same_time_make_one(site: Site) -> None:
    started = [start_installation(site, "all") for _ in range(3)]
    assert [each.wait(30) for each in started] == [0, 0, 0]
    assert (site.target.parent / "runs").read_text(encoding="utf-8") == "x"
    assert site.is_whole()
    assert site.leftovers() == []


def test_libraries_of_an_empty_folder_cannot_be_used(tmp_path: Path) -> None:
    with pytest.raises(InstallationFailed, match="ModuleNotFoundError"):
        check_imports(tmp_path)


def test_folder_without_record_has_none(tmp_path: Path) -> None:
    assert read_record(tmp_path) is None
