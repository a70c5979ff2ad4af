"""Log why units wait, and for how long, at the shard's owner.

A step gets a line when its units begin to wait for a reason, and further lines while
the wait goes on, at intervals that double.
"""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import UNIT_WAITING
from ..jobs.job import LoggedWait
from ..jobs.unit import Unit, unit_name
from ..owner.fleet_state import FleetState
from .plan import used_share_of, Wait, WorkerSnapshot

MAX_LOGGED_COST = 1e6
"""Core-seconds that stand in a log record for infinity, which JSON lacks."""

FIRST_REPEAT_INTERVAL = 4.0
"""Seconds of a wait after which it is logged again; each later interval doubles."""

STEP_LINES_LIMIT = 12
"""Lines about the waits of one step of an occurrence."""

REPEATS_PER_SECOND = 10
"""Lines a second about waits that were logged before, over all jobs."""


def log_wait(decision: Wait, state: FleetState, now: float) -> list[Command]:
    """Log why a unit waits, once for each reason and again while it lasts."""
    unit = state.unit(decision.unit_id)
    if unit is None:
        return []
    job = state.jobs[unit.unit_id.job_id]
    step = (unit.unit_id.occurrence, unit.unit_id.step)
    logged = job.waits.get(step)
    if logged is None:
        logged = job.waits[step] = LoggedWait()
    if not _line_due(logged, decision, unit, state, now):
        return []
    waited = now - unit.ready_at
    logged.reason = decision.reason
    logged.repeat_at = unit.ready_at + max(FIRST_REPEAT_INTERVAL, 2 * waited)
    logged.lines += 1
    workers = _candidates(unit, state)
    fields: dict[str, object] = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "reason": decision.reason.value,
        "tasks": unit.size,
        "cpu": unit.demand.cpu,
        "accelerators": unit.demand.accelerators,
        "estimate": unit.step.estimate,
        "guaranteed": unit.unit_id.job_id in state.view.covered,
        "waited": round(waited, 3),
        "loss_limit": round(min(decision.loss_limit, MAX_LOGGED_COST), 1),
        "rack": unit.step.data_rack,
        "single_rack": unit.step.gang and unit.step.same_rack,
        "hosts": decision.hosts,
        "fitting": _count_fitting(unit, workers),
        "workers": len(workers),
        "used": round(used_share_of(workers), 3),
        "ahead": decision.ahead,
        "failed_on": len(unit.failed_on),
    }
    if decision.least_cost is not None:
        fields["least_cost"] = round(min(decision.least_cost, MAX_LOGGED_COST), 1)
    if decision.shares is not None:
        share, fair_share = decision.shares
        fields |= {"share": round(share, 4), "fair_share": round(fair_share, 4)}
    return [WriteLog(number=UNIT_WAITING.number, fields=fields)]


def _line_due(
    logged: LoggedWait, decision: Wait, unit: Unit, state: FleetState, now: float
) -> bool:
    if logged.lines >= STEP_LINES_LIMIT:
        return False
    if logged.reason != decision.reason:
        return True
    if now < logged.repeat_at or now - unit.ready_at < FIRST_REPEAT_INTERVAL:
        return False
    if state.wait_lines.second != int(now):
        state.wait_lines.second, state.wait_lines.count = int(now), 0
    state.wait_lines.count += 1
    return state.wait_lines.count <= REPEATS_PER_SECOND


def _candidates(unit: Unit, state: FleetState) -> list[WorkerSnapshot]:
    """Return the ready workers with the unit's label, in any rack."""
    terms = state.terms(state.jobs[unit.unit_id.job_id])
    service = terms.service if terms else ""
    return [
        worker
        for worker in state.view.workers.values()
        if worker.ready
        and worker.service == service
        and (not unit.step.label or unit.step.label in worker.labels)
    ]


def _count_fitting(unit: Unit, workers: list[WorkerSnapshot]) -> int:
    """Return how many tasks of the unit fit into free resources, in any rack."""
    return sum(unit.demand.count_in(one.free, unit.size) for one in workers)
