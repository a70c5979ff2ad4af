"""Decide whether a gang that only fits with cold workers waits for warm ones.

A gang ends with its slowest member. A worker that has just started is slow for a time
that it announces; how slow is not known, so that it delays a gang by anything up to
that time. Half of it is the wait at which the most that the gang can lose by waiting
equals the most that it can lose on the cold worker.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from .doubt_wait import SLACK_SHARE
from .plan import WaitingUnit, WorkerSnapshot
from .rack_wait import IDLE_JOB_WAIT, RackWait

COLD_SHARE = 0.5
"""Share of the cold time for which a gang waits at most."""


def cold_wait_pays(
    unit: WaitingUnit,
    placement: Sequence[WorkerSnapshot],
    groups: Iterable[Sequence[WorkerSnapshot]],
    rack_wait: RackWait,
    workers: Mapping[str, WorkerSnapshot],
) -> bool:
    """Return whether a gang waits on although it fits on a placement with cold workers.

    groups contains the groups of workers of which one has to run the whole gang, and
    workers all workers by their ids.
    """
    if unit.guaranteed or unit.long_running:
        # A guaranteed gang starts as early as it can, and a gang without an end
        # outlasts any cold time.
        return False
    limit = _wait_limit(unit, placement, rack_wait, workers)
    if limit <= 0:
        return False
    warm = [[one for one in group if not one.cold] for group in groups]
    wait, group = rack_wait.forecast.expected_wait(unit, [one for one in warm if one])
    if wait > limit:
        return False
    rack_wait.forecast.claim(unit, group)
    return True


def _wait_limit(
    unit: WaitingUnit,
    placement: Iterable[WorkerSnapshot],
    rack_wait: RackWait,
    workers: Mapping[str, WorkerSnapshot],
) -> float:
    """Return the seconds from now for which the gang waits at most.

    The forecasts are often wrong, so that the expected wait has to be at most a part of
    what the job can spare before its objective. Both limits shrink more slowly than the
    wait, so that a gang that has begun to wait seldom gives up just before its end.
    """
    now = rack_wait.now
    cold_left = max(worker.cold_until for worker in placement) - now
    slack = unit.objective - unit.remaining - now
    limit = min(COLD_SHARE * cold_left, SLACK_SHARE * slack)
    idle = unit.unit_id.job_id not in rack_wait.busy_jobs
    if idle and rack_wait.is_quiet(unit.service, workers):
        limit = min(limit, unit.ready_at + IDLE_JOB_WAIT - now)
    return limit
