"""Stand in for an executor of the platform."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from .wire import call, HOST, Request, Response, Server

TICK = 0.01
"""Seconds between two updates of the runs."""

HEARTBEAT_INTERVAL = 1.5
"""Seconds between two heartbeats (heartbeat_ms in the settings)."""

HEARTBEAT_TIMEOUT = 1.0
"""Seconds within which a heartbeat has to be acknowledged."""

GPUS = 8
"""Accelerators of an executor."""

DRAIN_TIME_MS = 2500
"""Minimum time for which a draining executor goes on (drain_ms in the settings)."""

ORDERS = frozenset(("run-start", "run-stop", "hold"))

Record = Callable[..., None]


@dataclass(slots=True)
class Step:
    """Describe the tasks of a step as clients submitted them.

    seconds is the time of one task. A lasting task runs until it is stopped. A failing
    one ends as failed after its time.
    """

    seconds: float
    cpu: int = 1000
    gpus: int = 0
    lasting: bool = False
    failing: bool = False
    checkpointing: bool = False


@dataclass(slots=True)
class Run:
    """Represent one run of a task; stop_at is set once it is being stopped."""

    task: str
    number: int
    step: Step
    begun: float
    saved: str = ""
    stop_at: float | None = None

    def percent(self, now: float) -> int:
        """Return the share of its work that is done; a lasting one is at work."""
        if self.step.lasting:
            return 100
        return min(99, int(100 * (now - self.begun) / max(self.step.seconds, 0.01)))


@dataclass(slots=True)
class Life:
    """Represent what an executor holds and knows between its start and its end.

    clock_start is the time of its start in monotonic seconds, and expiry the end of the
    lease on its own clock in milliseconds.
    """

    born: int
    clock_start: float
    sequence: int = 0
    token: int = 0
    expiry: float = 0.0
    leased: bool = False
    lapses: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    ended: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    lapses_at: dict[int, int] = field(default_factory=dict)
    ends: int = 0

    @property
    def clock(self) -> float:
        """Return the executor's steady clock in milliseconds."""
        return 1000 * (time.monotonic() - self.clock_start)


