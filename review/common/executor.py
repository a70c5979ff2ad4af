"""Stand in for an executor: it runs tasks under leases and sends heartbeats."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from record import Record
from wire import Answer, Call, call, HOST, JsonServer, SILENCE

HEARTBEAT_INTERVAL = 1.5
TICK = 0.01
STOP_GRACE = 0.2
MAX_HOLD = 10.0
"""Times in seconds; the longest lease is that of the settings."""

RESOURCES = ("cpu", "mem_mb", "gpu")
LISTED_ENDS = 500


@dataclass(slots=True)
class Run:
    """Describe one run of a task; seconds of None is a task that lasts."""

    task: str
    number: int
    seconds: float | None
    ending: str
    demand: dict[str, int]
    begun: float
    stopping_at: float | None = None

    def percent(self, now: float) -> int:
        """Return the share of the work that is done."""
        if not self.seconds:
            return 100
        return min(99, int(100 * (now - self.begun) / self.seconds))


def _ending(order: dict[str, Any], number: int) -> str:
    endings = order.get("endings", ["done"])
    return str(endings[min(number, len(endings)) - 1])


class Executor:
    """Run tasks as the spec tells: JSON with seconds, endings and the demand.

    endings tells how the first, the second, ... run of a task ends; the last one
    holds for all later runs.

    late, if set, returns the seconds after which a call is carried out without an
    answer, or None. first_beat is the time from a start to the first heartbeat.
    A crash closes the port and forgets everything; restart begins a new lifetime,
    under the same id if none is given.
    """

    def __init__(
        self,
        name: str,
        port: int,
        control: str,
        capacity: dict[str, int],
        labels: list[str],
        service: str,
        zone: str,
        record: Record,
    ) -> None:
        self.id = name
        self.port = port
        self.control = control
        self.capacity = capacity
        self.labels = labels
        self.service = service
        self.zone = zone
        self.record = record
        self.lock = threading.Condition()
        self.late: Callable[[Call], float | None] | None = None
        self.first_beat = 0.0
        self.up = False
        self.lifetime = 0
        self.restart()

    @property
    def address(self) -> str:
        """Return the address of the executor."""
        return f"{HOST}:{self.port}"

    def restart(self, name: str = "") -> None:
        """Begin a new lifetime."""
        with self.lock:
            self.id = name or self.id
            self.lifetime += 1
            self.born = int(time.time() * 1000)
            self.born_at = time.monotonic()
            self.runs: dict[str, Run] = {}
            self.ended: list[list[Any]] = []
            self.ends = 0
            self.barred: dict[str, int] = {}
            self.fence = 0
            self.expiry_ms = 0
            self.sequence = 0
            self.state = "ready"
            self.up = True
        self.server = JsonServer(self._handle, self.port)
        self.record.write("executor-up", id=self.id, born=self.born)
        for target in (self._beat, self._tick):
            threading.Thread(target=target, args=(self.lifetime,), daemon=True).start()

    def crash(self) -> None:
        """End the process: nothing runs, and connections are refused."""
        with self.lock:
            self.up = False
            lost = sorted(self.runs)
            self.runs = {}
            self.lock.notify_all()
        self.server.kill()
        self.record.write("executor-crash", id=self.id, lost=",".join(lost))

    def running(self) -> list[str]:
        """Return the tasks that run."""
        with self.lock:
            return sorted(self.runs)

    def free(self) -> dict[str, int]:
        """Return what is free of the capacity."""
        with self.lock:
            return self._free()

    def _free(self) -> dict[str, int]:
        used = [run.demand for run in self.runs.values()]
        return {
            name: self.capacity[name] - sum(demand.get(name, 0) for demand in used)
            for name in RESOURCES
        }

    def _clock(self) -> int:
        return int((time.monotonic() - self.born_at) * 1000)

    def _handle(self, request: Call) -> Answer:
        delay = self.late(request) if self.late else None
        if delay is None:
            return self._execute(request)
        threading.Thread(
            target=self._execute_late, args=(request, delay), daemon=True
        ).start()
        return Answer(SILENCE)

    def _execute_late(self, request: Call, delay: float) -> None:
        """Carry out a call after a delay, whatever happened in between."""
        time.sleep(delay)
        if self.up:
            answer = self._execute(request)
            self.record.write(
                "late-call", executor=self.id, path=request.path, status=answer.status
            )

    def _execute(self, request: Call) -> Answer:
        expected = request.headers.get("x-expect-instance", self.id)
        if request.method == "GET":
            return Answer(200)
        if expected != self.id:
            return Answer(421)
        body = request.body
        name = request.path.rpartition("/")[2]
        with self.lock:
            if body.get("fencing_token", 0) < self.fence:
                return self._answer(409, reason="fence")
            self.fence = body.get("fencing_token", 0)
            if name == "run-start":
                return self._start(body)
            if name == "run-stop":
                return self._stop(body)
            if name == "hold":
                return self._hold(body)
        return Answer(404)

    def _extend(self, body: dict[str, Any]) -> None:
        latest = self._clock() + int(MAX_HOLD * 1000)
        wanted = min(body.get("expiry_ms", 0), latest)
        self.expiry_ms = max(self.expiry_ms, wanted)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run_id"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self._extend(body)
            return self._answer(200)
        if body.get("expiry_ms", 0) <= self._clock():
            return self._answer(409, reason="late")
        self._extend(body)
        if known is not None or number <= self.barred.get(task, 0):
            return self._answer(409, reason="old")
        order = json.loads(body["spec"])
        demand = order.get("demand", {})
        free = self._free()
        if any(demand.get(name, 0) > free[name] for name in RESOURCES):
            return self._answer(409, reason="room")
        self.runs[task] = Run(
            task,
            number,
            order.get("seconds"),
            _ending(order, number),
            demand,
            time.monotonic(),
        )
        self.record.start(self.id, task, number)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run_id"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopping_at is None:
            run.stopping_at = time.monotonic() + STOP_GRACE
        return self._answer(200)

    def _hold(self, body: dict[str, Any]) -> Answer:
        self._extend(body)
        seen = body.get("last_seen", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.record.write(
                    "noted", executor=self.id, task=task, run=run, how=how
                )
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        lifetime = self.lifetime
        while self.up and lifetime == self.lifetime and not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.up or lifetime != self.lifetime:
            return Answer(0)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), run.demand.get("cpu", 1000)]
            for run in self.runs.values()
        ]
        return self._answer(
            200, running=running, ended_runs=self.ended[:LISTED_ENDS], born=self.born
        )

    def _answer(self, status: int, **body: Any) -> Answer:
        return Answer(status, {"clock_ms": self._clock(), **body})

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.record.write(
            "end", executor=self.id, task=run.task, run=run.number, how=how
        )
        self.lock.notify_all()

    def _tick(self, lifetime: int) -> None:
        while True:
            time.sleep(TICK)
            with self.lock:
                if not self.up or lifetime != self.lifetime:
                    return
                now = time.monotonic()
                for run in list(self.runs.values()):
                    if run.stopping_at is not None and now >= run.stopping_at:
                        self._end(run, "stopped")
                    elif self._clock() >= self.expiry_ms:
                        self._end(run, "lapsed")
                    elif run.seconds and now - run.begun >= run.seconds:
                        self._end(run, run.ending)

    def _beat(self, lifetime: int) -> None:
        time.sleep(self.first_beat)
        while True:
            with self.lock:
                if not self.up or lifetime != self.lifetime:
                    return
                self.sequence += 1
                body = {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "cold_left_ms": 0,
                    "capacity": self.capacity,
                    "labels": self.labels,
                    "clock_ms": self._clock(),
                    "sequence": self.sequence,
                    "born": self.born,
                }
                path = f"/v1/instances/{self.id}/heartbeat"
            call(self.control, "POST", path, body, timeout=1.0)
            time.sleep(HEARTBEAT_INTERVAL)
