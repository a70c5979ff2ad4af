"""Decide whether a waiting unit waits on for workers on which it is likely to succeed.

A run on a suspected worker may fail and use up an attempt. A unit with attempts left
loses about the time of one run then, so it waits no longer than that. A unit on its
last attempt waits as long as its job can still end with some value. A refusal uses up
no attempt, so that a worker that refuses is soon asked again.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch

from .plan import WaitingUnit, WorkerSnapshot
from .preference import AcceptingWorkers, Preference
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
    """Return whether the unit waits on for workers that are not suspected.

    workers contains all workers by their ids.
    """
    limit = time_at_risk(preference, unit)
    idle = unit.unit_id.job_id not in rack_wait.busy_jobs
    if unit.long_running or (idle and rack_wait.is_quiet(unit.service, workers)):
        # The users count a job as lost that runs nothing beside free workers.
        limit = min(limit, IDLE_JOB_WAIT)
    return rack_wait.now - unit.ready_at < limit


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
