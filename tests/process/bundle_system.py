"""Run a table service, entries and agents in three regions for the bundle tests."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from wasabispur_standins.port import free_port

from .forwarder import Forwarder

START_TIMEOUT = 30.0
STOP_TIMEOUT = 10.0
COMMAND_TIMEOUT = 30.0
POLL_INTERVAL = 0.05
"""Seconds."""

REGION_OF = {
    "entry-a": "atlanta",
    "entry-b": "savannah",
    "agent-a": "atlanta",
    "agent-b": "savannah",
    "agent-c": "macon",
}
ENTRIES = ("entry-a", "entry-b")
AGENTS = ("agent-a", "agent-b", "agent-c")


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the command line and return its result."""
    return subprocess.run(
        [sys.executable, "-m", "wasabispur", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT,
        check=False,
    )


class BundleSystem:
    """Start the processes of the bundle tests and stop each by its id in close().

    The link between the entries and the link of the agent in Macon pass through
    forwarders that can be cut.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.children: dict[str, subprocess.Popen[bytes]] = {}
        self.table_port = free_port()
        self.http_ports = {name: free_port() for name in ENTRIES}
        self.control_ports = {name: free_port() for name in ENTRIES}
        self.peer_link = Forwarder(self.control_ports["entry-a"])
        self.macon_link = Forwarder(self.control_ports["entry-b"])
        self.operators = [self.generate_key(name) for name in ("ada", "ben", "cleo")]

    def start(self) -> None:
        """Start all processes and wait until both entries show all of them as live."""
        self.spawn(
            "table",
            "wasabispur_standins",
            "table-service",
            "--port",
            str(self.table_port),
        )
        self.wait_for(self.table_answers, START_TIMEOUT)
        for name in REGION_OF:
            self.start_member(name)
        for name in ENTRIES:
            self.wait_for(lambda name=name: self.sees_all(name), START_TIMEOUT)

    def start_member(self, name: str) -> None:
        """Start an entry or an agent."""
        settings = self.folder / f"{name}.json"
        if name in ENTRIES:
            settings.write_text(json.dumps(self.entry_settings(name)))
            self.spawn(name, "wasabispur", "entry", "--settings", str(settings))
        else:
            settings.write_text(json.dumps(self.agent_settings(name)))
            self.spawn(name, "wasabispur_agent", "--settings", str(settings))

    def entry_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an entry; entry-a is reached through a forwarder."""
        port = self.peer_link.port if name == "entry-a" else self.control_ports[name]
        return {
            "entry_id": name,
            "region": REGION_OF[name],
            "data_centre": f"{REGION_OF[name]}-1",
            "http_port": self.http_ports[name],
            "control_port": self.control_ports[name],
            "advertised_address": f"127.0.0.1:{port}",
            "table_url": f"http://127.0.0.1:{self.table_port}",
            "operators": self.operators,
        }

    def agent_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an agent; agent-c connects through a forwarder."""
        ports = {
            "agent-a": self.control_ports["entry-a"],
            "agent-b": self.control_ports["entry-b"],
            "agent-c": self.macon_link.port,
        }
        return {
            "agent_id": name,
            "role": "endpoint",
            "region": REGION_OF[name],
            "data_centre": f"{REGION_OF[name]}-1",
            "entries": [f"127.0.0.1:{ports[name]}"],
            "local_url": "http://127.0.0.1:9",
            "service": "tag-composer",
            "operators": self.operators,
        }

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start one process with its output in a log file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill one process to simulate a crash."""
        child = self.children.pop(name)
        child.kill()
        child.wait(STOP_TIMEOUT)

    def close(self) -> None:
        """Stop all processes and forwarders."""
        for child in self.children.values():
            child.terminate()
        for child in self.children.values():
            try:
                child.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait(STOP_TIMEOUT)
        self.peer_link.close()
        self.macon_link.close()

    def generate_key(self, operator: str) -> dict[str, Any]:
        """Create an operator's key and return the operator's item for the settings."""
        path = self.folder / f"{operator}.pem"
        done = run_command("key", "generate", str(path), "--operator", operator)
        entry: dict[str, Any] = json.loads(done.stdout)
        return entry

    def bundle(
        self, *arguments: str, entry: str = "entry-a"
    ) -> subprocess.CompletedProcess[str]:
        """Run a bundle command against an entry."""
        url = f"http://127.0.0.1:{self.http_ports[entry]}"
        return run_command("bundle", *arguments, "--entry", url, "--output", "json")

    def sign_off_change(self, content: dict[str, Any], entry: str = "entry-a") -> str:
        """Propose, review and sign off a change, and return its id."""
        path = self.folder / "content.json"
        path.write_text(json.dumps(content))
        proposed = self.bundle("propose", str(path), "--operator", "ada", entry=entry)
        assert proposed.returncode == 0, proposed.stderr
        change_id = str(json.loads(proposed.stdout)["change_id"])
        reviewed = self.bundle("review", change_id, "--operator", "cleo", entry=entry)
        assert reviewed.returncode == 0, reviewed.stderr
        key = str(self.folder / "ben.pem")
        signed = self.bundle(
            "sign-off", change_id, "--operator", "ben", "--key", key, entry=entry
        )
        assert signed.returncode == 0, signed.stderr
        return change_id

    def accept(
        self, change_id: str, entry: str = "entry-a"
    ) -> subprocess.CompletedProcess[str]:
        """Accept a change."""
        return self.bundle("accept", change_id, "--operator", "cleo", entry=entry)

    def set_faults(self, *faults: dict[str, Any]) -> None:
        """Replace the faults of the table service."""
        body = json.dumps({"faults": faults})
        url = f"http://127.0.0.1:{self.table_port}/faults"
        assert self.http.request("PUT", url, body=body).status == 200

    def reads_changes(self, entry: str) -> bool:
        """Return whether an entry can read the bundle changes from the store."""
        url = f"http://127.0.0.1:{self.http_ports[entry]}/v1/bundles"
        return self.http.request("GET", url).status == 200

    def members(self, entry: str) -> list[dict[str, Any]]:
        """Return the members that an entry shows, or none without a response."""
        url = f"http://127.0.0.1:{self.http_ports[entry]}/v1/members"
        try:
            members: list[dict[str, Any]] = self.http.request("GET", url).json()[
                "members"
            ]
        except urllib3.exceptions.HTTPError:
            return []
        return members

    def state_at(self, entry: str, name: str) -> str:
        """Return the state of a member as an entry shows it, or an empty string."""
        states = {m["member_id"]: str(m["state"]) for m in self.members(entry)}
        return states.get(name, "")

    def versions(self, entry: str) -> dict[str, int]:
        """Return the bundle version of each member that an entry shows as live."""
        return {
            member["member_id"]: member["bundle_version"]
            for member in self.members(entry)
            if member["state"] == "live"
        }

    def sees_all(self, entry: str) -> bool:
        """Return whether an entry shows every process as live."""
        return set(self.versions(entry)) == set(REGION_OF)

    def all_show(self, version: int) -> bool:
        """Return whether both entries show every process as live with the version."""
        wanted = dict.fromkeys(REGION_OF, version)
        return all(self.versions(entry) == wanted for entry in ENTRIES)

    def table_answers(self) -> bool:
        """Return whether the table service answers."""
        url = f"http://127.0.0.1:{self.table_port}/faults"
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_for(self, condition: Callable[[], bool], limit: float) -> float:
        """Return the seconds until a condition holds; fail after the limit."""
        started_at = time.monotonic()
        while not condition():
            waited = time.monotonic() - started_at
            shown = {entry: self.versions(entry) for entry in ENTRIES}
            assert waited < limit, f"not within {limit} s: {shown}"
            time.sleep(POLL_INTERVAL)
        return time.monotonic() - started_at
