"""Run tasks as the platform's executors do."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from http3 import Answer, call, HOST, Request, Server

BEAT_INTERVAL = 1.5
TICK = 0.02
ORDERS = ("run-start", "run-stop", "hold")

Log = Callable[..., None]


@dataclass
class Need:
    """Describe what a task takes and how it ends; the spec of a job says it."""

    seconds: float
    cpu: int
    gpu: int
    how: str = "done"
    percent: int = 0

    @classmethod
    def of(cls, spec: str) -> Need:
        """Return the need that a spec describes."""
        return cls(**json.loads(spec))


@dataclass
class Run:
    """Represent one run of a task."""

    task: str
    number: int
    need: Need
    left: float
    stop_at: float = float("inf")


@dataclass
class LateCalls:
    """Leave a share of the calls without an answer, and carry them out late.

    every is the number of calls of which one is late, by delays in seconds.
    """

    every: int
    delays: tuple[float, float]
    random: Random
    calls: int = 0

    def delay(self) -> float:
        """Return the delay of the next call, or zero."""
        self.calls += 1
        return 0.0 if self.calls % self.every else self.random.uniform(*self.delays)


@dataclass
class Executor:
    """Represent one executor; shed makes it answer starts with status 503.

    late makes it carry out some calls late, maybe in its next life: a call names the
    id only, which that has too. holds_start makes it keep the next start, which its
    next life carries out as soon as it serves calls.
    """

    name: str
    control: str
    log: Log
    service: str
    rack: str
    max_hold: float
    stop_time: float
    cpu: int = 32_000
    gpu: int = 8
    port: int = 0
    born: int = 0
    up: bool = False
    shed: bool = False
    silent: bool = False
    late: LateCalls | None = None
    holds_start: bool = False
    held_start: dict[str, Any] | None = None
    server: Server | None = None
    runs: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    ends: int = 0
    barred: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    expiry: float = 0.0
    sequence: int = 0
    begun: float = 0.0
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    state: str = "ready"

    @property
    def clock(self) -> float:
        """Return the seconds of this life."""
        return time.monotonic() - self.begun

    async def start(self) -> None:
        """Begin a life that knows nothing of the one before."""
        self.runs, self.ended, self.barred = {}, [], {}
        self.ends = self.fence = self.sequence = 0
        self.expiry = 0.0
        self.begun, self.born = time.monotonic(), int(time.time() * 1000)
        self.server = Server(self.handle, self.port)
        await self.server.open()
        self.port = self.server.port
        self.up = True
        self.log("executor", name=self.name, event="starts", born=self.born)
        self.tasks = [asyncio.create_task(one()) for one in (self._beat, self._tick)]
        if self.held_start is not None:
            self._catch_up("run-start", self.held_start)
            self.held_start = None

    def crash(self) -> None:
        """End at once, with all runs and all connections."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.abort()
        lost = sorted(self.runs)
        self.runs.clear()
        self.log("executor", name=self.name, event="crashes", lost=lost)

    async def handle(self, request: Request) -> Answer | None:
        """Answer one call of the agent."""
        if self.silent:
            return None
        self._advance()
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return Answer(421, {})
        name = request.path.rpartition("/")[2]
        body = request.body or {}
        if name == "run-start" and self.holds_start:
            self.holds_start, self.held_start = False, body
            self.log("held", task=body["task"], run=body["run_id"], on=self.name)
            return None
        if name in ORDERS and self.late is not None:
            delay = self.late.delay()
            if delay:
                asyncio.get_running_loop().call_later(delay, self._catch_up, name, body)
                self.log("late", call=name, on=self.name, delay=round(delay, 2))
                return None
        if name in ORDERS:
            if body.get("fencing_token", 0) < self.fence:
                return self._answer(409, reason="fence")
            self.fence = body.get("fencing_token", 0)
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return Answer(404, {})

    def _catch_up(self, name: str, body: dict[str, Any]) -> None:
        """Carry out a call whose caller got no answer."""
        if not self.up or body.get("fencing_token", 0) < self.fence:
            return
        self._advance()
        self.fence = body.get("fencing_token", 0)
        if name == "run-start":
            self._start(body)
        elif name == "run-stop":
            self._stop(body)
        else:
            self._note(body)
        self.log("carried-out", call=name, on=self.name, seen=body.get("last_seen", 0))

    def _note(self, body: dict[str, Any]) -> None:
        seen = body.get("last_seen", 0)
        noted = [end for end in self.ended if end[0] <= seen]
        self.ended = [end for end in self.ended if end[0] > seen]
        for end in noted:
            self.log("noted", task=end[1], run=end[2], how=end[3], on=self.name)
        self._extend(body)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run_id"]
        if self.shed:
            self.log("refused", task=task, run=number, on=self.name, reason="503")
            return Answer(503, {})
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if number <= self.barred.get(task, 0):
            self._extend(body)
            return self._answer(409, reason="old")
        if body["expiry_ms"] / 1000 <= self.clock:
            return self._answer(409, reason="late")
        need = Need.of(body["spec"])
        cpu = sum(run.need.cpu for run in self.runs.values()) + need.cpu
        gpu = sum(run.need.gpu for run in self.runs.values()) + need.gpu
        if known is not None or cpu > self.cpu or gpu > self.gpu:
            self._extend(body)
            return self._answer(409, reason="room")
        self._extend(body)
        self.runs[task] = Run(task, number, need, need.seconds)
        self.log("start", task=task, run=number, on=self.name)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run_id"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_at = min(run.stop_at, self.clock + self.stop_time)
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> Answer | None:
        self._note(body)
        until = self.clock + min(body.get("wait_ms", 0), 2000) / 1000
        while self.clock < until and not self.ended and self.up:
            await asyncio.sleep(TICK)
        self._advance()
        running = [
            [run.task, run.number, "", self._percent(run), run.need.cpu]
            for run in self.runs.values()
        ]
        return self._answer(
            200, running=running, ended_runs=self.ended[:500], born=self.born
        )

    def _percent(self, run: Run) -> int:
        if not run.need.seconds:
            return 100
        return int(100 * (1 - max(run.left, 0.0) / run.need.seconds))

    def _extend(self, body: dict[str, Any]) -> None:
        until = min(body.get("expiry_ms", 0) / 1000, self.clock + self.max_hold)
        self.expiry = max(self.expiry, until)

    def _answer(self, status: int, **body: Any) -> Answer:
        return Answer(status, {"clock_ms": int(self.clock * 1000), **body})

    def _advance(self) -> None:
        now = self.clock
        lapsed = now > self.expiry
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif now >= run.stop_at:
                self._end(run, "stopped")
            elif run.left <= 0:
                self._end(run, run.need.how)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.log("end", task=run.task, run=run.number, on=self.name, how=how)

    async def _tick(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK)
            now = time.monotonic()
            for run in self.runs.values():
                run.left -= now - last
            last = now
            self._advance()

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            path = f"/v1/instances/{self.name}/heartbeat"
            await call("POST", self.control, path, self._report(), timeout=1.0)
            await asyncio.sleep(BEAT_INTERVAL)

    def _report(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "a1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131_072, "gpu": self.gpu},
            "labels": ["a", self.rack],
            "clock_ms": int(self.clock * 1000),
            "sequence": self.sequence,
            "born": self.born,
        }
