"""Test the demo as a process and check that it leaves no child processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from uuid import uuid4

import psutil
import pytest

from wasabispur_standins.process import wait_for

DEMO_TIMEOUT = 180.0
"""Seconds within which the demo has to end."""

MARK_VARIABLE = "DEMO_TEST_MARK"
"""Environment variable that identifies the demo and its child processes."""


class Demo:
    """Run a demo whose processes share a mark in their environment."""

    def __init__(self, tmp_path, **environment: str) -> None:
        self.mark = uuid4().hex
        self.output = tmp_path / "demo.out"
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wasabispur_standins", "demo"],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    MARK_VARIABLE: self.mark,
                    "TMPDIR": str(tmp_path),
                    **environment,
                },
            )

    def text(self) -> str:
        """Return the output of the demo so far."""
        return self.output.read_text(encoding="utf-8")

    def remaining(self) -> list[psutil.Process]:
        """Return the live processes with the mark of the demo."""
        found = []
        for process in psutil.process_iter():
            try:
                if process.environ().get(MARK_VARIABLE) == self.mark:
                    found.append(process)
            except psutil.Error:
                continue
        return found


@pytest.fixture
def start(tmp_path):
    """Provide a function that starts demos; kill their remaining processes by id."""
    demos = []

    def start_demo(**environment: str) -> Demo:
        demos.append(Demo(tmp_path, **environment))
        return demos[-1]

    yield start_demo
    for demo in demos:
        demo.process.kill()
        demo.process.wait()
        for process in demo.remaining():
            process.kill()


def test_the_demo_shows_its_paths_and_leaves_no_process(start):
    """Guard against a demo that fails, hangs or leaves processes behind."""
    demo = start()
    assert demo.process.wait(DEMO_TIMEOUT) == 0, demo.text()
    assert "Request: completed" in demo.text()
    assert "it ran once" in demo.text()
    assert "completed as entry-alberta shows; 2 tasks started once" in demo.text()
    for process in ("entry-manitoba", "entry-alberta", "agent-worker-alberta-1"):
        assert f"version 1 in force on {process}" in demo.text()
    assert demo.text().endswith("All processes have ended.\n")
    assert demo.remaining() == []


def test_an_interrupted_demo_leaves_no_process(start):
    """Guard against child processes that outlive an interrupted demo."""
    demo = start()
    wait_for("the start", lambda: "Started" in demo.text(), limit=DEMO_TIMEOUT)
    assert len(demo.remaining()) > 5
    demo.process.send_signal(signal.SIGTERM)
    assert demo.process.wait(DEMO_TIMEOUT) == 130, demo.text()
    assert demo.remaining() == []
    assert "Traceback" not in demo.text()


def test_a_failed_demo_leaves_no_process(start):
    """Guard against child processes that outlive a demo with a failed start."""
    demo = start(WASABISPUR_HEARTBEAT_INTERVAL="-1")
    assert demo.process.wait(DEMO_TIMEOUT) == 1, demo.text()
    assert "error: process entry-manitoba ended with code 3" in demo.text()
    assert demo.remaining() == []
    assert "Traceback" not in demo.text()
