"""Test how the shard's owner learns and uses the speeds of workers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from wasabispur.fleet_rows import decode_row
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import WriteLog
from wasabispur_core.log_event import (
    UNIT_PLACED,
    WORKER_SPEED_CHANGED,
    WORKER_SPEEDS_READ,
)
from wasabispur_core.metric import WORKERS_SLOW
from wasabispur_core.sharding.ownership import WriteRow
from wasabispur_core.storage.store import encode_json, Row
from wasabispur_core.workload.jobs.spec import JobSpec, Resources, StepSpec
from wasabispur_core.workload.owner.fleet_message import (
    FleetTick,
    JobArrived,
    PlanningPassDue,
    TableReady,
)
from wasabispur_core.workload.owner.scheduler import decide, new_fleet_state
from wasabispur_core.workload.planning.snapshot import take_snapshot
from wasabispur_core.workload.run_times.run_time import EstimateUse
from wasabispur_core.workload.run_times.run_time_row import (
    ESTIMATE_TABLE,
    ROW_BYTES_LIMIT,
)
from wasabispur_core.workload.run_times.speed_update import follow_speeds
from wasabispur_core.workload.run_times.worker_speed import (
    WORKER_LIMIT,
    WorkerSpeeds,
)
from wasabispur_core.workload.run_times.worker_speed_row import (
    restore_speeds,
    StoredSpeeds,
    worker_speeds_key,
    worker_speeds_row,
    WorkerSpeedsArrived,
)
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_runtime.workload_metrics import WorkloadMetrics
from wasabispur_standins.simulated_owner import (
    HORIZON,
    simulated_queue,
    SimulatedOwner,
)

from .test_planner import decide as plan_units, placed, waiting, worker
from .world import started_world


class UnequalOwner(SimulatedOwner):
    """Represent an owner whose workers run single tasks at different speeds."""

    seconds = 10.0
    lists_progress = True

    def __init__(self, workers=6, slow=(), estimate=10.0):
        super().__init__(now=0.0, rack_size=workers)
        self.slow = {f"w{number:03}" for number in slow}
        self.commands = []
        self.estimate = estimate
        self.jobs = 0
        self.own([simulated_queue("batch", 1, 9.0)], [], workers)

    def decide(self, message):
        self.commands = getattr(self, "commands", [])
        self.commands += decide(message, self.state, self.now)

    def member_percent(self, unit, worker_id):
        if not self.lists_progress:
            return 0
        elapsed = self.now - unit.members[0].started_at
        seconds = self.seconds * (1.3 if worker_id in self.slow else 1.0)
        return min(int(100 * elapsed / seconds), 99)

    def time_of(self, unit):
        slow = any(one.worker_ref.worker_id in self.slow for one in unit.members)
        return self.seconds * (1.3 if slow else 1.0)

    def play(self, jobs, kind=EndKind.DONE, **step):
        """Run jobs of one task for each worker, one job after the other."""
        count = len(self.reports)
        for _ in range(jobs):
            self.jobs += 1
            spec = JobSpec(
                job_id=f"j{self.jobs}",
                queue="batch",
                accepted_at=self.now,
                steps=(
                    StepSpec(
                        **{
                            "count": count,
                            "demand": Resources(cpu=100, accelerators=8),
                            "estimate": self.estimate,
                            **step,
                        }
                    ),
                ),
            )
            self.decide(JobArrived(spec=spec))
            self.decide(PlanningPassDue())
            self.run_out(spec.job_id, kind)

    def run_out(self, job_id, kind):
        """Pass time until all runs of a job have ended once."""
        units = list(self.state.jobs[job_id].units.values())
        ended = set()
        begun = self.now
        while len(ended) < len(units) and self.now < begun + 60.0:
            self.now += 0.5
            self.confirm_workers()
            for unit in units:
                if unit.unit_id in ended or not unit.members:
                    continue
                if self.now - unit.members[0].started_at >= self.time_of(unit):
                    ended.add(unit.unit_id)
                    self.end(unit, kind)
            for worker_id in list(self.reports):
                self.report(worker_id)
            self.decide(FleetTick())

    def rows(self):
        key = worker_speeds_key()
        rows = (one for one in self.commands if isinstance(one, WriteRow))
        return [one.value for one in rows if one.key == key]

    def records(self, event):
        logs = (one for one in self.commands if isinstance(one, WriteLog))
        return [one.fields for one in logs if one.number == event.number]


def test_owner_learns_from_ends_and_reports_slow_workers():
    """Guard against operators that don't see which workers are slow, or see it twice."""
    owner = UnequalOwner(slow=(4,))
    owner.play(8)
    assert owner.state.worker_speeds.factor("w004") > 1.15
    assert owner.state.worker_speeds.factors.keys() == {"w004"}
    (record,) = owner.records(WORKER_SPEED_CHANGED)
    assert record["worker"] == "w004"
    assert record["slow"] == 1
    owner.slow = set()
    owner.play(12)
    records = owner.records(WORKER_SPEED_CHANGED)
    assert [one["slow"] for one in records] == [1, 0]
    rows = owner.rows()
    assert len(rows) < 20 * 10 / 5
    assert all(one < 1_150 for one in rows[-1]["factors"])


