"""Start the project's programs with stand-ins, and act as client and operator."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from executor import Executor
from record import Record
from store import Store
from wire import Answer, call, free_ports, HOST, Session

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("wpg-east", "regina-north", "calgary-south")
REGIONS = ("manitoba", "saskatchewan", "alberta")
SERVICE = "dele69a"
ROUTE_HOST = "nony24.example"
PREFIX = "/lohu930/"
ROUTE = "r-lohu930"
KEY = "key-of-the-first-tenant"
CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}
READY_TIMEOUT = 30.0

HELD = 0
BROKEN = 1
UNABLE = 2
"""Exit statuses of a case."""

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine}"
serves = ["{machine}"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
internal_ports = [{port}, {port}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "invocation"
[zones]
wpg-east = "manitoba"
regina-north = "saskatchewan"
calgary-south = "alberta"
[listen_addrs]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 4000
ack_timeout_ms = 5000
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
recovery_s = 12
max_hold_ms = 10000
stop_grace_ms = 200
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_interval_s = 1
lease_ms = 3000
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
across = false
retention_s = 20
"""


class Deployment:
    """Run entries, and agents with one executor each, until the block ends."""

    def __init__(self, record: Record, entries: int = 3, executors: int = 4) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.fronts: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.executors: list[Executor] = []
        self.version = 0
        self.entries = entries
        self.count = executors
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.roles = tomllib.loads(deploy)["roles"]

    def __enter__(self) -> Deployment:
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def _start_all(self) -> None:
        store_port = free_ports(1)[0]
        self.store = Store(store_port)
        self.store_address = f"{HOST}:{store_port}"
        self.configure([route()])
        for number in range(self.entries):
            name = f"edge-{ZONES[number % 3]}-{number}"
            front, ready, metrics = free_ports(3)
            self.fronts[name] = f"{HOST}:{front}"
            self.ready[name] = f"{HOST}:{ready}"
            listen = f'front = "{HOST}:{front}"\nready = "{HOST}:{ready}"'
            self._start_node(name, "entry", "edge", number, listen, metrics)
        for number in range(self.count):
            name = f"side-{ZONES[number % 3]}-{number}"
            control, port, metrics = free_ports(3)
            listen = f'control = "{HOST}:{control}"'
            self._start_node(name, "agent", "side", number, listen, metrics)
            self.executors.append(
                Executor(
                    f"i-{number:08x}",
                    port,
                    f"{HOST}:{control}",
                    dict(CAPACITY),
                    ["a", f"r1-{number // 3}"],
                    SERVICE,
                    ZONES[number % 3],
                    self.record,
                )
            )
        try:
            self.wait("the entries", self._all_ready)
            self.wait("the reports", lambda: self.store.count("report") >= self.count)
        except TimeoutError:
            for name, process in self.processes.items():
                tail = self.log(name).splitlines()[-3:]
                self.record.write("unready", name=name, ended=process.poll(), log=tail)
            raise

    def _start_node(
        self,
        name: str,
        role: str,
        machine: str,
        number: int,
        listen: str,
        port: int,
    ) -> None:
        path = Path(self.folder.name) / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            role=role,
            machine=machine,
            host=HOST,
            zone=ZONES[number % 3],
            region=REGIONS[number % 3],
            port=port,
            listen=listen,
            store=self.store_address,
        )
        path.write_text(text, encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        variables = {key: os.environ[key] for key in kept if key in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["WASABISPUR_NODE_FILE"] = str(path)
        self.commands[name] = (self.roles[role]["run"].split(), variables)
        self.start(name)

    def start(self, name: str) -> None:
        """Start one program with the command of the deploy file."""
        command, variables = self.commands[name]
        with (Path(self.folder.name) / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write("process-start", name=name, pid=self.processes[name].pid)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one program."""
        self.record.write("signal", name=name, signal=number.name)
        self.processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what a program has written."""
        path = Path(self.folder.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def owner(self) -> str:
        """Return the entry that the shard's row names."""
        row = self.store.read("shard", "main", "-")
        return row["value"]["owner"] if row else ""

    def wait(
        self, what: str, condition: Callable[[], bool], limit: float = READY_TIMEOUT
    ) -> None:
        """Wait until a condition holds, or raise TimeoutError."""
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"timed out while waiting for {what}")
            time.sleep(0.05)

    def _all_ready(self) -> bool:
        return all(self.is_ready(name) for name in self.ready)

    def is_ready(self, name: str) -> bool:
        """Return whether an entry says that it is ready."""
        return call(self.ready[name], "GET", "/v1/ready", timeout=1.0).status == 200

    def configure(
        self, routes: list[dict[str, Any]], keys: tuple[str, ...] = (KEY,)
    ) -> float:
        """Write the next version of the configuration; return when it was written."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_check": True}],
            "tenants": [{"name": "zira381", "api_keys": list(keys)}],
            "limits": {},
        }
        self.store.put("op", "config", body)
        size = len(json.dumps(body))
        names = ",".join(one["name"] for one in routes[:4])
        return self.record.write(
            "config", version=self.version, bytes=size, routes=names, keys=len(keys)
        )

    def request(
        self,
        entry: str,
        method: str,
        job: str,
        body: Any = None,
        key: str = KEY,
        prefix: str = PREFIX,
        session: Session | None = None,
    ) -> Answer:
        """Send a client's request to one entry, and record it with its answer.

        Without a session, the request comes on a new connection.
        """
        headers = {"Host": ROUTE_HOST, "Authorization": f"Bearer {key}"}
        sent = self.record.now()
        path = prefix + job
        if session is None:
            answer = call(self.fronts[entry], method, path, body, headers)
        else:
            answer = session.call(method, path, body, headers)
        self.record.write(
            "client",
            entry=entry,
            method=method,
            path=prefix + job,
            key=key,
            sent=f"{sent:.3f}",
            status=answer.status,
            answer=json.dumps(answer.body),
        )
        return answer

    def capacity_free(self) -> float:
        """Return the free share of the accelerators of all executors."""
        free = sum(executor.free()["gpu"] for executor in self.executors)
        return free / (CAPACITY["gpu"] * len(self.executors))


def route(name: str = ROUTE, prefix: str = PREFIX, **fields: Any) -> dict[str, Any]:
    """Return one route of the configuration."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": prefix,
        "service": SERVICE,
        "priority": 1,
        "max_attempts": 3,
        "stretch": 3.0,
        "target_duration_ms": 1200,
        **fields,
    }


def job(
    seconds: float | None,
    steps: list[dict[str, Any]] | None = None,
    cpu: int = 2_800,
    gpu: int = 1,
    endings: tuple[str, ...] = ("done",),
) -> dict[str, Any]:
    """Return a job whose tasks run for some seconds, or last if there are none."""
    demand = {"cpu": cpu, "mem_mb": 1_024, "gpu": gpu}
    spec = {"seconds": seconds, "endings": endings, "demand": demand}
    each: dict[str, Any] = {**demand, "estimate_ms": int(1000 * (seconds or 1.0))}
    if seconds is None:
        each["long_running"] = True
    wanted = steps or [{"count": 1}]
    return {"spec": json.dumps(spec), "steps": [{**each, **one} for one in wanted]}


def disturbed() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Record], int], file: str = "record.txt") -> int:
    """Run a case, write its record to a file, and return its exit status."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(UNABLE))
    record = Record(Path.cwd() / file)
    record.write("case", trouble=int(disturbed()))
    try:
        status = case(record)
    except (OSError, TimeoutError, subprocess.SubprocessError, KeyError) as error:
        record.write("unable", error=repr(error))
        status = UNABLE
    record.write("verdict", status=status)
    return status
