"""Measure what the shard's owner spends on one ended run and the pass that follows."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from statistics import mean

from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.jobs.unit import ACTIVE, STOPPING, Unit
from wasabispur_core.workload.owner.fleet_message import JobArrived, PlanningPassDue
from wasabispur_core.workload.planning.plan import Snapshot
from wasabispur_core.workload.planning.planner import plan
from wasabispur_core.workload.planning.snapshot import take_snapshot
from wasabispur_core.workload.policies.policy import Organisation
from wasabispur_core.workload.workers.worker import EndKind

from .fleet_speed import is_slow, SpeedPlan
from .measure_fit import fit, Line, Sample
from .simulated_owner import simulated_queue, SimulatedOwner

RACK_SIZE = 13
ORGANISATION_COUNT = 24

CHANGES = 60
"""Ended runs whose CPU time is averaged for each size."""

KNOWN_WEIGHT = 5.0
"""Weight of the samples of each worker whose speed is known."""

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


QUEUES = (
    simulated_queue("urgent", 0, 1.5),
    simulated_queue("batch", 1, 3.0),
    simulated_queue("bulk", 2, 3.0),
)


class PlannerBench(SimulatedOwner):
    """Represent an owner with a full fleet and a backlog, driven by its messages."""

    def __init__(
        self,
        size: FleetSize,
        random: Random,
        fair_shares: bool = False,
        known_speeds: bool = False,
    ) -> None:
        super().__init__(now=1000.0, rack_size=RACK_SIZE)
        self.state.fair_shares = fair_shares
        self.size = size
        self.random = random
        self.jobs = 0
        organisations = [
            Organisation(name=f"o{number}", guaranteed_accelerators=8)
            for number in range(ORGANISATION_COUNT)
        ]
        self.own(QUEUES, organisations, size.workers)
        if known_speeds:
            speeds, plan = self.state.worker_speeds, SpeedPlan()
            for worker_id in filter(is_slow, self.reports):
                factor = plan.worker_factor(worker_id)
                speeds.restore(worker_id, factor, KNOWN_WEIGHT, self.now)
        while len(self.state.waiting) < size.waiting:
            self._submit()
            self._pass()

    def measure_change(self) -> float:
        """Return the CPU seconds for an ended run and the pass that follows."""
        self.now += CHANGE_INTERVAL
        unit = min(self._units(ACTIVE), key=lambda unit: unit.members[0].started_at)
        begun = time.process_time()
        self.end(unit, EndKind.DONE)
        self._pass()
        used = time.process_time() - begun
        for stopped in self._units(STOPPING):
            self.end(stopped, EndKind.STOPPED)
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
                use=snapshot.use,
            )
        )
        return time.process_time() - begun

    def _submit(self) -> None:
        self.jobs += 1
        queue = self.random.choice(("urgent", "batch", "bulk"))
        spec = JobSpec(
            job_id=f"{self.jobs:016x}",
            queue=queue,
            organisation=f"o{self.random.randrange(ORGANISATION_COUNT)}",
            payload="x" * 200,
            accepted_at=self.now,
            steps=(self._step(queue),),
        )
        self.decide(JobArrived(spec=spec))

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

    def _pass(self) -> None:
        self.confirm_workers()
        self.state.capacity_changed = True
        self.decide(PlanningPassDue())


def measure_planner(
    seed: int, fair_shares: bool = False, known_speeds: bool = False
) -> Sequence[Line]:
    """Return the CPU time in ms of an ended run and of a full pass, by fleet size.

    With known_speeds, the owner knows that every third worker is slow.
    """
    changes: list[Sample] = []
    passes: list[Sample] = []
    for size in SIZES:
        bench = PlannerBench(size, Random(seed), fair_shares, known_speeds)
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
