"""Test that benchmark runs with the same seed are reproducible."""

from __future__ import annotations

from random import Random

from wasabispur_standins.job_baseline import BaselineScheduler, first_fit
from wasabispur_standins.job_load import fleets, generate_jobs
from wasabispur_standins.job_model import JobModel

WINDOW = 3600.0
"""Seconds of simulated time in which jobs are submitted."""


def test_same_seed_gives_the_same_run():
    """Guard against benchmark figures that a second run can't reproduce."""
    model = fleets()[0]
    runs = []
    for _ in range(2):
        jobs = generate_jobs(model, Random(3), WINDOW)
        runs.append(JobModel(model, jobs, 3).run(WINDOW, 2 * WINDOW))
    assert runs[0].starts == runs[1].starts
    assert runs[0].ends == runs[1].ends


def test_model_and_baseline_run_the_same_work():
    """Guard against a comparison of different loads or run times."""
    model = fleets()[0]
    jobs = generate_jobs(model, Random(3), WINDOW)
    real = JobModel(model, jobs, 3).run(WINDOW, 30 * WINDOW)
    plain = BaselineScheduler("first fit", first_fit, model, jobs).run(
        WINDOW, 30 * WINDOW
    )
    assert real.ends.keys() == plain.ends.keys() == {job.job_id for job in jobs}
    for job in jobs:
        assert plain.ends[job.job_id] - plain.starts[job.job_id] >= job.run_time - 0.1
        assert real.ends[job.job_id] - job.submitted >= job.run_time - 0.1
