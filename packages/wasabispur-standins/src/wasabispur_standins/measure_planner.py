"""Measure what the shard's owner spends on one ended run and the pass that follows."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from statistics import mean

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.ownership import ShardAcquired
from wasabispur_core.workload.fleet_state import (
    FleetState,
    JobArrived,
    PlanningPassDue,
    TableReady,
)
from wasabispur_core.workload.plan import Snapshot
from wasabispur_core.workload.planner import plan
from wasabispur_core.workload.policy import (
    FleetPolicy,
    Organisation,
    PolicyChanged,
    Queue,
)
from wasabispur_core.workload.scheduler import (
    decide,
    LOADED_TABLES,
    new_fleet_state,
)
from wasabispur_core.workload.snapshot import take_snapshot
from wasabispur_core.workload.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.unit import ACTIVE, STOPPING, Unit
from wasabispur_core.workload.worker import (
    EndedRun,
    EndKind,
    ListedRun,
    ReportArrived,
    WorkerInfo,
    WorkerReport,
)

from .measure_fit import fit, Line, Sample

CAPACITY = Resources(cpu=64_000, memory=262_144, accelerators=8)
RACK_SIZE = 13
HORIZON = 13.5
"""Lease horizon in seconds; no worker is silent for as long in a measurement."""

CHANGES = 60
"""Ended runs whose CPU time is averaged for each size."""

CHANGE_INTERVAL = 0.05
"""Seconds of simulated time between two ended runs."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Describe the size of a simulated fleet and of its backlog."""

    workers: int
    waiting: int

    def __str__(self) -> str:
        return f"{self.workers} workers, {self.waiting} waiting"


SIZES = (
    FleetSize(18, 60),
    FleetSize(77, 120),
    FleetSize(160, 300),
    FleetSize(160, 1_000),
    FleetSize(650, 300),
)


def _queue(name: str, priority: int, max_attempts: int, stretch: float) -> Queue:
    return Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service="s",
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
    )


QUEUES = {
    queue.name: queue
    for queue in (
        _queue("urgent", 0, 3, 1.5),
        _queue("batch", 1, 4, 3.0),
        _queue("bulk", 2, 3, 3.0),
    )
}


