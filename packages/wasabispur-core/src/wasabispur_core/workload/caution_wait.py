"""Decide whether a waiting unit waits on for workers on which it is likely to succeed.

A run on a suspected worker may fail and use up an attempt. A unit with attempts left
loses about the time of one run then, so it waits no longer than that. A unit on its
last attempt waits as long as its job can still end with some value.
"""

from __future__ import annotations

from collections.abc import Mapping

from .plan import WaitingUnit, WorkerSnapshot
from .rack_wait import IDLE_JOB_WAIT, RackWait
from .waiting_order import LATENESS_FACTOR_LIMIT


def caution_pays(
    unit: WaitingUnit,
    rack_wait: RackWait,
    workers: Mapping[str, WorkerSnapshot],
) -> bool:
    """Return whether the unit waits on for workers that are not suspected.

    workers contains all workers by their ids.
    """
    limit = _time_at_risk(unit)
    idle = unit.unit_id.job_id not in rack_wait.busy_jobs
    if unit.long_running or (idle and rack_wait.is_quiet(unit.service, workers)):
        # The users count a job as lost that runs nothing beside free workers.
        limit = min(limit, IDLE_JOB_WAIT)
    return rack_wait.now - unit.ready_at < limit


def _time_at_risk(unit: WaitingUnit) -> float:
    """Return the seconds that the unit's job loses if the next run fails."""
    if unit.attempts_left > 1:
        return unit.run_time
    start = unit.objective - unit.target_span
    last_end = start + LATENESS_FACTOR_LIMIT * unit.target_span
    return max(last_end - unit.remaining - unit.ready_at, unit.run_time)
