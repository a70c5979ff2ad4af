"""Test the experiment tool, and what callers get of the loads that it plays."""

from __future__ import annotations

import json
from random import Random

from click.testing import CliRunner

from wasabispur_core.workload.run_times.run_time import EstimateUse
from wasabispur_standins.experiment_command import fleet_experiment
from wasabispur_standins.faulty_fleet import play_faulty_load
from wasabispur_standins.faulty_worker import FaultKind, FaultPlan
from wasabispur_standins.fleet_experiment import FleetExperiment, play_load
from wasabispur_standins.fleet_forecast import ForecastErrors
from wasabispur_standins.fleet_load import generate_jobs
from wasabispur_standins.fleet_result import add_results

URGENT_START_TARGET = 3.4
"""Seconds within which urgent work starts, at the size to design for."""


def test_same_seed_plays_the_same_load():
    """Guard against results that can't be compared between two versions."""
    first = play_load(workers=12, organisations=4, rate=0.4, duration=30.0, seed=3)
    again = play_load(workers=12, organisations=4, rate=0.4, duration=30.0, seed=3)
    assert first == again


def test_idle_fleet_serves_all_jobs_in_time():
    """Guard against an experiment that counts jobs as late that met their objective."""
    results = play_load(workers=77, organisations=10, rate=0.2, duration=60.0, seed=1)
    assert results["urgent"].in_time == results["urgent"].owed > 0
    assert not sum(result.preemptions for result in results.values())


def test_command_prints_one_row_for_each_queue():
    """Guard against a queue that is missing from the results."""
    options = ["--workers", "12", "--rate", "0.3", "--seconds", "20", "--seeds", "1"]
    printed = CliRunner().invoke(fleet_experiment, [*options, "--output", "json"])
    assert printed.exit_code == 0
    assert set(json.loads(printed.output)) == {"urgent", "batch", "bulk"}
    table = CliRunner().invoke(fleet_experiment, options)
    assert [line.split()[0] for line in table.output.splitlines()[1:4]] == [
        "urgent",
        "batch",
        "bulk",
    ]


def test_urgent_work_starts_in_time_beside_deferrable_work():
    """Guard against urgent callers that wait while only deferrable work is in time.

    The bounds are the target of 3.4 s for the start of urgent work, and a fleet on
    which no other queue suffers.
    """
    seeds = range(1, 4)
    results = add_results([play_load(77, 10, 3.0, 40.0, seed) for seed in seeds])
    assert results["urgent"].wait(0.95) <= URGENT_START_TARGET
    for queue in ("batch", "bulk"):
        assert results[queue].share(results[queue].too_late) == 0.0


def test_learned_run_times_are_nearer_than_declared_ones():
    """Guard against estimates off by nine tenths that stay what the owner plans by."""
    errors = ForecastErrors()
    for seed in (1, 2):
        wrong = (0.9, 0.9, 0.9)
        play_load(
            77, 10, 2.0, 75.0, seed, estimate_errors=wrong, forecast_errors=errors
        )
    rows = {(row["queue"], row["finished_runs"]): row for row in errors.rows()}
    row = rows["urgent", 30]
    assert row["jobs"] > 50
    assert row["learned_p50"] < row["declared_p50"]
    assert row["learned_p90"] < 0.7 * row["declared_p90"]


def test_owner_without_learned_run_times_stores_none():
    """Guard against a load that is played with another use of run times than named."""
    (first, *_) = generate_jobs(1.0, 20.0, 2, Random(1))
    for use, learned in ((EstimateUse.NOTHING, 0), (EstimateUse.NEEDS, 1)):
        experiment = FleetExperiment(12, 2, [first], estimate_use=use)
        experiment.play(120.0)
        assert len(experiment.state.run_times.groups) == learned


def test_flood_counts_apart_and_leaves_the_other_jobs():
    """Guard against the jobs of a flood that count as those of its victims."""
    alone = play_load(77, 10, 0.3, 20.0, 1)
    beside = play_load(77, 10, 0.3, 20.0, 1, flood=0.3)
    assert set(beside) - set(alone) <= {"urgent+", "batch+", "bulk+"}
    assert beside["urgent+"].waits
    assert len(beside["urgent"].waits) == len(alone["urgent"].waits) > 0


def test_health_checks_spare_units_on_faulty_workers():
    """Guard against an experiment or owner for which faulty workers cost nothing."""
    failed = []
    for health_checks in (False, True):
        plan = FaultPlan(FaultKind.ERROR, 3, health_checks)
        _, cost = play_faulty_load(30, 4, 1.0, 25.0, 1, 0, plan)
        failed.append(cost.failed)
    assert 0 < failed[1] < failed[0]


def test_admission_rejects_only_the_flood():
    """Guard against admission control that rejects others, or nobody in a flood."""
    load = (4, 4, 0.06, 90.0, 1)
    results = play_load(*load, flood=1.0, admission=True)
    rejected = {queue for queue, result in results.items() if result.rejected}
    assert rejected
    assert all(queue.endswith("+") for queue in rejected)
    calm = play_load(12, 4, 0.1, 40.0, 1, admission=True)
    assert calm == play_load(12, 4, 0.1, 40.0, 1)
