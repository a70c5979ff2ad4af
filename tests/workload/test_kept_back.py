"""Test what ends the states in which a unit is kept from the planner."""

from __future__ import annotations

from wasabispur_core.workload import job_lifecycle

from .world import COMPLETED, started_world, tasks


def test_job_goes_on_if_the_last_created_unit_completes_an_occurrence(monkeypatch):
    """Guard against an error in each tick, after which nothing of any job begins."""
    monkeypatch.setattr(job_lifecycle, "OPEN_UNITS_LIMIT", 1)
    world = started_world(workers=1)
    job = world.submit(
        tasks(1),
        duration=0.5,
        repeats=2,
        repeat_interval=1.0,
        start_at=world.timers.now(),
    )
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED
