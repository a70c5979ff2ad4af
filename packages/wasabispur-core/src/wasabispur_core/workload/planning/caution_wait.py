"""Decide whether a waiting unit waits on for workers on which it is likely to succeed.

A run on a suspected worker may fail and use up an attempt. A unit with attempts left
loses about the time of one run then, so it waits no longer than that. A unit on its
last attempt waits as long as its job can still end with some value. A refusal uses up
no attempt, so that a worker that refuses is soon asked again.

A suspicion ends by itself within seconds, and a worker that fails all it starts is
always free, so that it would use up the attempts of a whole backlog. So a suspected
worker is used only in a quiet service, for a unit without an end or for a job that
would otherwise run nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from math import inf

from .plan import WaitingUnit, WorkerSnapshot
from .preference import AcceptingWorkers, Preference, UnsuspectedWorkers
from .rack_wait import IDLE_JOB_WAIT, RackWait
from .waiting_order import LATENESS_FACTOR_LIMIT

REFUSAL_RETRY_TIME = 2.0
"""Seconds for which a unit waits for other workers than those that refused it."""


def caution_pays(
    preference: Preference,
    unit: WaitingUnit,
    rack_wait: RackWait,
    workers: Mapping[str, WorkerSnapshot],
) -> bool:
    """Return whether the unit keeps waiting for workers that satisfy the preference.

    workers contains all workers by their ids.
    """
    idle = unit.unit_id.job_id not in rack_wait.busy_jobs
    quiet = rack_wait.is_quiet(unit.service, workers)
    limit = wait_limit(preference, unit, idle, quiet)
    return rack_wait.now - unit.ready_at < limit


@singledispatch
def wait_limit(
    preference: Preference, unit: WaitingUnit, idle: bool, quiet: bool
) -> float:
    """Return the seconds for which the unit waits at most.

    idle is set if the unit's job runs nothing, and quiet if little of the service's
    capacity is in use. The users count such a job as lost beside free workers.
    """
    limit = time_at_risk(preference, unit)
    return min(limit, IDLE_JOB_WAIT) if unit.long_running or (idle and quiet) else limit


@wait_limit.register
def _(
    preference: UnsuspectedWorkers, unit: WaitingUnit, idle: bool, quiet: bool
) -> float:
    if not quiet or not (idle or unit.long_running):
        return inf
    limit = time_at_risk(preference, unit)
    return min(limit, IDLE_JOB_WAIT) if unit.attempts_left > 1 else limit


@singledispatch
def time_at_risk(preference: Preference, unit: WaitingUnit) -> float:
    """Return the seconds that the job may lose by a run without the preference."""
    if unit.attempts_left > 1:
        return unit.run_time
    start = unit.objective - unit.target_span
    last_end = start + LATENESS_FACTOR_LIMIT * unit.target_span
    return max(last_end - unit.remaining - unit.ready_at, unit.run_time)


@time_at_risk.register
def _(preference: AcceptingWorkers, unit: WaitingUnit) -> float:
    return REFUSAL_RETRY_TIME
