"""Run entries, agents and stand-ins as processes for the job tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from wasabispur_standins.port import free_port

START_TIMEOUT = 20.0
"""Seconds within which an entry has to accept a job."""

POLL_INTERVAL = 0.1
"""Seconds between two checks of a condition."""


def wait_for(condition: Callable[[], Any], seconds: float, description: str) -> Any:
    """Poll a condition and return its first true value; fail after some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL)
    raise AssertionError(f"{description} did not happen within {seconds} s")


class JobSystem:
    """Start the processes of one test and stop each of them by its id."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.pool = urllib3.PoolManager(timeout=5.0, retries=False)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.operators: list[dict[str, Any]] = []

    def start(self, entries: int = 2, workers: int = 2) -> None:
        """Start all processes; close() stops them, also after a failed start."""
        self.table = self.stand_in("table-service", "table")
        self.workers = {
            f"w{i}": self.stand_in("worker", f"worker{i}", "--accelerators", "4")
            for i in range(workers)
        }
        self.http = {f"e{i}": free_port() for i in range(entries)}
        self.control = {f"e{i}": free_port() for i in range(entries)}
        for name in self.http:
            self.start_entry(name)
        for name in self.workers:
            self.start_agent(name)

    def spawn(self, name: str, *command: str, **options: Any) -> None:
        output = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *command], stderr=output, **options
        )
        output.close()

    def stand_in(self, kind: str, name: str, *options: str) -> int:
        """Start a stand-in and return the port that it prints."""
        self.spawn(name, "wasabispur_standins", kind, *options, stdout=subprocess.PIPE)
        stdout = self.processes[name].stdout
        assert stdout is not None
        return int(stdout.readline().split()[-1])

    def start_entry(self, name: str) -> None:
        settings = {
            "entry_id": name,
            "region": "Savannah",
            "data_centre": "dc1",
            "http_port": self.http[name],
            "control_port": self.control[name],
            "http_threads": 8,
            "table_url": f"http://127.0.0.1:{self.table}",
            "operators": self.operators,
        }
        self.spawn(
            name, "wasabispur", "entry", "--settings", self.write(name, settings)
        )

    def start_agent(self, name: str) -> None:
        settings = {
            "agent_id": name,
            "role": "worker",
            "region": "Savannah",
            "data_centre": "dc1",
            "rack": "rack0",
            "entries": [f"127.0.0.1:{port}" for port in self.control.values()],
            "local_url": f"http://127.0.0.1:{self.workers[name]}",
            "accelerators": 4,
            "cores": 8,
            "operators": self.operators,
        }
        self.spawn(name, "wasabispur_agent", "--settings", self.write(name, settings))

    def write(self, name: str, settings: dict[str, Any]) -> str:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return str(path)

    def call(self, port: int, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON response, or None without a response of status 2xx."""
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self.pool.request(
                method, f"http://127.0.0.1:{port}{path}", body=data
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(answer.data) if answer.status < 300 else None

    def submit(self, entry: str, run_time: float, **fields: Any) -> str:
        """Submit a job, retry until the entry accepts it, and return its id."""
        body = {
            "organisation": "peachtree",
            "class": "deferrable",
            "command": json.dumps({"run_time": run_time, "result": "printed"}),
        } | fields
        answer = wait_for(
            lambda: self.call(self.http[entry], "POST", "/v1/jobs", body),
            START_TIMEOUT,
            "the acceptance of the job",
        )
        return str(answer["job_id"])

    def job(self, entry: str, job_id: str) -> dict[str, Any]:
        """Return the job as an entry shows it, or an empty dict."""
        return self.call(self.http[entry], "GET", f"/v1/jobs/{job_id}") or {}

    def wait_state(self, entry: str, job_id: str, state: str, seconds: float) -> Any:
        return wait_for(
            lambda: self.job(entry, job_id).get("state") == state,
            seconds,
            f"state {state} of the job",
        )

    def starts(self, job_id: str) -> list[str]:
        """Return the task ids of all starts of a job at the workers."""
        started = []
        for port in self.workers.values():
            answer = wait_for(
                lambda port=port: self.call(port, "GET", "/starts"), 10, "starts"
            )
            started += [start["task_id"] for start in answer["starts"]]
        return [task_id for task_id in started if task_id.startswith(f"{job_id}.")]

    def running(self, job_id: str) -> list[str]:
        """Return the task ids of a job that are running at the workers."""
        found = []
        for port in self.workers.values():
            answer = self.call(port, "GET", "/v1/tasks") or {"tasks": []}
            found += [t["task_id"] for t in answer["tasks"] if t["state"] == "running"]
        return [task_id for task_id in found if task_id.startswith(f"{job_id}.")]

    def owner(self) -> str:
        """Return the shard's owner from its row, or an empty string."""
        row = self.call(self.table, "GET", "/v1/row?key=shard/dc1")
        return str(row["value"]["owner"]) if row else ""

    def set_faults(self, port: int, *faults: dict[str, Any]) -> None:
        assert self.call(port, "PUT", "/faults", {"faults": list(faults)}) is not None

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].pid, number)

    def close(self) -> None:
        """Kill all processes of this test."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(10)
            if process.stdout is not None:
                process.stdout.close()