def test_declared_estimates_don_t_change_the_factors():
    """Guard against callers that make workers look slow by their estimates."""
    factors = []
    for estimate in (0.5, 10.0, 900.0):
        owner = UnequalOwner(slow=(1, 4), estimate=estimate)
        owner.play(6)
        factors.append(owner.state.worker_speeds.factors)
    assert factors[0] == factors[1] == factors[2]
    assert factors[0]["w001"] > 1.1


@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.STOPPED, EndKind.BROKEN])
def test_runs_that_don_t_complete_are_no_samples(kind):
    """Guard against a worker that looks fast because it fails all runs at once."""
    owner = UnequalOwner()
    owner.lists_progress = False
    owner.play(3, kind)
    assert not owner.state.worker_speeds.estimates


def test_runs_on_cold_or_stalled_workers_are_no_samples():
    """Guard against workers that count as slow because they had just started."""
    owner = UnequalOwner(slow=(4,))
    owner.state.workers["w004"].cold_until = 1e9
    owner.state.workers["w003"].suspected_until = 1e9
    owner.play(2)
    assert owner.state.worker_speeds.estimates.keys().isdisjoint({"w003", "w004"})


def test_end_of_a_gang_is_a_sample_only_on_one_worker():
    """Guard against a worker that counts as slow because of another gang member's."""
    owner = UnequalOwner(slow=(4,))
    owner.lists_progress = False
    owner.play(6, gang=True)
    assert not owner.state.worker_speeds.steps


def test_progress_of_gang_members_tells_their_speeds():
    """Guard against gangs, which are most of the load, that teach the owner nothing."""
    owner = UnequalOwner(slow=(4,))
    owner.play(12, gang=True)
    assert owner.state.worker_speeds.factors.keys() == {"w004"}
    assert 1.1 < owner.state.worker_speeds.factor("w004") < 1.4


def test_expected_end_and_learned_times_follow_the_factor():
    """Guard against runs on slow workers that count as overdue, or as longer tasks."""
    owner = UnequalOwner(slow=(4,))
    owner.play(10)
    factor = owner.state.worker_speeds.factor("w004")
    owner.lists_progress = False
    owner.decide(JobArrived(spec=replace(owner.state.jobs["j1"].spec, job_id="last")))
    owner.decide(PlanningPassDue())
    running = take_snapshot(owner.state, owner.now).running
    times = {one.placement[0].worker_id: one.run_time for one in running}
    assert times["w004"] == pytest.approx(factor * times["w000"])
    slow_run = next(one for one in running if one.placement[0].worker_id == "w004")
    assert slow_run.ends_in == pytest.approx(slow_run.run_time, rel=0.01)
    learned = owner.state.run_times.steps["j10.0"]
    assert max(learned) < 1.2 * min(learned)


def test_placement_takes_the_workers_that_meet_the_objective():
    """Guard against an urgent gang delayed by its slowest worker beside faster ones."""
    slow = [replace_factor(worker(number), 1.3) for number in (0, 1)]
    fast = [worker(2), worker(3)]
    gang = waiting("gang", 8, size=2, remaining=5.0, run_time=5.0, objective=6.0)
    assert set(placed(plan_units([*slow, *fast], [gang]))["gang"]) == {"w2", "w3"}
    patient = replace(gang, objective=60.0)
    assert set(placed(plan_units([*slow, *fast], [patient]))["gang"]) == {"w0", "w1"}


def test_unit_never_waits_for_a_faster_worker():
    """Guard against capacity that stays idle because it is slow."""
    slow = replace_factor(worker(0), 4.0)
    busy = worker(1, used=8)
    urgent = waiting("x", 8, remaining=5.0, run_time=5.0, objective=6.0)
    assert placed(plan_units([slow, busy], [urgent])) == {"x": ["w0"]}


def test_late_unit_takes_the_fastest_worker():
    """Guard against a late unit on a slow worker beside a faster one that is slow too."""
    workers = [
        replace_factor(worker(0), 2.0),
        replace_factor(worker(1), 1.4),
        replace_factor(worker(2), 3.0),
    ]
    late = waiting("x", 8, remaining=5.0, run_time=5.0, objective=1.0)
    assert placed(plan_units(workers, [late])) == {"x": ["w1"]}


def replace_factor(snapshot, factor):
    snapshot.run_time_factor = factor
    return snapshot


