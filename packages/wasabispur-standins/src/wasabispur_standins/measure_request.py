"""Measure the CPU time of entry and agent processes by the request rate."""

from __future__ import annotations

import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

import urllib3

from .measure_fit import fit, Line, Sample
from .measure_process import (
    HOST,
    read_usage,
    running_module,
    share_of_core,
    Usage,
    wait_until_listening,
)
from .measure_stream import agent_settings, entry_settings
from .port import free_port
from .stand_in_process import run_endpoint

CALLERS = 32
"""Threads that send requests."""

SLOTS = 32
"""Slots of the agent; one for each caller, so that the agent refuses no permit."""

BODY = b"x" * 1024

HEADERS = {
    "Wasabispur-Organisation": "peachtree",
    "Wasabispur-Class": "urgent",
    "Wasabispur-Deadline-Ms": "10000",
}


def measure_requests(rates: Sequence[int], seconds: float) -> list[Line]:
    """Return the CPU time of entry and agent by the completed requests per second."""
    http_port, control_port, endpoint_port = (free_port() for _ in range(3))
    entry = entry_settings(http_port, control_port)
    entries = [f"{HOST}:{control_port}"]
    agent = agent_settings(entries, f"http://{HOST}:{endpoint_port}", SLOTS)
    cpu: dict[str, list[Sample]] = {"entry": [], "agent": []}
    with (
        run_endpoint(endpoint_port),
        running_module(entry, "wasabispur", "entry") as entry_pid,
        running_module(agent, "wasabispur_agent") as agent_pid,
    ):
        pids = {"entry": entry_pid, "agent": agent_pid}
        wait_until_listening(http_port)
        wait_until_listening(endpoint_port)
        url = f"http://{HOST}:{http_port}/v1/services/tags/measure"
        send_at(url, 20, 2.0)
        for rate in rates:
            before = {name: read_usage(pid) for name, pid in pids.items()}
            completed = send_at(url, rate, seconds)
            for name, pid in pids.items():
                after = read_usage(pid)
                share = 100 * share_of_core(before[name], after)
                achieved = completed / _elapsed(before[name], after)
                cpu[name].append(Sample(size=round(achieved, 1), value=share))
    return [
        fit(f"busy {name}: CPU time", "% of a core", "request/s", samples)
        for name, samples in cpu.items()
    ]


def send_at(url: str, rate: int, seconds: float) -> int:
    """Send requests at a rate per second and return the number that got status 200."""
    pool = urllib3.PoolManager(maxsize=CALLERS, block=True, retries=False)
    replies: list[Future[int]] = []
    start = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as callers:
        for number in range(int(rate * seconds)):
            time.sleep(max(0.0, start + number / rate - time.monotonic()))
            replies.append(callers.submit(_send, pool, url))
        time.sleep(max(0.0, start + seconds - time.monotonic()))
    return sum(reply.result() == 200 for reply in replies)


def _send(pool: urllib3.PoolManager, url: str) -> int:
    return pool.request("POST", url, body=BODY, headers=HEADERS).status


def _elapsed(before: Usage, after: Usage) -> float:
    return after.time - before.time
