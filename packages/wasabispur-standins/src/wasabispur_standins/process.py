"""Start and stop child processes for the demo and the process tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

from wasabispur_core.error import WasabispurError

from .port import free_port

READY_TIMEOUT = 30.0
"""Default seconds within which a condition has to come true."""

STOP_TIMEOUT = 10.0
"""Seconds after SIGTERM at which a process that still runs is killed."""

POLL_INTERVAL = 0.05
"""Seconds between two checks of a condition."""

OUTPUT_LINES = 5
"""Number of last lines of a process's output that an error message contains."""

ValueT = TypeVar("ValueT")


class ProcessError(WasabispurError):
    """Report a failed process, or a condition that did not come true in time."""


@dataclass(slots=True)
class Child:
    """Represent a started process and the file with its output."""

    name: str
    process: subprocess.Popen[bytes]
    output_path: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def output(self) -> str:
        """Return the output of the process so far."""
        return self.output_path.read_text(encoding="utf-8", errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def require_running(self) -> None:
        """Raise ProcessError if the process has ended."""
        code = self.process.poll()
        if code is None:
            return
        tail = "\n".join(self.output().splitlines()[-OUTPUT_LINES:])
        raise ProcessError(
            f"process {self.name} ended with code {code}: {tail}",
            f"see {self.output_path}",
        )

    def stop(self, limit: float = STOP_TIMEOUT) -> int:
        """Stop the process and return its exit code.

        SIGTERM is followed by SIGKILL after limit seconds.
        """
        # A process paused by SIGSTOP handles no SIGTERM until it is resumed.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            return self.process.wait()


class ProcessGroup:
    """Manage child processes and stop all of them, the latest first, on exit."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.children: list[Child] = []

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Start a process whose output goes to the file NAME.out in the directory."""
        path = self.directory / f"{name}.out"
        with path.open("wb") as output:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
                cwd=self.directory,
                start_new_session=True,
            )
        child = Child(name, process, path)
        self.children.append(child)
        return child

    def start_module(self, name: str, module: str, *arguments: str) -> Child:
        """Start a Python module."""
        return self.start(name, [sys.executable, "-m", module, *arguments])

    def start_with_settings(
        self, name: str, module: str, settings: Mapping[str, Any], *arguments: str
    ) -> Child:
        """Start a Python module with a settings file."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self.start_module(name, module, *arguments, "--settings", str(path))

    def start_stand_in(self, name: str, kind: str, *options: str) -> StandInChild:
        """Start a stand-in on a port chosen by the system and wait until it serves."""
        arguments = (kind, "--port", "0", *options)
        child = self.start_module(name, "wasabispur_standins", *arguments)
        port = wait_for(f"the port of {name}", lambda: printed_port(child), child)
        return StandInChild(child, port)

    def close(self) -> None:
        """Stop all processes, the latest first, even if stopping one of them fails."""
        try:
            self._stop_all()
        finally:
            # An interrupt during the first pass can leave a process running.
            self._stop_all()
        self.children.clear()

    def _stop_all(self) -> None:
        with ExitStack() as stack:
            for child in self.children:
                stack.callback(child.stop)


@dataclass(frozen=True, slots=True)
class StandInChild:
    """Represent a started stand-in and its port."""

    child: Child
    port: int

    @property
    def url(self) -> str:
        """Return the base URL of the stand-in."""
        return f"http://127.0.0.1:{self.port}"


def printed_port(child: Child) -> int | None:
    """Return the port that a stand-in has printed, or None before that."""
    for line in child.output().splitlines():
        words = line.split()
        if len(words) == 3 and words[1] == "port" and words[2].isdigit():
            return int(words[2])
    return None


def wait_for(
    description: str,
    condition: Callable[[], ValueT | None],
    *children: Child,
    limit: float = READY_TIMEOUT,
) -> ValueT:
    """Poll until a result is neither None nor False, and return it.

    Raise ProcessError after limit seconds, or if a child has ended.
    """
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = condition()
        if value is not None and value is not False:
            return value
        for child in children:
            child.require_running()
        time.sleep(POLL_INTERVAL)
    raise ProcessError(
        f"timed out after {limit:g} s while waiting for {description}",
        "see the output files of the processes, or run fewer processes at once",
    )


def free_ports(number: int) -> list[int]:
    """Return unbound ports that no other process of this user chooses."""
    return [free_port() for _ in range(number)]
