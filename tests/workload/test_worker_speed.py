"""Test what is learned of the speeds of workers from samples."""

from __future__ import annotations

from random import Random

import pytest

from wasabispur_core.workload.run_times.run_progress import RunProgress
from wasabispur_core.workload.run_times.worker_speed import (
    SampleSource,
    SpeedSample,
    StepKey,
    WORKER_LIMIT,
    WorkerSpeeds,
)
from wasabispur_core.workload.run_times.worker_speed_row import (
    restore_speeds,
    StoredSpeeds,
)

SPREAD = 0.2
"""Standard deviation of the logarithms of the run times of one step's tasks."""


class Fleet:
    """Represent workers whose runs feed a model, with tasks that differ by chance."""

    def __init__(self, *factors, seed=1):
        self.factors = {f"w{number}": one for number, one in enumerate(factors)}
        self.model = WorkerSpeeds()
        self.random = Random(seed)
        self.now = 0.0
        self.steps = 0

    def run(self, steps, spread=SPREAD):
        """Let each worker run a task of each of some steps."""
        for _ in range(steps):
            self.steps += 1
            base = self.random.uniform(5.0, 20.0)
            for worker_id, factor in self.factors.items():
                seconds = base * factor * self.random.lognormvariate(0.0, spread)
                key = StepKey(f"j{self.steps}", 0, SampleSource.END)
                sample = SpeedSample(key=key, worker_id=worker_id, seconds=seconds)
                self.model.observe(sample, seconds, self.now)
            self.now += 20.0
            self.model.compare_due(self.now)
            self.model.update(len(self.factors), self.now)
        return self.model


def test_slow_workers_are_told_from_others():
    """Guard against a third of slow workers that the owner can't tell from others."""
    model = Fleet(*(1.0, 1.0, 1.3) * 7).run(10)
    slow = [model.factor(f"w{number}") for number in range(2, 21, 3)]
    usual = [model.factor(f"w{number}") for number in range(21) if number % 3 != 2]
    assert 1.15 < sum(slow) / len(slow) < 1.35
    assert 0.93 < sum(usual) / len(usual) < 1.07


def test_one_sample_is_shrunk_towards_a_typical_worker():
    """Guard against a worker that counts as slow because of one long task."""
    model = Fleet(1.0, 1.0, 1.0, 1.0, 2.0).run(1, spread=0.0)
    assert 1.0 < model.factor("w4") < 1.4


@pytest.mark.parametrize("factor", [1.0, 1.5, 3.0])
def test_workers_of_an_equally_slow_fleet_are_typical(factor):
    """Guard against factors of a whole fleet that drift away from 1."""
    model = Fleet(*(factor,) * 20).run(40)
    mean = sum(model.factor(f"w{number}") for number in range(20)) / 20
    assert mean == pytest.approx(1.0, abs=0.05)
    assert all(0.75 < one < 1.3 for one in model.factors.values())


def test_worker_that_becomes_slow_and_recovers_is_noticed_after_a_few_runs():
    """Guard against old samples that outweigh what a worker has become."""
    fleet = Fleet(*(1.0,) * 8)
    fleet.run(20, spread=0.05)
    assert fleet.model.factor("w0") == 1.0
    fleet.factors["w0"] = 1.3
    fleet.run(8, spread=0.05)
    assert fleet.model.factor("w0") > 1.15
    fleet.factors["w0"] = 1.0
    fleet.run(8, spread=0.05)
    assert fleet.model.factor("w0") < 1.1


def test_slow_worker_without_runs_is_tried_again():
    """Guard against a recovered worker that gets no runs because it was slow."""
    fleet = Fleet(*(1.0, 1.0, 1.3) * 2)
    model = fleet.run(10, spread=0.0)
    assert model.factor("w2") > 1.15
    model.update(len(fleet.factors), fleet.now + 2_400.0)
    assert model.factor("w2") == 1.0


def test_first_ends_of_a_step_don_t_make_the_later_ones_slow():
    """Guard against runs that are compared only with those that ended before them."""
    model = Fleet(*(1.0,) * 12).run(1)
    logs = [one.total / one.weight for one in model.estimates.values()]
    assert sum(logs) / len(logs) == pytest.approx(0.0, abs=0.08)


def test_gang_in_lockstep_tells_nothing():
    """Guard against a slow worker hidden by the equal rates of its gang's members."""
    model = Fleet(1.0, 1.0, 1.3).run(12, spread=0.0)
    before = model.estimates["w2"].samples
    key = StepKey("gang", 0, SampleSource.PROGRESS)
    for number in range(3):
        sample = SpeedSample(
            key=key, worker_id=f"w{number}", seconds=10.0 + 0.1 * number, spread=True
        )
        model.observe(sample, 4.0, 1_000.0)
    model.compare_due(1_100.0)
    assert model.estimates["w2"].samples == before


def test_restarted_worker_keeps_its_factor_with_the_weight_of_one_sample():
    """Guard against a new incarnation that is unknown, or known for certain."""
    fleet = Fleet(*(1.0, 1.0, 1.3) * 3)
    model = fleet.run(12, spread=0.05)
    known = model.factor("w2")
    model.restart("w2", fleet.now)
    model.update(len(fleet.factors), fleet.now)
    assert model.factor("w2") == pytest.approx(known, abs=0.06)
    assert model.estimates["w2"].weight == pytest.approx(1.0)
    fleet.factors["w2"] = 1.0
    fleet.run(4, spread=0.0)
    assert model.factor("w2") < 1.15


def test_factors_of_removed_workers_are_dropped_first():
    """Guard against memory that grows with each worker that ever ran."""
    model = WorkerSpeeds()
    for number in range(WORKER_LIMIT + 50):
        model.restore(f"w{number}", 1.3, 4.0, 0.0)
    present = {f"w{number}" for number in range(25)}
    model.forget_beyond_limit(present)
    assert len(model.estimates) == WORKER_LIMIT
    assert present <= model.factors.keys()
    assert "w25" not in model.factors


@pytest.mark.parametrize(
    "percents",
    [
        [0, 0, 80, 81, 82, 83],
        [0, 10, 5, 15, 30, 40],
        [30, 30, 30, 30, 30, 30],
        [100, 100, 100, 100, 100, 100],
    ],
)
def test_implausible_progress_is_no_sample(percents):
    """Guard against percentages that jump, decrease or don't change."""
    progress = RunProgress()
    for now, percent in enumerate(percents):
        progress.update(percent, False, float(now))
        assert progress.whole_time is None


def test_steady_progress_tells_the_time_of_the_task():
    """Guard against rates that never count as plausible."""
    progress = RunProgress()
    for now, percent in enumerate((0, 11, 19, 30)):
        progress.update(percent, False, float(now))
    assert progress.whole_time == pytest.approx(10.0)


def test_what_was_learned_before_the_row_arrived_counts_as_later():
    """Guard against a stored factor that outweighs what a new owner has seen."""
    fleet = Fleet(*(1.0,) * 6)
    fleet.run(6, spread=0.0)
    stored = StoredSpeeds(workers=("w0",), factors=(1400,), weights=(5000,))
    restore_speeds(fleet.model, stored, fleet.now)
    fleet.model.update(len(fleet.factors), fleet.now)
    assert 1.0 < fleet.model.factor("w0") < 1.2
