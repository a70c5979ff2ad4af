"""Start the system of the demo: two regions on loopback."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import urllib3

from wasabispur.entry_settings import EntrySettings
from wasabispur_agent.agent_settings import AgentSettings
from wasabispur_runtime.settings import Settings

from .process import (
    free_ports,
    ProcessError,
    ProcessGroup,
    READY_LIMIT,
    ValueT,
    wait_for,
)

ENTRY = "wasabispur"
AGENT = "wasabispur_agent"

HEARTBEAT_INTERVAL = 0.5
ACCELERATORS = 8
WORKERS = 2
"""Workers of each region and accelerators of each worker."""

SERVICE = "dispatch-planner"

REGIONS = {"manitoba": "winnipeg", "alberta": "calgary"}
"""The data centre of each region."""

COMMAND_LIMIT = 60.0
"""Seconds that one command of the operators' command line may take."""

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold the addresses of one entry."""

    name: str
    region: str
    http_port: int
    control_port: int

    @property
    def url(self) -> str:
        """Return the HTTP address."""
        return f"http://127.0.0.1:{self.http_port}"

    @property
    def control_address(self) -> str:
        """Return the address that agents dial."""
        return f"127.0.0.1:{self.control_port}"


@dataclass(slots=True)
class DemoSystem:
    """Hold the processes of the demo and call them."""

    group: ProcessGroup
    entries: list[Entry] = field(default_factory=list)
    agents: list[str] = field(default_factory=list)
    operators: list[Body] = field(default_factory=list)
    endpoint_urls: list[str] = field(default_factory=list)
    worker_urls: list[str] = field(default_factory=list)
    http: urllib3.PoolManager = field(default_factory=urllib3.PoolManager)

    def start(self) -> None:
        """Start the stand-ins, the entries and the agents."""
        table = self.group.start_stand_in("table-service", "table-service")
        objects = self.group.start_stand_in("object-store", "object-store")
        ports = free_ports(2 * len(REGIONS))
        for number, region in enumerate(REGIONS):
            http_port, control_port = ports[2 * number : 2 * number + 2]
            entry = Entry(f"entry-{region}", region, http_port, control_port)
            self.entries.append(entry)
        for entry in self.entries:
            self.start_entry(entry, table.url, objects.url)
        for region in REGIONS:
            self.start_agent_of_endpoint(region)
            for number in range(WORKERS):
                self.start_agent_of_worker(region, number)
        for entry in self.entries:
            self.wait(entry.name, partial(self.healthy, entry.url))

    def start_entry(self, entry: Entry, table_url: str, object_url: str) -> None:
        """Start one entry, which serves the jobs of every data centre."""
        settings = {
            "entry_id": entry.name,
            "region": entry.region,
            "data_centre": REGIONS[entry.region],
            "http_port": entry.http_port,
            "control_port": entry.control_port,
            "heartbeat_interval": HEARTBEAT_INTERVAL,
            "table_url": table_url,
            "object_url": object_url,
            "shards": sorted(REGIONS.values()),
            "operators": self.operators,
        }
        self.group.start_with_settings(
            entry.name, ENTRY, known_fields(EntrySettings, settings), "entry"
        )

    def start_agent_of_endpoint(self, region: str) -> None:
        """Start an endpoint with its agent."""
        stand_in = self.group.start_stand_in(f"endpoint-{region}", "endpoint")
        self.endpoint_urls.append(stand_in.url)
        settings = {
            "role": "endpoint",
            "service": SERVICE,
            "slots": 8,
            "local_url": stand_in.url,
        }
        self.start_agent(f"agent-endpoint-{region}", region, settings)

    def start_agent_of_worker(self, region: str, number: int) -> None:
        """Start a worker with its agent."""
        stand_in = self.group.start_stand_in(
            f"worker-{region}-{number}", "worker", "--accelerators", str(ACCELERATORS)
        )
        self.worker_urls.append(stand_in.url)
        settings = {
            "role": "worker",
            "rack": "rack-1",
            "accelerators": ACCELERATORS,
            "cores": 32,
            "memory": 128 * 1024**3,
            "local_url": stand_in.url,
        }
        self.start_agent(f"agent-worker-{region}-{number}", region, settings)

    def start_agent(self, name: str, region: str, settings: Body) -> None:
        """Start an agent that dials every entry."""
        common = {
            "agent_id": name,
            "region": region,
            "data_centre": REGIONS[region],
            "entries": [entry.control_address for entry in self.entries],
            "operators": self.operators,
        }
        self.group.start_with_settings(
            name, AGENT, known_fields(AgentSettings, {**common, **settings})
        )
        self.agents.append(name)

    def wait(
        self,
        what: str,
        look: Callable[[], ValueT | None],
        limit: float = READY_LIMIT,
    ) -> ValueT:
        """Wait for a result; raise ProcessError if a process ends meanwhile."""
        return wait_for(what, look, *self.group.children, limit=limit)

    def healthy(self, url: str) -> bool:
        """Return whether an entry answers."""
        try:
            return (
                self.http.request("GET", f"{url}/healthz", retries=False).status == 200
            )
        except urllib3.exceptions.HTTPError:
            return False

    def call(self, method: str, url: str, body: Body | None = None) -> tuple[int, Body]:
        """Return the status and the JSON body of an answer."""
        data = None if body is None else json.dumps(body)
        answer = self.http.request(method, url, body=data, retries=False, timeout=30.0)
        return answer.status, json.loads(answer.data)

    def command(self, entry: Entry, *arguments: str) -> Body:
        """Return the JSON that a command of the operators' command line prints."""
        return run_command([*arguments, "--entry", entry.url, "--output", "json"])


def known_fields(model: type[Settings], settings: Body) -> Body:
    """Return the settings that a model has."""
    return {name: settings[name] for name in settings if name in model.model_fields}


def run_command(arguments: Sequence[str]) -> Body:
    """Run the wasabispur command and return the JSON that it prints."""
    command = [sys.executable, "-m", ENTRY, *arguments]
    run = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_LIMIT)
    if run.returncode != 0:
        raise ProcessError(
            f"'wasabispur {' '.join(arguments[:2])}' ended with code "
            f"{run.returncode}: {run.stderr.strip()}",
            "see the message of the command",
        )
    value: Body = json.loads(run.stdout)
    return value
