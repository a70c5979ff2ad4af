"""Derive the order and the expected run time of a job's steps, once for each job."""

from __future__ import annotations

from collections.abc import Sequence

from .spec import StepSpec

DEFAULT_ESTIMATE = 5.0
"""Seconds that a task is assumed to run if its caller gave no estimate."""


class StepGraph:
    """Represent the dependencies between the steps of a job.

    required contains for each step those that have to complete first, and dependents
    those that wait for it. An entry in after that names no step is ignored.
    critical_paths contains for each step the estimated seconds of the step and its
    longest chain of dependents, and longest_path the largest of them.
    """

    def __init__(self, steps: Sequence[StepSpec]) -> None:
        known = range(len(steps))
        self.required = [frozenset(step.after).intersection(known) for step in steps]
        self.dependents: list[list[int]] = [[] for _ in steps]
        for number, required in enumerate(self.required):
            for earlier in required:
                self.dependents[earlier].append(number)
        self.initial = [number for number in known if not self.required[number]]
        self.critical_paths = self._critical_paths(steps)
        self.longest_path = max(self.critical_paths, default=0.0)

    def _critical_paths(self, steps: Sequence[StepSpec]) -> list[float]:
        """Return the path of each step, computed once, from the last step on."""
        paths = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            # A stored job may have a step that waits for itself or for a later one.
            later = [paths[one] for one in self.dependents[number] if one > number]
            paths[number] = run_estimate(steps[number]) + max(later, default=0.0)
        return paths


def run_estimate(step: StepSpec) -> float:
    """Return the estimated run time of one task of the step in seconds."""
    return step.estimate or DEFAULT_ESTIMATE
