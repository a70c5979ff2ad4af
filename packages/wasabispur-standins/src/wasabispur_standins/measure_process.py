"""Start the processes under measurement and read their CPU time and memory."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import psutil

HOST = "127.0.0.1"
STOP_TIMEOUT = 20.0
"""Seconds after SIGTERM at which a process that still runs is killed."""

START_TIMEOUT = 20.0
"""Seconds within which a process has to listen on its port."""

LISTEN_STATE = "0A"
"""State of a listening socket, whose queue counts connections and not bytes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Represent the resource usage of a process at one moment.

    Time is monotonic time and cpu the CPU time since the start of the process, both
    in seconds; memory is the resident set size in bytes.
    """

    time: float
    cpu: float
    memory: int


def read_usage(pid: int) -> Usage:
    """Return the current resource usage of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(
        time=time.monotonic(),
        cpu=times.user + times.system,
        memory=process.memory_info().rss,
    )


def listening_ports(pid: int) -> set[int]:
    """Return the TCP ports on which a process accepts connections."""
    connections = psutil.Process(pid).net_connections("tcp")
    return {one.laddr.port for one in connections if one.status == psutil.CONN_LISTEN}


def unread_bytes(ports: Collection[int]) -> int:
    """Return what clients sent to ports of this machine and nobody has read yet.

    It includes connections that are not yet accepted. The fields of a line are a
    number, the local address, the remote one, the state, and the two queues.
    """
    wanted = {f"{port:04X}" for port in ports}
    total = 0
    for line in Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state != LISTEN_STATE and local[-4:] in wanted:
            total += int(queues.partition(":")[2], 16)
    return total


def share_of_core(before: Usage, after: Usage) -> float:
    """Return the share of one core that a process used between two readings."""
    return (after.cpu - before.cpu) / (after.time - before.time)


@contextmanager
def running_module(settings: dict[str, object], *arguments: str) -> Iterator[int]:
    """Run a module with a settings file; yield its process id and stop it on exit."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments, "--settings", str(path)],
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process.pid
        finally:
            _stop(process)


def wait_until_listening(port: int) -> None:
    """Wait until a process listens on the port; raise TimeoutError after the limit."""
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f"no process listens on port {port} after {START_TIMEOUT:g} s")


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
