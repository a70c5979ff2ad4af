"""Test that hostile traffic neither stops a process nor exhausts its resources.

Each test starts a process of its own, because traffic may leave it in a bad state.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import sys
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest
import urllib3

from wasabispur_platform_standin.system import (
    API_KEY,
    HOST,
    LEASE_MS,
    PlatformSystem,
    PREFIX,
    ROUTE_HOST,
    SETTINGS,
    SOURCES,
)
from wasabispur_standins.measure_process import listening_ports, unread_bytes
from wasabispur_standins.process import Child, free_ports, ProcessGroup, wait_for

from .hostile_clients import (
    chunked_trickles,
    HostileClients,
    idle_connections,
    KINDS,
    short_bodies,
    slow_readers,
)

MAX_FDS = 400
FILE_FDS = 200
"""Descriptors that a deployment reserves for files."""

MEMORY_MB = 128
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"

CLIENT_TIMEOUT = 3.0
"""Seconds after which a client gives a request up."""

SERVED_LIMIT = 10.0
"""Seconds of attempts after which an ordinary request counts as not served."""

GRACE_TIME = 6.0
"""Seconds after SIGTERM at which the platform kills a process."""

JOB = b'{"spec": "1", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 10}]}'
LEGAL_BODY_BYTES = 262_144
"""Largest body that clients may always send."""

REQUESTS = {
    "front": ("POST", f"{PREFIX}00000000000000a1", JOB.ljust(LEGAL_BODY_BYTES)),
    "ready": ("GET", "/v1/ready", None),
    "control": ("POST", "/v1/instances/i-0/heartbeat", b"{}".ljust(LEGAL_BODY_BYTES)),
    "metrics": ("GET", "/metrics", None),
}
"""An ordinary request for each port."""

PORTS = (
    ("entry", "front"),
    ("entry", "ready"),
    ("entry", "metrics"),
    ("agent", "control"),
    ("agent", "metrics"),
)


class Node:
    """Run one process of the platform whose store can't be reached.

    expected is the response of each port before the hostile traffic.
    """

    def __init__(self, group: ProcessGroup, role: str) -> None:
        names = ("front", "ready") if role == "entry" else ("control",)
        *ports, metrics, store = free_ports(len(names) + 2)
        self.ports = dict(zip(names, ports, strict=True))
        settings = SETTINGS.format(
            name=role,
            host=HOST,
            metrics=metrics,
            listen="\n".join(f'{n} = "{HOST}:{p}"' for n, p in self.ports.items()),
            store=f"{HOST}:{store}",
            lease_ms=LEASE_MS,
        )
        self.ports["metrics"] = metrics
        python_path = os.pathsep.join([str(SOURCES), os.environ.get("PYTHONPATH", "")])
        path = group.directory / "node.toml"
        path.write_text(settings + LIMITS, encoding="utf-8")
        self.child = group.start(
            role,
            [sys.executable, "-m", "wasabispur_platform", role],
            {"WASABISPUR_NODE_FILE": str(path), "PYTHONPATH": python_path},
        )
        limit_descriptors(self.child)
        self.expected = {
            name: wait_for(f"port {name}", lambda name=name: self.ask(name), self.child)
            for name in self.ports
        }

    def ask(self, name: str) -> tuple[int, bytes] | None:
        """Return status and body of an ordinary request on a new connection."""
        method, path, body = REQUESTS[name]
        url = f"http://{HOST}:{self.ports[name]}{path}"
        headers = {"Host": ROUTE_HOST, "Authorization": f"Bearer {API_KEY}"}
        with urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT) as http:
            try:
                response = http.request(method, url, body=body, headers=headers)
            except urllib3.exceptions.HTTPError:
                return None
        return response.status, b"" if name == "metrics" else response.data

    def check_served(self) -> None:
        """Check that an ordinary request to each port is handled as before."""
        for name, expected in self.expected.items():
            wait_for(
                f"an ordinary response of {name}",
                lambda name=name, expected=expected: self.ask(name) == expected,
                self.child,
                limit=SERVED_LIMIT,
            )


def limit_descriptors(child: Child) -> None:
    """Lower the number of descriptors that the process may have."""
    resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def check_resources(child: Child) -> None:
    """Check the memory and the number of open sockets.

    The platform counts the resident set, here its peak, and the unread bytes.
    """
    child.require_running()
    status = Path(f"/proc/{child.pid}/status").read_text("ascii").splitlines()
    peak = next(line.split()[1] for line in status if line.startswith("VmHWM"))
    unread = unread_bytes(listening_ports(child.pid))
    assert int(peak) * 1024 + unread < MEMORY_MB * 2**20
    assert count_sockets(child.pid) <= MAX_FDS - FILE_FDS


def count_sockets(pid: int) -> int:
    """Return the number of open sockets of a process."""
    count = 0
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            count += os.readlink(descriptor).startswith("socket:")
    return count


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
@pytest.mark.parametrize(("role", "port"), PORTS)
def test_process_withstands_hostile_traffic(tmp_path, role, port, kind):
    """Guard against clients that exhaust a process's threads, memory or descriptors.

    All ports of the process are asked, since traffic at one must not disturb others.
    """
    with ProcessGroup(tmp_path) as group:
        node = Node(group, role)
        clients = HostileClients(node.ports[port])
        try:
            kind(clients)
            check_resources(node.child)
            node.check_served()
            check_resources(node.child)
        finally:
            clients.close()
        node.check_served()
        assert "Traceback" not in node.child.output()


@pytest.mark.parametrize(
    "kind", [idle_connections, short_bodies, slow_readers], ids=lambda k: k.__name__
)
def test_jobs_are_run_during_hostile_traffic(tmp_path, kind):
    """Guard against traffic at one port that stops jobs or heartbeats."""
    with ProcessGroup(tmp_path) as group:
        system = PlatformSystem(group, entries=1, workers=1, limits=LIMITS)
        for name in ("entry-0", "agent-0"):
            limit_descriptors(system.children[name])
        system.wait_ready()
        address = system.front_addresses["entry-0"]
        clients = HostileClients(int(address.partition(":")[2]))
        try:
            kind(clients)
            wait_for(
                "the acceptance",
                lambda: system.submit("entry-0", "00000000000000a1").status == 200,
            )
            wait_for(
                "the end",
                lambda: system.state("entry-0", "00000000000000a1") == "completed",
            )
        finally:
            clients.close()
        check_resources(system.children["entry-0"])


def test_refusals_are_counted_and_logged(tmp_path):
    """Guard against traffic that operators can't see."""
    with ProcessGroup(tmp_path) as group:
        node = Node(group, "entry")
        with socket.create_connection((HOST, node.ports["front"])) as client:
            client.sendall(b"nonsense\r\n\r\n")
            assert client.recv(100).startswith(b"HTTP/1.1 400 ")
        http = urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT)
        url = f"http://{HOST}:{node.ports['metrics']}/metrics"
        text = http.request("GET", url).data.decode()
        assert 'http_refusals{actor="front",cause="malformed"} 1' in text
        assert '"event": 120' in node.child.output()


def test_planned_stop_is_not_delayed_by_incomplete_requests(tmp_path):
    """Guard against a stop that waits for each server in turn beyond the grace time."""
    with ProcessGroup(tmp_path) as group:
        node = Node(group, "entry")
        with ExitStack() as stack:
            for port in node.ports.values():
                clients = HostileClients(port)
                stack.callback(clients.close)
                chunked_trickles(clients)
            node.child.signal(signal.SIGTERM)
            assert node.child.process.wait(GRACE_TIME) == 0
