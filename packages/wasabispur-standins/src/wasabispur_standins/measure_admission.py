"""Measure what the load of the fleet costs its owner and the entries."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wasabispur_core.storage.store import encode_json
from wasabispur_core.workload.admission.admission import Candidate, find_rejection
from wasabispur_core.workload.admission.load_row import FleetLoad, load_row
from wasabispur_core.workload.admission.load_summary import summarise_load
from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.owner.fleet_message import JobArrived, PlanningPassDue
from wasabispur_core.workload.policies.policy import Organisation
from wasabispur_core.workload.rows import unpack
from wasabispur_core.workload.run_times.run_time import run_kind, RunOutcome

from .simulated_owner import simulated_queue, SimulatedOwner

WORKERS = 650
RACK_SIZE = 13
ORGANISATIONS = 46
WAITING_JOBS = 300
"""The design scale: workers, organisations and jobs of which tasks wait."""

TASKS = 100
"""Tasks of each job, as single ones that are the dearest to sum up."""

LEARNED_RUNS = 40
"""Ended runs of each queue before the measurement, so that its run times are known."""

RUN_TIME = 17.0
REPETITIONS = 50

QUEUES = (
    simulated_queue("urgent", 0, 1.5),
    simulated_queue("batch", 1, 3.0),
    simulated_queue("bulk", 2, 3.0),
)

STEP = StepSpec(
    count=TASKS,
    demand=Resources(cpu=5_600, memory=29_000, accelerators=4),
    estimate=RUN_TIME,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionCost:
    """Describe the CPU times in ms, and the size of the row in bytes."""

    summary: float
    row: float
    decoding: float
    decision: float
    row_bytes: int
    waiting_jobs: int
    running_units: int


class AdmissionBench(SimulatedOwner):
    """Represent an owner with a full fleet and many waiting jobs."""

    def __init__(self, random: Random) -> None:
        super().__init__(now=1000.0, rack_size=RACK_SIZE)
        self.random = random
        self.jobs = 0
        names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
        self.own(QUEUES, map(_organisation, names), WORKERS)
        for number in range(LEARNED_RUNS):
            for queue in QUEUES:
                self._learn(queue.name, names[number % ORGANISATIONS])
        for number in range(WAITING_JOBS):
            self._submit(names[number % ORGANISATIONS])
        self._pass()
        while self.waiting_jobs() < WAITING_JOBS:
            self._submit(self.random.choice(names))
        self._pass()

    def waiting_jobs(self) -> int:
        """Return the number of jobs of which tasks wait."""
        return len({unit_id.job_id for unit_id in self.state.waiting})

    def _learn(self, queue: str, organisation: str) -> None:
        seconds = RUN_TIME * self.random.lognormvariate(0.0, 0.3)
        kind = run_kind(queue, organisation, STEP, f"{queue}.{self.random.random()}")
        self.state.run_times.record(kind, seconds, RunOutcome.COMPLETED)

    def _submit(self, organisation: str) -> None:
        self.jobs += 1
        queue = QUEUES[self.jobs % len(QUEUES)].name
        spec = JobSpec(
            job_id=f"{self.jobs:016x}",
            queue=queue,
            organisation=organisation,
            accepted_at=self.now,
            steps=(STEP,),
        )
        self.decide(JobArrived(spec=spec))

    def _pass(self) -> None:
        for _ in range(2):
            self.confirm_workers()
            self.state.capacity_changed = True
            self.decide(PlanningPassDue())


def _organisation(name: str) -> Organisation:
    return Organisation(name=name, guaranteed_accelerators=8)


def measure_admission(seed: int) -> AdmissionCost:
    """Return what the load costs at the design scale."""
    bench = AdmissionBench(Random(seed))
    load = summarise_load(bench.state, bench.now)
    value = load_row(load)
    terms = QUEUES[1].terms
    job = next(iter(bench.state.jobs.values())).spec
    candidate = Candidate(
        job_id="x",
        queue="batch",
        organisation=job.organisation,
        terms=terms,
        steps=job.steps,
    )
    return AdmissionCost(
        summary=_milliseconds(lambda: summarise_load(bench.state, bench.now)),
        row=_milliseconds(lambda: encode_json(load_row(load))),
        decoding=_milliseconds(lambda: unpack(FleetLoad, value).unwrap()),
        decision=_milliseconds(lambda: find_rejection(candidate, load, 0.5)),
        row_bytes=len(encode_json(value)),
        waiting_jobs=bench.waiting_jobs(),
        running_units=len(bench.state.view.running),
    )


def _milliseconds(call: Callable[[], object]) -> float:
    begun = time.process_time()
    for _ in range(REPETITIONS):
        call()
    return 1000 * (time.process_time() - begun) / REPETITIONS