def test_row_is_bounded_and_restores_the_most_certain_factors():
    """Guard against a row that outgrows its limit, or that loses certain factors."""
    model = WorkerSpeeds()
    for number in range(WORKER_LIMIT):
        model.restore(f"worker-{number:06}", 1.3, 1.0 + number / 500, 0.0)
    row = worker_speeds_row(model)
    assert len(encode_json(row)) <= ROW_BYTES_LIMIT
    assert row["workers"][0] == f"worker-{WORKER_LIMIT - 1:06}"
    read = decode_row(stored_row(row))
    restored = WorkerSpeeds()
    restore_speeds(restored, read.stored, 50.0)
    restored.update(2 * WORKER_LIMIT, 50.0)
    assert restored.factor(row["workers"][0]) == pytest.approx(1.3, abs=0.06)


def stored_row(value):
    return Row(key=worker_speeds_key(), version=1, operation_id="a", value=value)


@pytest.mark.parametrize(
    "value",
    [
        {"workers": ["a"], "factors": [1300], "weights": []},
        {"workers": ["a"], "factors": [0], "weights": [1000]},
        {"workers": ["a"], "factors": [5000], "weights": [1000]},
        {"workers": ["a"], "factors": [1300], "weights": [0]},
        {"workers": ["a"], "factors": [1300], "weights": [10**9]},
        {"workers": 3},
        {"workers": ["a"] * 3000, "factors": [1300] * 3000, "weights": [1] * 3000},
    ],
)
def test_unreadable_row_counts_as_absent(value):
    """Guard against an owner that fails on a row of another writer."""
    assert decode_row(stored_row(value)) is None


def test_owner_writes_nothing_before_it_has_read_the_row():
    """Guard against a new owner that overwrites what the former one learned."""
    state = UnequalOwner().state
    state.worker_speeds.stored_known = False
    state.worker_speeds.restore("w1", 1.4, 3.0, 1.0)
    state.worker_speeds.unsaved = True
    assert not [one for one in follow_speeds(state, 1.0) if isinstance(one, WriteRow)]
    stored = StoredSpeeds(workers=("w2",), factors=(1300,), weights=(4000,))
    commands = decide(WorkerSpeedsArrived(stored=stored), state, 2.0)
    assert [one.fields for one in commands] == [{"workers": 1, "slow": 2}]
    decide(TableReady(table=ESTIMATE_TABLE), state, 2.0)
    (row,) = [one for one in follow_speeds(state, 3.0) if isinstance(one, WriteRow)]
    assert row.value["workers"] == ["w2", "w1"]


def test_next_owner_knows_the_speeds():
    """Guard against an owner that learns all speeds again after each takeover."""
    world = started_world()
    first = world.owner()
    slow = sorted(first.fleet.workers)[0]
    speeds = first.fleet.worker_speeds
    speeds.restore(slow, 1.4, 6.0, world.timers.now())
    speeds.unsaved = True
    world.advance(6)
    assert worker_speeds_key() in world.store.rows
    for index in range(len(world.entries)):
        world.kill_entry(index)
    world.advance(6)
    owner = world.owner()
    assert WORKER_SPEEDS_READ.number in owner.logs
    assert owner.fleet.worker_speeds.factor(slow) == pytest.approx(1.4, abs=0.1)


@pytest.mark.parametrize(
    "settings", [{"worker_speeds": False}, {"estimate_use": EstimateUse.NOTHING}]
)
def test_owner_without_the_setting_learns_nothing(settings):
    """Guard against deployments whose decisions or rows change without the setting."""
    state = new_fleet_state(ChartCatalogue(), HORIZON, **settings)
    assert not state.worker_speeds.enabled
    owner = UnequalOwner(slow=(4,))
    owner.state.worker_speeds.enabled = False
    owner.play(8)
    stored = StoredSpeeds(workers=("w002",), factors=(1300,), weights=(4000,))
    owner.state.worker_speeds.stored_known = False
    owner.decide(WorkerSpeedsArrived(stored=stored))
    assert not owner.state.worker_speeds.estimates
    assert not owner.state.worker_speeds.factors
    assert not owner.rows()


def test_placement_record_names_the_factor_only_if_it_is_known():
    """Guard against records that grow by a field that says nothing."""
    owner = UnequalOwner(slow=(4,))
    owner.play(1)
    assert not any("factor" in one for one in owner.records(UNIT_PLACED))
    owner.play(8)
    known = [one for one in owner.records(UNIT_PLACED) if "factor" in one]
    assert known
    assert {one["workers"][0] for one in known} == {"w004"}
    assert known[-1]["factor"] > 1.15


class Gauges:
    """Represent the registry of metrics, with the last value of each gauge."""

    def __init__(self):
        self.values = {}

    def count(self, metric, *args, **labels):
        pass

    def record(self, metric, value, **labels):
        self.values[metric.name] = value


def test_gauge_counts_slow_workers():
    """Guard against a gauge that doesn't follow what the owner knows."""
    gauges = Gauges()
    metrics = WorkloadMetrics(gauges, sink=None)
    owner = UnequalOwner(slow=(1, 4))
    owner.play(10)
    metrics.observe(FleetTick(), owner.commands, owner.now)
    assert gauges.values[WORKERS_SLOW.name] == 2