class Executor:
    """Run tasks on orders of the agent beside it.

    late_share is the share of the orders that get no answer and are carried out 2 to
    12 s later. With keeps_start, the next start gets no answer and becomes kept_start,
    which is carried out when the script says so. fails makes all runs that it starts
    fail. draining is announced with the heartbeats.
    """

    def __init__(
        self,
        ident: str,
        control_port: int,
        step_of: Callable[[str], Step],
        record: Record,
        cpu: int = 32_000,
        rack: str = "r1-1",
        longest_lease_ms: float = 6000.0,
        stop_grace: float = 0.3,
        seed: int = 1,
    ) -> None:
        self.ident = ident
        self.control_port = control_port
        self.step_of = step_of
        self.record = record
        self.cpu = cpu
        self.rack = rack
        self.longest_lease_ms = longest_lease_ms
        self.stop_grace = stop_grace
        self.random = random.Random(f"{seed} {ident}")
        self.server = Server(self._handle)
        self.life: Life | None = None
        self.late_share = 0.0
        self.kept_start: Request | None = None
        self.keeps_start = False
        self.fails = False
        self.draining = False
        self.tasks: list[asyncio.Task[None]] = []
        self.background: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port on which it takes orders."""
        return self.server.port

    async def start(self) -> None:
        """Begin a new life, which knows nothing of the one before."""
        born = int(time.time() * 1000)
        self.life = Life(born=born, clock_start=time.monotonic())
        await self.server.start()
        self.record("executor up", executor=self.ident, born=born)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._beat(self.life)),
            loop.create_task(self._work(self.life)),
        ]

    def crash(self) -> None:
        """End at once, as a killed process does."""
        if self.life is None:
            return
        for run in self.life.runs.values():
            self.record(
                "run ended",
                executor=self.ident,
                task=run.task,
                run=run.number,
                how="crash",
            )
        self.record("executor down", executor=self.ident)
        self.life = None
        self.server.abort()
        for task in self.tasks:
            task.cancel()

    async def carry_out_kept_start(self) -> int:
        """Carry out the start that got no answer, and return the status."""
        if self.life is None or self.kept_start is None:
            return 0
        self.record("order carried out late", executor=self.ident)
        return (await self._serve("run-start", self.kept_start.body)).status

    def close(self) -> None:
        """Stop everything."""
        self.crash()
        for task in self.background:
            task.cancel()

    def used_cpu(self) -> int:
        """Return the processor share that the runs use."""
        return sum(run.step.cpu for run in self.life.runs.values()) if self.life else 0

    async def _beat(self, life: Life) -> None:
        while True:
            life.sequence += 1
            beat = {
                "service": "composer",
                "address": f"{HOST}:{self.port}",
                "zone": "a1",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": GPUS},
                "labels": ["a", self.rack],
                "clock_ms": int(life.clock),
                "sequence": life.sequence,
                "born": life.born,
            }
            if self.draining:
                beat["remaining_ms"] = DRAIN_TIME_MS
            path = f"/v1/instances/{self.ident}/heartbeat"
            await call(self.control_port, "POST", path, beat, timeout=HEARTBEAT_TIMEOUT)
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _work(self, life: Life) -> None:
        while True:
            self._update(life)
            await asyncio.sleep(TICK)

    def _update(self, life: Life) -> None:
        """End the runs that are done, were stopped or have no lease any more."""
        now = time.monotonic()
        if life.leased and life.clock >= life.expiry:
            life.leased = False
            life.lapses += 1
            for run in list(life.runs.values()):
                self._end(life, run, "lapsed")
        for run in list(life.runs.values()):
            if run.stop_at is not None:
                if now >= run.stop_at:
                    self._end(life, run, "stopped")
            elif run.step.lasting and not run.step.failing:
                continue
            elif now - run.begun >= run.step.seconds:
                failed = run.step.failing or self.fails
                self._end(life, run, "failed" if failed else "done")

    def _end(self, life: Life, run: Run, how: str) -> None:
        del life.runs[run.task]
        life.ends += 1
        life.barred[run.task] = max(life.barred.get(run.task, 0), run.number)
        life.ended.append((life.ends, run.task, run.number, how, run.saved))
        life.lapses_at[life.ends] = life.lapses
        self.record(
            "run ended", executor=self.ident, task=run.task, run=run.number, how=how
        )

    async def _handle(self, request: Request) -> Response:
        name = request.path.rpartition("/")[2]
        expected = request.headers.get("x-expect-instance", self.ident)
        if expected != self.ident:
            return Response(421)
        if name == "run-start" and self.keeps_start:
            self.keeps_start, self.kept_start = False, request
            self.record(
                "order kept", executor=self.ident, task=request.body.get("task", "")
            )
            await asyncio.sleep(60)
            return Response()
        if name in ORDERS and self.random.random() < self.late_share:
            delay = self.random.uniform(2, 12)
            self.record(
                "order late",
                executor=self.ident,
                order=name,
                task=request.body.get("task", ""),
                delay=round(delay, 2),
            )
            task = asyncio.create_task(self._carry_out_later(name, request, delay))
            self.background.add(task)
            task.add_done_callback(self.background.discard)
            await asyncio.sleep(60)
            return Response()
        return await self._serve(name, request.body)

    async def _carry_out_later(self, name: str, request: Request, delay: float) -> None:
        """Carry out an order late, unless it names another executor by then."""
        await asyncio.sleep(delay)
        expected = request.headers.get("x-expect-instance", self.ident)
        if self.life is not None and expected == self.ident:
            with suppress(KeyError):
                await self._serve(name, {**request.body, "wait_ms": 0})

    async def _serve(self, name: str, body: dict[str, Any]) -> Response:
        life = self.life
        if life is None:
            return Response()
        self._update(life)
        if name not in ORDERS:
            return Response(404)
        token = body.get("fencing_token", 0)
        if token < life.token:
            return self._answer(life, 409, reason="fence")
        life.token = token
        if name == "run-start":
            return self._start(life, body)
        if name == "run-stop":
            return self._stop(life, body)
        return await self._hold(life, body)

    def _extend(self, life: Life, expiry: float) -> None:
        longest = life.clock + self.longest_lease_ms
        life.expiry = max(life.expiry, min(expiry, longest))
        life.leased = life.expiry > life.clock

    def _start(self, life: Life, body: dict[str, Any]) -> Response:
        task, number = body["task"], body["run_id"]
        present = life.runs.get(task)
        if present is not None and present.number == number:
            self._extend(life, body["expiry_ms"])
            return self._answer(life, 200)
        if number <= life.barred.get(task, 0) or present is not None:
            self._extend(life, body["expiry_ms"])
            return self._answer(life, 409, reason="old")
        if body["expiry_ms"] <= life.clock:
            return self._answer(life, 409, reason="late")
        self._extend(life, body["expiry_ms"])
        step = self.step_of(task)
        used_gpus = sum(run.step.gpus for run in life.runs.values())
        if self.used_cpu() + step.cpu > self.cpu or used_gpus + step.gpus > GPUS:
            return self._answer(life, 409, reason="room")
        life.runs[task] = Run(task, number, step, time.monotonic())
        self.record(
            "run started",
            executor=self.ident,
            task=task,
            run=number,
            token=life.token,
            spec=str(body.get("spec"))[:40],
        )
        return self._answer(life, 200)

    def _stop(self, life: Life, body: dict[str, Any]) -> Response:
        task, number = body["task"], body["run_id"]
        life.barred[task] = max(life.barred.get(task, 0), number)
        present = life.runs.get(task)
        if present is not None and present.number <= number and not present.stop_at:
            present.stop_at = time.monotonic() + self.stop_grace
            self.record("run stopping", executor=self.ident, task=task, run=number)
        return self._answer(life, 200)

    async def _hold(self, life: Life, body: dict[str, Any]) -> Response:
        self._extend(life, body.get("expiry_ms", 0))
        seen = body.get("last_seen", 0)
        for number, task, run, how, _ in life.ended:
            if number <= seen:
                lapsed = life.lapses_at[number] != life.lapses
                self.record(
                    "end noted",
                    executor=self.ident,
                    task=task,
                    run=run,
                    how=how,
                    lapsed=lapsed,
                )
        life.ended = [one for one in life.ended if one[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not life.ended and time.monotonic() < until and self.life is life:
            await asyncio.sleep(TICK)
        if self.life is not life:
            return Response()
        now = time.monotonic()
        return self._answer(
            life,
            200,
            born=life.born,
            running=[
                [run.task, run.number, run.saved, run.percent(now), run.step.cpu]
                for run in life.runs.values()
            ],
            ended_runs=[list(one) for one in life.ended[:500]],
        )

    def _answer(self, life: Life, status: int, **body: Any) -> Response:
        return Response(status, {"clock_ms": int(life.clock), **body})
