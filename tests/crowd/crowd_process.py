"""Start processes of the system with lowered limits and measure their memory."""

from __future__ import annotations

import os
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPException, HTTPResponse
from pathlib import Path

import urllib3

from wasabispur_platform_standin.system import HOST, LEASE_MS, SETTINGS, SOURCES
from wasabispur_standins.measure_process import unread_bytes
from wasabispur_standins.process import Child, free_ports, ProcessGroup, wait_for

MEMORY_MB = 128
"""Memory of the smallest machine in the deployments in force."""

MAX_FDS = 4100
FILE_FDS = 200
"""Descriptors that a deployment reserves for files."""

CLIENT_TIMEOUT = 10.0
"""Seconds after which an ordinary client gives a request up."""

SERVED_LIMIT = 60.0
"""Seconds of attempts after which an ordinary request counts as not served."""

PAUSE = 1.0
"""Seconds between the two parts of a body on a slow link."""

PART = b"y" * 1000
Answer = tuple[int, bytes]
"""Status and body of a response."""


ENTRY_PORTS = ("front", "ready", "metrics")
AGENT_PORTS = ("control", "metrics")
"""HTTP ports of the entry and the agent of the platform.

The product's own entry has one, "http", beside its control port.
"""


@dataclass(slots=True)
class CrowdProcess:
    """Run one process; ports maps the names of its HTTP ports to their numbers.

    control_port is the one for agents, which only the product's own entry has.
    expected and expected_parts contain the responses in calm.
    """

    group: ProcessGroup
    role: str
    ports: dict[str, int] = field(default_factory=dict)
    control_port: int = 0
    child: Child = field(init=False)
    peak: int = 0
    expected: dict[str, Answer] = field(default_factory=dict)
    expected_parts: dict[str, Answer] = field(default_factory=dict)

    def __post_init__(self) -> None:
        start: dict[str, Callable[[], Child]] = {
            "entry": lambda: self._start_on_platform(ENTRY_PORTS),
            "agent": lambda: self._start_on_platform(AGENT_PORTS),
            "service": self._start_own_entry,
        }
        self.child = start[self.role]()
        for name in self.ports:
            self.expected[name] = wait_for(
                f"port {name}", lambda name=name: self.ask(name), self.child
            )
            calm = self.ask_in_parts(name, pause=0)
            assert calm is not None
            self.expected_parts[name] = calm

    def _start_on_platform(self, names: tuple[str, ...]) -> Child:
        *ports, store = free_ports(len(names) + 1)
        self.ports = dict(zip(names, ports, strict=True))
        listen = {n: port for n, port in self.ports.items() if n != "metrics"}
        settings = SETTINGS.format(
            name=self.role,
            host=HOST,
            metrics=self.ports["metrics"],
            listen="\n".join(f'{n} = "{HOST}:{p}"' for n, p in listen.items()),
            store=f"{HOST}:{store}",
            lease_ms=LEASE_MS,
        )
        limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
        path = self.group.directory / "node.toml"
        path.write_text(settings + limits, encoding="utf-8")
        python_path = os.pathsep.join([str(SOURCES), os.environ.get("PYTHONPATH", "")])
        return self.group.start(
            self.role,
            [sys.executable, "-m", "wasabispur_platform", self.role],
            {"WASABISPUR_NODE_FILE": str(path), "PYTHONPATH": python_path},
        )

    def _start_own_entry(self) -> Child:
        http, self.control_port = free_ports(2)
        self.ports = {"http": http}
        settings = {
            "entry_id": "entry-1",
            "region": "Atlanta",
            "data_centre": "a1",
            "http_port": http,
            "control_port": self.control_port,
            "session_limit": 100,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
        }
        return self.group.start_with_settings(
            self.role, "wasabispur", settings, "entry"
        )

    def ask(self, name: str) -> Answer | None:
        """Return the response to an ordinary request on a new connection."""
        url = f"http://{HOST}:{self.ports[name]}/no/route"
        with urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT) as http:
            try:
                response = http.request("GET", url)
            except urllib3.exceptions.HTTPError:
                return None
        return response.status, response.data

    def ask_in_parts(self, name: str, pause: float = PAUSE) -> Answer | None:
        """Return the response to a request whose body comes in two parts."""
        head = b"POST /no/route HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        address = (HOST, self.ports[name])
        with (
            suppress(OSError, HTTPException),
            socket.create_connection(address, CLIENT_TIMEOUT) as client,
        ):
            client.sendall(head % (2 * len(PART)) + PART)
            time.sleep(pause)
            client.sendall(PART)
            response = HTTPResponse(client)
            response.begin()
            return response.status, response.read()
        return None

    def answers(self, name: str) -> bool:
        """Return whether an ordinary request has the same response as in calm."""
        return self.ask(name) == self.expected[name]

    def answers_parts(self, name: str) -> bool:
        """Return whether a body in two parts has the same response as in calm."""
        return self.ask_in_parts(name) == self.expected_parts[name]

    def check_served(self) -> None:
        """Check that an ordinary request to each port is answered."""
        for name in self.ports:
            wait_for(
                f"an ordinary response of {name}",
                lambda name=name: self.answers(name),
                self.child,
                limit=SERVED_LIMIT,
            )

    def sample(self) -> None:
        """Read the memory as the platform counts it, and keep the largest value."""
        self.child.require_running()
        self.peak = max(self.peak, self._resident() + self._unread())

    def check_resources(self) -> None:
        """Check the peak of the memory and the number of open descriptors."""
        self.sample()
        assert self.peak <= MEMORY_MB * 2**20, f"{self.peak / 2**20:.0f} MB at the peak"
        descriptors = len(os.listdir(f"/proc/{self.child.pid}/fd"))
        assert descriptors <= MAX_FDS - FILE_FDS

    def _resident(self) -> int:
        status = Path(f"/proc/{self.child.pid}/status").read_text("ascii").splitlines()
        line = next(line for line in status if line.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    def _unread(self) -> int:
        return unread_bytes((*self.ports.values(), self.control_port))
