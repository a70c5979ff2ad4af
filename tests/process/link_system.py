"""Run an entry, an agent and an endpoint as processes, with a relay between them."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from threading import Event, Thread

import urllib3

from wasabispur_runtime.timer_service import LoopTimerService
from wasabispur_standins.port import free_port
from wasabispur_standins.relay import Relay, SetFault

HOST = "127.0.0.1"
START_TIMEOUT = 20.0
"""Seconds within which each condition has to hold."""

STOP_TIMEOUT = 20.0
"""Seconds after SIGTERM at which a process that still runs is killed."""


def wait_for(predicate) -> None:
    """Poll a condition until it holds; fail after the time limit."""
    deadline = time.monotonic() + START_TIMEOUT
    while not predicate():
        assert time.monotonic() < deadline, "the condition did not come true in time"
        time.sleep(0.02)


class RelayThread:
    """Run a relay on an event loop in a thread of its own."""

    def __init__(self, target_port) -> None:
        self.target_port = target_port
        self.started = Event()
        self.thread = Thread(target=lambda: asyncio.run(self.main()), daemon=True)
        self.thread.start()
        assert self.started.wait(START_TIMEOUT)

    async def main(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.relay = Relay(LoopTimerService(self.loop), self.target_port)
        self.relay.start()
        while not self.relay.port:
            await asyncio.sleep(0.001)
        self.started.set()
        await self.relay.task

    def fault(self, fault) -> None:
        """Set the fault and wait until the relay has applied it."""
        message = SetFault(fault=fault)
        self.loop.call_soon_threadsafe(self.relay.post, message)
        wait_for(lambda: self.relay.fault is fault and self.relay.mailbox.empty())

    def close(self) -> None:
        asyncio.run_coroutine_threadsafe(self.relay.close(), self.loop).result(10)
        self.thread.join(10)


class LinkSystem:
    """Run an entry, an endpoint with its agent, and a relay between them."""

    def __init__(self, folder: Path, interval: float) -> None:
        self.folder = folder
        self.interval = interval
        self.processes: dict[str, subprocess.Popen] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=8)
        self.callers = ThreadPoolExecutor(8)
        self.http_port, self.control_port = free_port(), free_port()
        self.endpoint_port = free_port()

    def __enter__(self) -> LinkSystem:
        self.relay = RelayThread(self.control_port)
        try:
            self.start_all()
        except BaseException:
            # Without a with block that was entered, nothing else ends the processes.
            self.__exit__()
            raise
        return self

    def start_all(self) -> None:
        """Start the processes, and wait until a request is answered."""
        self.start_entry()
        self.start(
            "endpoint",
            "wasabispur_standins",
            "endpoint",
            "--port",
            str(self.endpoint_port),
        )
        self.start_agent()

    def __exit__(self, *error) -> None:
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.relay.close()
        self.callers.shutdown()

    def start(self, name, *arguments) -> None:
        """Start a Python module as a process with its output in a log file."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=log, stderr=log
        )

    def start_entry(self) -> None:
        settings = {
            "entry_id": "entry-1",
            "region": "Atlanta",
            "data_centre": "a1",
            "http_port": self.http_port,
            "control_port": self.control_port,
            "heartbeat_interval": self.interval,
        }
        self.start_binary("wasabispur", "entry", settings, ["entry"])

    def start_agent(self) -> None:
        settings = {
            "agent_id": "agent-1",
            "role": "endpoint",
            "region": "Atlanta",
            "data_centre": "a1",
            "entries": [f"{HOST}:{self.relay.relay.port}"],
            "local_url": f"http://{HOST}:{self.endpoint_port}",
            "service": "tags",
        }
        self.start_binary("wasabispur_agent", "agent", settings, [])
        wait_for(lambda: self.events("entry", 201))
        wait_for(lambda: self.call("/warm").status == 200)

    def start_binary(self, module, name, settings, arguments) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, module, *arguments, "--settings", str(path))

    def events(self, name, number) -> int:
        """Return how often a process has logged the event with a number."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        records = [json.loads(line)["record"] for line in lines if line[:1] == "{"]
        return sum(record["extra"].get("event") == number for record in records)

    def call(self, path, deadline_ms=15_000) -> urllib3.BaseHTTPResponse:
        """Send one request to the entry and return its response."""
        return self.http.request(
            "POST",
            f"http://{HOST}:{self.http_port}/v1/services/tags{path}",
            body=path.encode(),
            headers={
                "Wasabispur-Organisation": "peachtree",
                "Wasabispur-Class": "urgent",
                "Wasabispur-Deadline-Ms": str(deadline_ms),
            },
        )

    def call_later(self, path) -> Future:
        """Send one request from a thread and return its future response."""
        return self.callers.submit(self.call, path)

    def runs(self, path) -> list[dict]:
        """Return the runs under a path that the endpoint recorded."""
        url = f"http://{HOST}:{self.endpoint_port}/runs?path={path}"
        return self.http.request("GET", url).json()["runs"]

    def metrics(self) -> list[dict]:
        """Return the metric series that the entry reports."""
        url = f"http://{HOST}:{self.http_port}/v1/metrics"
        return self.http.request("GET", url).json()["series"]
