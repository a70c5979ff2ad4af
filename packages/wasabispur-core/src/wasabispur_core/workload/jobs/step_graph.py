"""Derive the order and the declared run time of a job's steps, once for each job."""

from __future__ import annotations

from collections.abc import Sequence

from .spec import StepSpec

DEFAULT_ESTIMATE = 5.0
"""Seconds that a task is assumed to run if its caller gave no estimate."""


class StepGraph:
    """Represent the dependencies between the steps of a job.

    required contains for each step those that have to complete first, and dependents
    those that wait for it. An entry in after that names no step is ignored.
    critical_paths contains for each step the seconds of the step and its longest chain
    of dependents, by the declared estimates, and longest_path the largest of them.
    """

    def __init__(self, steps: Sequence[StepSpec]) -> None:
        known = range(len(steps))
        self.required = [frozenset(step.after).intersection(known) for step in steps]
        self.dependents: list[list[int]] = [[] for _ in steps]
        for number, required in enumerate(self.required):
            for earlier in required:
                self.dependents[earlier].append(number)
        self.initial = [number for number in known if not self.required[number]]
        self.critical_paths = self.critical_paths_of([*map(run_estimate, steps)])
        self.longest_path = max(self.critical_paths, default=0.0)

    def critical_paths_of(self, run_times: Sequence[float]) -> list[float]:
        """Return the path of each step from the run times of the steps, in seconds."""
        paths = [0.0] * len(run_times)
        for number in reversed(range(len(run_times))):
            # A stored job may have a step that waits for itself or for a later one.
            later = [paths[one] for one in self.dependents[number] if one > number]
            paths[number] = run_times[number] + max(later, default=0.0)
        return paths


def run_estimate(step: StepSpec) -> float:
    """Return the estimated run time of one task of the step in seconds."""
    return step.estimate or DEFAULT_ESTIMATE
