"""Start the processes of the demo: two regions on loopback."""

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
    READY_TIMEOUT,
    ValueT,
    wait_for,
)

ENTRY = "wasabispur"
AGENT = "wasabispur_agent"

HEARTBEAT_INTERVAL = 0.5
"""Seconds."""

ACCELERATORS = 8
"""Accelerators of each worker."""

WORKERS = 2
"""Workers in each region."""

SERVICE = "dispatch-planner"

REGIONS = {"manitoba": "winnipeg", "alberta": "calgary"}
"""Data centre by region."""

COMMAND_TIMEOUT = 60.0
"""Seconds after which a command of the wasabispur command line is aborted."""

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Entry:
    """Describe the name and the addresses of one entry instance."""

    name: str
    region: str
    http_port: int
    control_port: int

    @property
    def url(self) -> str:
        """Return the base URL of the HTTP API."""
        return f"http://127.0.0.1:{self.http_port}"

    @property
    def control_address(self) -> str:
        """Return the address to which agents connect."""
        return f"127.0.0.1:{self.control_port}"


@dataclass(slots=True)
class DemoSystem:
    """Start the processes of the demo and send calls to them."""

    group: ProcessGroup
    entries: list[Entry] = field(default_factory=list)
    agents: list[str] = field(default_factory=list)
    operators: list[Body] = field(default_factory=list)
    endpoint_urls: list[str] = field(default_factory=list)
    worker_urls: list[str] = field(default_factory=list)
    http: urllib3.PoolManager = field(default_factory=urllib3.PoolManager)

    def start(self) -> None:
        """Start the stand-ins, the entries and the agents; wait for healthy entries."""
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
        """Start one entry that may own the job shard of every data centre."""
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
        """Start an agent that connects to every entry."""
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
        description: str,
        condition: Callable[[], ValueT | None],
        limit: float = READY_TIMEOUT,
    ) -> ValueT:
        """Return the first result of a check, as wait_for does.

        Raise ProcessError after the time limit, or if a child process ends meanwhile.
        """
        return wait_for(description, condition, *self.group.children, limit=limit)

    def healthy(self, url: str) -> bool:
        """Return whether an entry answers its health check with status 200."""
        try:
            return (
                self.http.request("GET", f"{url}/healthz", retries=False).status == 200
            )
        except urllib3.exceptions.HTTPError:
            return False

    def call(self, method: str, url: str, body: Body | None = None) -> tuple[int, Body]:
        """Send a request and return the status and the JSON body of the response."""
        data = None if body is None else json.dumps(body)
        answer = self.http.request(method, url, body=data, retries=False, timeout=30.0)
        return answer.status, json.loads(answer.data)

    def command(self, entry: Entry, *arguments: str) -> Body:
        """Run a wasabispur command against an entry and return its JSON output."""
        return run_command([*arguments, "--entry", entry.url, "--output", "json"])


def known_fields(model: type[Settings], settings: Body) -> Body:
    """Return only the settings that are fields of the model."""
    return {name: settings[name] for name in settings if name in model.model_fields}


def run_command(arguments: Sequence[str]) -> Body:
    """Run a wasabispur command and return its JSON output.

    Raise ProcessError if the command fails.
    """
    command = [sys.executable, "-m", ENTRY, *arguments]
    run = subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT
    )
    if run.returncode != 0:
        raise ProcessError(
            f"'wasabispur {' '.join(arguments[:2])}' ended with code "
            f"{run.returncode}: {run.stderr.strip()}",
            "see the command's error message",
        )
    value: Body = json.loads(run.stdout)
    return value
