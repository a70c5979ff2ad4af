"""Run an endpoint stand-in as a child process."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def run_endpoint(port: int) -> Iterator[int]:
    """Run an endpoint stand-in on a port and yield its process id."""
    command = ["-m", "wasabispur_standins", "endpoint", "--port", str(port)]
    process = subprocess.Popen(
        [sys.executable, *command],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process.pid
    finally:
        process.terminate()
        process.wait()
