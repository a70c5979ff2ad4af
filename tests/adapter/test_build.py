"""Test that a build can run while processes of an earlier build are starting."""

from __future__ import annotations

import os
import shutil
import subprocess
from hashlib import sha256
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
SOURCES = ("packages", "platform", "deploy", "constraints.txt")
KEPT = Path("target/deps/wasabispur_core/timer.py")
CHANGED = Path("wasabispur_core/workload/planning/planner.py")


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a copy of the sources in which the build skips installing libraries."""
    for name in SOURCES:
        source = ROOT / name
        if source.is_dir():
            skip = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, tmp_path / name, ignore=skip)
        else:
            shutil.copy(source, tmp_path / name)
    (tmp_path / "target/deps").mkdir(parents=True)
    wanted = sha256()
    for name in ("constraints.txt", "deploy/requirements.txt"):
        wanted.update((tmp_path / name).read_bytes())
    (tmp_path / "target/installed").write_text(f"{wanted.hexdigest()}  -\n")
    return tmp_path


def build(checkout: Path) -> None:
    """Run deploy/build in the checkout."""
    subprocess.run(["bash", "deploy/build"], cwd=checkout, check=True, timeout=120)


def test_build_leaves_unchanged_modules_in_place(checkout: Path) -> None:
    """Guard against a build that removes all modules first.

    Processes that are starting at that time fail on their imports.
    """
    build(checkout)
    planner = checkout / "packages/wasabispur-core/src" / CHANGED
    planner.write_text(planner.read_text() + "\n# changed\n")
    with (checkout / KEPT).open() as module:
        build(checkout)
        assert os.fstat(module.fileno()).st_nlink, "the module was removed"
    assert "# changed" in (checkout / "target/deps" / CHANGED).read_text()


def test_build_removes_modules_that_left_the_sources(checkout: Path) -> None:
    """Guard against stale modules, which would hide a broken import."""
    build(checkout)
    (checkout / "packages/wasabispur-core/src" / CHANGED).unlink()
    build(checkout)
    installed = checkout / "target/deps" / CHANGED
    assert not installed.exists()
    assert not list((installed.parent / "__pycache__").glob("planner.*"))
