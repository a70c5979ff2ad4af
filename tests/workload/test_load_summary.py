"""Test what the owner sums up of capacity and open work."""

from __future__ import annotations

from dataclasses import replace

import pytest

from wasabispur_core.sharding.ownership import WriteRow
from wasabispur_core.workload.admission.load_publication import (
    PUBLICATION_INTERVAL,
    RENEWAL_INTERVAL,
    write_load,
)
from wasabispur_core.workload.admission.load_summary import summarise_load
from wasabispur_core.workload.admission.work import Work
from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.owner.fleet_message import JobArrived, PlanningPassDue
from wasabispur_core.workload.policies.cordon import CordonsChanged
from wasabispur_core.workload.run_times.run_forecast import job_forecast
from wasabispur_core.workload.run_times.run_time import EstimateUse
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_standins.simulated_owner import simulated_queue, SimulatedOwner

WORKERS = 6
RUN_TIME = 10.0


class LoadedOwner(SimulatedOwner):
    """Represent an owner with six workers of eight accelerators."""

    def __init__(self, learned: bool = True) -> None:
        super().__init__(now=1000.0, rack_size=3)
        self.state.published_load.enabled = True
        queue = simulated_queue("batch", 1, 1.0)
        self.own([queue], [], WORKERS)
        if learned:
            self.submit("first", 1)
            self.plan()
            self.now += RUN_TIME
            self.end(self.state.unit(UnitId("first", 0, 0, 0)), EndKind.DONE)

    def submit(
        self,
        job_id: str,
        tasks: int,
        organisation: str = "a",
        estimate: float = RUN_TIME,
    ) -> None:
        step = StepSpec(
            count=tasks, demand=Resources(cpu=1000, accelerators=8), estimate=estimate
        )
        spec = JobSpec(
            job_id=job_id,
            queue="batch",
            organisation=organisation,
            accepted_at=self.now,
            steps=(step,),
        )
        self.decide(JobArrived(spec=spec))

    def plan(self) -> None:
        self.confirm_workers()
        self.decide(PlanningPassDue())

    def load(self):
        return summarise_load(self.state, self.now)

    def work(self, organisation: str = "a") -> Work:
        (service,) = self.load().services
        (level,) = service.levels
        return level.work[organisation]

    def written(self, seconds: float) -> bool:
        self.now += seconds
        commands = write_load(self.state, self.now)
        return any(isinstance(command, WriteRow) for command in commands)


def test_open_work_shrinks_as_runs_go_on():
    """Guard against work that counts as open until its run ends."""
    owner = LoadedOwner()
    owner.submit("j", 60)
    owner.submit("k", 20, "b")
    owner.plan()
    before = owner.work().accelerators + owner.work("b").accelerators
    for job_id, organisation, tasks in (("j", "a", 60), ("k", "b", 20)):
        forecast = job_forecast(owner.state.jobs[job_id], owner.state).steps[0]
        expected = tasks * 8 * forecast.quantile(0.25)
        found = owner.work(organisation).accelerators
        assert found == pytest.approx(expected, rel=0.02)
    owner.now += 3.0
    owner.plan()
    done = before - owner.work().accelerators - owner.work("b").accelerators
    assert done == pytest.approx(3.0 * 8 * WORKERS, rel=0.1)


def test_effect_of_wrong_estimates_is_bounded():
    """Guard against an organisation whose estimates put it ahead of all others."""
    owner = LoadedOwner()
    owner.submit("j", 100, estimate=1e9)
    owner.plan()
    _, upper = owner.load().run_times["batch"]
    assert owner.work().accelerators <= 100 * 8 * upper


def test_capacity_is_that_of_usable_workers():
    """Guard against capacity that a cordon has taken."""
    owner = LoadedOwner()
    (service,) = owner.load().services
    assert service.capacity.accelerators == 8 * WORKERS
    worker = owner.state.workers["w000"]
    worker.info = replace(worker.info, data_centre="a2")
    owner.decide(CordonsChanged(data_centres=frozenset(("a2",))))
    (service,) = owner.load().services
    assert service.capacity.accelerators == 8 * (WORKERS - 1)


@pytest.mark.parametrize("use", [EstimateUse.ALL, EstimateUse.NOTHING])
def test_unknown_run_times_are_no_work(use):
    """Guard against rejections by callers' estimates, which are far off."""
    owner = LoadedOwner(learned=use is EstimateUse.NOTHING)
    owner.state.run_times.use = use
    owner.submit("j", 900)
    owner.plan()
    load = owner.load()
    assert not load.run_times
    assert not load.contended


def test_jobs_without_value_count_apart():
    """Guard against rejections by work that the planner puts last."""
    owner = LoadedOwner()
    owner.submit("old", 100)
    owner.now += 100
    owner.submit("new", 100, "b")
    owner.plan()
    ((level,),) = (service.levels for service in owner.load().services)
    assert level.work.keys() == {"b"}
    assert level.worthless.accelerators > 0


def test_row_is_written_on_change_and_while_contended():
    """Guard against writes in each tick, and a row that expires under a live owner."""
    owner = LoadedOwner()
    owner.written(PUBLICATION_INTERVAL)
    assert not any(owner.written(1.0) for _ in range(10))
    owner.submit("j", 2000)
    owner.plan()
    assert owner.written(PUBLICATION_INTERVAL)
    assert not owner.written(PUBLICATION_INTERVAL / 2)
    renewals = sum(owner.written(0.25) for _ in range(40))
    assert renewals == 10 / RENEWAL_INTERVAL
