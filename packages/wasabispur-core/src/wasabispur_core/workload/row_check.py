"""Check that the values of a row are possible, beyond their types.

Another writer may leave an entry with a number or an address that no worker or job can
have. The scheduler computes with these values.
"""

from __future__ import annotations

from functools import singledispatch
from math import isfinite
from typing import Any

from .jobs.spec import JobSpec, Resources, STEPS_LIMIT, StepSpec, TASKS_LIMIT
from .workers.worker import WorkerReport

AMOUNT_LIMIT = 1_000_000_000
"""Largest amount of one resource: thousandths of a core, MB or devices."""

COUNTER_LIMIT = 2**63
"""Exclusive limit of numbers that count reports, heartbeats or starts."""

INCARNATION_LENGTH_LIMIT = 20
"""Largest number of digits of an incarnation."""

PORTS = range(1, 65_536)


@singledispatch
def row_problem(value: Any) -> str:
    """Return what is impossible in the value of a row, or an empty string."""
    return ""


@row_problem.register
def _(value: WorkerReport) -> str:
    info = value.info
    if not is_address(info.address):
        return f"address {info.address[:40]!r} is not host:port"
    if not (info.incarnation.isascii() and info.incarnation.isdigit()):
        return "the incarnation is not a number"
    if len(info.incarnation) > INCARNATION_LENGTH_LIMIT:
        return f"the incarnation has more than {INCARNATION_LENGTH_LIMIT} digits"
    if not all(0 <= one < COUNTER_LIMIT for one in (value.number, info.sequence)):
        return "the number or the sequence is out of range"
    if not isfinite(info.remaining) or not isfinite(info.cold_left):
        return "the remaining or the cold time is not finite"
    counters = value.health_age, value.health_changes
    if not all(0 <= one < COUNTER_LIMIT for one in counters):
        return "the age or the changes of the health check's answer are out of range"
    return _resources_problem(info.capacity)


@row_problem.register
def _(value: JobSpec) -> str:
    if len(value.steps) > STEPS_LIMIT:
        return f"the job has more than {STEPS_LIMIT} steps"
    if not 0 <= value.repeats < COUNTER_LIMIT:
        return "the number of repeats is out of range"
    if not all(map(isfinite, (value.accepted_at, value.start_at))):
        return "a time is not finite"
    problems = map(_step_problem, value.steps)
    return next(filter(None, problems), "")


def is_address(text: str) -> bool:
    """Return whether a text is an address of the form host:port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal() and len(port) <= 5 and int(port) in PORTS


def _step_problem(step: StepSpec) -> str:
    if not 1 <= step.count <= TASKS_LIMIT:
        return f"a step has no task or more than {TASKS_LIMIT}"
    if not isfinite(step.estimate):
        return "an estimate is not finite"
    return _resources_problem(step.demand)


def _resources_problem(resources: Resources) -> str:
    amounts = (resources.cpu, resources.memory, resources.accelerators)
    if all(0 <= amount <= AMOUNT_LIMIT for amount in amounts):
        return ""
    return f"an amount of resources is not between 0 and {AMOUNT_LIMIT}"
