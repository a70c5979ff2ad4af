"""Test that jobs of an odd shape cost the owner little time."""

from __future__ import annotations

from typing import Any

from wasabispur_core.workload.jobs import step_graph
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.jobs.spec import STEPS_LIMIT, StepSpec

from .world import started_world, tasks

ESTIMATES_LIMIT = 100 * STEPS_LIMIT
"""Estimates of a step's run time that the owner may need for one job."""


def complete_graph(steps: int) -> list[StepSpec]:
    """Return steps of one task, each of which waits for all earlier ones."""
    return [tasks(1, after=tuple(range(number))) for number in range(steps)]


def limit_estimates(monkeypatch: Any, limit: int) -> list[int]:
    """Let the estimate of a step's run time fail after a number of uses."""
    uses = [0]
    estimate = step_graph.run_estimate

    def counted(step: StepSpec) -> float:
        uses[0] += 1
        assert uses[0] <= limit, "too many estimates"
        return estimate(step)

    monkeypatch.setattr(step_graph, "run_estimate", counted)
    return uses


def test_job_of_many_dependencies_costs_little_time(monkeypatch):
    """Guard against an owner that follows each of 2**98 paths through 100 steps."""
    uses = limit_estimates(monkeypatch, ESTIMATES_LIMIT)
    world = started_world()
    job = world.submit(*complete_graph(STEPS_LIMIT), duration=0.1)
    other = world.submit(tasks(1), duration=1.0)
    world.advance(3)
    assert world.state_of(other).job_state is JobState.COMPLETED
    world.advance(30)
    assert world.state_of(job).job_state is JobState.COMPLETED
    assert uses[0]
