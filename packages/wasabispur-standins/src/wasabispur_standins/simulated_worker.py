"""Simulate a worker that runs tasks under leases, for tests and stand-ins."""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabispur_core.workload.jobs.spec import NO_RESOURCES, Resources, TaskId
from wasabispur_core.workload.workers.worker import (
    EndedRun,
    EndKind,
    HealthAnswer,
    ListedRun,
    WorkerInfo,
    WorkerState,
)

STOP_DELAY = 0.2
"""Default seconds on the worker's clock from a stop command to the end of the run."""


@dataclass(slots=True)
class Running:
    """Represent one run of a task.

    The remaining and the total work are run times in seconds.
    """

    task: str
    run: int
    demand: Resources
    remaining_work: float
    gang: tuple[str, int, int] | None = None
    members: int = 1
    stopping_at: float | None = None
    fails: bool = False
    total_work: float = 0.0

    @property
    def percent(self) -> int:
        """Return the completed share of the run time in percent."""
        return (
            round(100 * (1 - max(self.remaining_work, 0.0) / self.total_work))
            if self.total_work
            else 0
        )


@dataclass(slots=True)
class SimulatedWorker:
    """Simulate one worker with its runs.

    Clock and expiry are in seconds on the worker's own clock, which runs at rate
    relative to real time. Born is the incarnation. Barred has the highest run of each
    task that may not start again. Expirations counts how often the lease expired, and
    expirations_at_end has that count by the number of an end. Noted lists the tasks
    whose successful end was acknowledged before the lease expired: only these must
    never run again. cold_left is how long it announces to be slow, in seconds,
    cold_speed its speed meanwhile relative to that of a warm worker, and health its
    answer to health checks. A worker that guards its capacity rejects starts
    that exceed it.
    """

    worker_id: str
    agent_id: str
    capacity: Resources
    rack: str
    data_centre: str = "a1"
    born: int = 1
    rate: float = 1.0
    up: bool = True
    silent: bool = False
    draining: bool = False
    fails_runs: bool = False
    guards: bool = True
    stop_delay: float = STOP_DELAY
    stalled: bool = False
    cold_left: float = 0.0
    cold_speed: float = 1.0
    health: HealthAnswer = HealthAnswer.HEALTHY
    sequence: int = 0
    next_heartbeat: float = 0.0
    clock: float = 100.0
    expiry: float = 0.0
    highest_epoch: int = 0
    runs: dict[str, Running] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    barred: dict[str, int] = field(default_factory=dict)
    ends: int = 0
    expirations: int = 0
    expirations_at_end: dict[int, int] = field(default_factory=dict)
    noted: list[str] = field(default_factory=list)

    def info(self) -> WorkerInfo:
        """Return the content of the next heartbeat."""
        self.sequence += 1
        return WorkerInfo(
            worker_id=self.worker_id,
            incarnation=str(self.born),
            service="composer",
            data_centre=self.data_centre,
            address=f"{self.agent_id}:80",
            capacity=self.capacity,
            labels=("a", self.rack),
            state=WorkerState.DRAINING if self.draining else WorkerState.READY,
            cold_left=self.cold_left,
            sequence=self.sequence,
        )

    @property
    def speed(self) -> float:
        """Return the progress of its runs per second."""
        return self.cold_speed if self.cold_left > 0 else 1.0

    def free_resources(self) -> Resources:
        """Return the free resources."""
        used = NO_RESOURCES
        for run in self.runs.values():
            used += run.demand
        return self.capacity - used

    def extend_lease(self, lease_end: float) -> None:
        """Extend the lease of all runs; an earlier end is ignored."""
        self.expiry = max(self.expiry, lease_end)

    def start(self, run: Running, epoch: int, lease_end: float) -> str:
        """Start a run and return "", or return the reason for the refusal.

        A repeated start of the same run is accepted without effect.
        """
        if epoch < self.highest_epoch:
            return "fence"
        self.highest_epoch = epoch
        present = self.runs.get(run.task)
        if present is not None and present.run == run.run:
            return ""
        if present is not None or run.run <= self.barred.get(run.task, 0):
            return "old"
        if lease_end <= self.clock:
            return "late"
        self.extend_lease(lease_end)
        if self.guards and not run.demand.fits(self.free_resources()):
            return "room"
        self.runs[run.task] = run
        return ""

    def stop(self, task: str, run: int, epoch: int) -> bool:
        """Stop a run and bar it and all earlier runs of the task from starting.

        Return False for a command with an older epoch than a previous command.
        """
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        self.barred[task] = max(self.barred.get(task, 0), run)
        present = self.runs.get(task)
        if present is not None and present.run <= run and present.stopping_at is None:
            present.stopping_at = self.clock + self.stop_delay
        return True

    def end(self, task: str, kind: EndKind) -> Running:
        """End a run and list its end until it is acknowledged."""
        run = self.runs.pop(task)
        self.ends += 1
        self.barred[task] = max(self.barred.get(task, 0), run.run)
        self.ended.append(EndedRun(number=self.ends, task=task, run=run.run, kind=kind))
        self.expirations_at_end[self.ends] = self.expirations
        return run

    def acknowledge(self, number: int) -> None:
        """Remove the ends up to a number."""
        for end in self.ended:
            lease_held = self.expirations_at_end[end.number] == self.expirations
            if end.number <= number and end.kind is EndKind.DONE and lease_held:
                self.noted.append(end.task)
        self.ended = [end for end in self.ended if end.number > number]

    def listing(self) -> tuple[tuple[ListedRun, ...], tuple[EndedRun, ...]]:
        """Return the current runs and the unacknowledged ends."""
        runs = tuple(
            ListedRun(
                task=run.task, run=run.run, percent=run.percent, idle=self.stalled
            )
            for run in self.runs.values()
        )
        return runs, tuple(self.ended)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and end runs that were stopped or have no valid lease."""
        lease_held = self.clock < self.expiry
        self.cold_left = max(self.cold_left - seconds, 0.0)
        self.clock += seconds * self.rate
        self.expirations += lease_held and self.clock >= self.expiry
        for run in list(self.runs.values()):
            if run.stopping_at is not None and self.clock >= run.stopping_at:
                self.end(run.task, EndKind.STOPPED)
            elif self.clock >= self.expiry:
                self.end(run.task, EndKind.LAPSED)

    def restart(self) -> None:
        """Restart the worker under the same id, with a new incarnation and no runs."""
        self.born += 1
        self.runs.clear()
        self.ended.clear()
        self.barred.clear()
        self.ends = self.sequence = 0
        self.clock, self.expiry, self.highest_epoch = 50.0, 0.0, 0
        self.up, self.draining = True, False


def gang_of(task: str) -> tuple[str, int, int]:
    """Return the key of the gang to which a task belongs: its id without the index."""
    return TaskId.parse(task)[:3]