class PlannerBench:
    """Represent an owner with a full fleet and a backlog, driven by its messages."""

    def __init__(self, size: FleetSize, random: Random) -> None:
        self.size = size
        self.random = random
        self.now = 1000.0
        self.jobs = 0
        self.state: FleetState = new_fleet_state(ChartCatalogue(), HORIZON)
        self.reports: dict[str, WorkerReport] = {}
        self._own()
        for number in range(size.workers):
            self._report(f"w{number:03}")
        while len(self.state.waiting) < size.waiting:
            self._submit()
            self._pass()

    def measure_change(self) -> float:
        """Return the CPU seconds for an ended run and the pass that follows."""
        self.now += CHANGE_INTERVAL
        unit = min(self._units(ACTIVE), key=lambda unit: unit.members[0].started_at)
        begun = time.process_time()
        self._end(unit, EndKind.DONE)
        self._pass()
        used = time.process_time() - begun
        for stopped in self._units(STOPPING):
            self._end(stopped, EndKind.STOPPED)
        while len(self.state.waiting) < self.size.waiting:
            self._submit()
        self._pass()
        return used

    def measure_full_pass(self) -> float:
        """Return the CPU seconds of a pass without what earlier passes found."""
        snapshot = take_snapshot(self.state, self.now)
        begun = time.process_time()
        plan(
            Snapshot(
                now=snapshot.now,
                workers=snapshot.workers,
                waiting=snapshot.waiting,
                running=snapshot.running,
            )
        )
        return time.process_time() - begun

    def _own(self) -> None:
        names = [f"o{number}" for number in range(24)]
        organisations = {
            name: Organisation(name=name, guaranteed_accelerators=8) for name in names
        }
        policy = FleetPolicy(version=1, queues=QUEUES, organisations=organisations)
        self._decide(PolicyChanged(policy=policy))
        self._decide(ShardAcquired(epoch=1))
        for table in LOADED_TABLES:
            self._decide(TableReady(table=table))

    def _submit(self) -> None:
        self.jobs += 1
        queue = self.random.choice(("urgent", "batch", "bulk"))
        spec = JobSpec(
            job_id=f"{self.jobs:016x}",
            queue=queue,
            organisation=f"o{self.random.randrange(24)}",
            payload="x" * 200,
            accepted_at=self.now,
            steps=(self._step(queue),),
        )
        self._decide(JobArrived(spec=spec))

    def _step(self, queue: str) -> StepSpec:
        accelerators = self.random.choice((1, 2, 4, 8, 8))
        if queue == "bulk":
            return StepSpec(
                count=self.random.randrange(5, 60),
                demand=Resources(cpu=5_600, memory=29_000, accelerators=1),
                estimate=19.0,
            )
        urgent = queue == "urgent"
        return StepSpec(
            count=self.random.randrange(1, 9 if urgent else 20),
            demand=Resources(
                cpu=7_500 if urgent else 26_000,
                memory=39_000 if urgent else 110_000,
                accelerators=accelerators,
            ),
            estimate=5.0 if urgent else 17.0,
            gang=self.random.random() < 0.5,
            same_rack=self.random.random() < 0.5,
        )

    def _units(self, state: str) -> list[Unit]:
        return [
            unit
            for job in self.state.jobs.values()
            for unit in job.units.values()
            if unit.state == state
        ]

    def _end(self, unit: Unit, kind: EndKind) -> None:
        """Report the ends of all runs of a unit."""
        for member in unit.members:
            if not member.ended:
                task = str(unit.task_id(member.index))
                self._report(member.worker_ref.worker_id, (task, unit.run), kind)

    def _report(
        self,
        worker_id: str,
        ended: tuple[str, int] | None = None,
        kind: EndKind = EndKind.DONE,
    ) -> None:
        """Deliver a worker's next report, with one more ended run if it is given."""
        last = self.reports.get(worker_id)
        ends = last.ended if last else ()
        if ended is not None:
            number = ends[-1].number + 1 if ends else 1
            end = EndedRun(number=number, task=ended[0], run=ended[1], kind=kind)
            ends = (*ends[-3:], end)
        report = self.reports[worker_id] = WorkerReport(
            agent_id=f"agent-{worker_id}",
            number=last.number + 1 if last else 1,
            info=self._info(worker_id, last.info.sequence + 1 if last else 1),
            listing=last.listing + 1 if last else 1,
            runs=self._runs(worker_id, ended),
            ended=ends,
        )
        self._decide(ReportArrived(report=report))

    def _info(self, worker_id: str, sequence: int) -> WorkerInfo:
        return WorkerInfo(
            worker_id=worker_id,
            incarnation="1",
            service="s",
            data_centre="a1",
            address=f"{worker_id}:80",
            capacity=CAPACITY,
            labels=("a", f"r1-{int(worker_id[1:]) // RACK_SIZE}"),
            sequence=sequence,
        )

    def _runs(
        self, worker_id: str, ended: tuple[str, int] | None
    ) -> tuple[ListedRun, ...]:
        units = [
            self.state.unit(unit_id)
            for unit_id in self.state.units_by_worker.get(worker_id, ())
        ]
        runs = [
            (str(unit.task_id(member.index)), unit.run)
            for unit in units
            if unit is not None
            for member in unit.members
            if member.worker_ref.worker_id == worker_id and not member.ended
        ]
        return tuple(
            ListedRun(task=task, run=run, percent=50)
            for task, run in runs
            if (task, run) != ended
        )

    def _pass(self) -> None:
        for worker in self.state.workers.values():
            worker.seen_at = self.now
        self.state.capacity_changed = True
        self._decide(PlanningPassDue())

    def _decide(self, message: object) -> None:
        decide(message, self.state, self.now)  # type: ignore[arg-type]


def measure_planner(seed: int) -> Sequence[Line]:
    """Return the CPU time in ms of an ended run and of a full pass, by fleet size."""
    changes: list[Sample] = []
    passes: list[Sample] = []
    for size in SIZES:
        bench = PlannerBench(size, Random(seed))
        used = [bench.measure_change() for _ in range(CHANGES)]
        full = [bench.measure_full_pass() for _ in range(5)]
        product = size.workers * size.waiting
        changes.append(Sample(size=product, value=1000 * mean(used)))
        passes.append(Sample(size=product, value=1000 * mean(full)))
    per = "worker times waiting unit"
    return [
        fit("ended run and its pass", "ms", per, changes),
        fit("pass without earlier results", "ms", per, passes),
    ]
