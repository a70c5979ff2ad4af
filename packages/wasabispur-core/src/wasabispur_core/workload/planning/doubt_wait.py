"""Decide whether a unit that only fits with doubtful workers waits for others.

A gang loses all its work with one faulty member. So a unit waits, from the first pass
in which it would fit with workers whose health is in doubt, for as long as a flap or a
false answer takes and the objective allows, and then it runs there.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf

from ..jobs.unit import UnitId
from ..workers.worker_health import RECOVERY_TIME
from .plan import IN_DOUBT, Trust, WaitingUnit, WorkerSnapshot
from .rack_wait import GUARANTEED_WAIT, IDLE_JOB_WAIT, RackWait

SLACK_SHARE = 0.5
"""Share of a job's slack for which it waits for workers that are not in doubt.

The rest is left for a slow worker, or for another start.
"""


class DoubtWait:
    """Represent the waits for healthy workers in one planning pass.

    known contains the times in monotonic seconds since which units wait.
    """

    def __init__(
        self, rack_wait: RackWait, doubts: bool, known: Mapping[UnitId, float]
    ) -> None:
        self.rack_wait = rack_wait
        self.doubts = doubts
        self.known = known
        self.since: dict[UnitId, float] = {}

    def pays(
        self,
        unit: WaitingUnit,
        placement: Sequence[WorkerSnapshot],
        workers: Mapping[str, WorkerSnapshot],
    ) -> bool:
        """Return whether the unit waits on although it fits on these workers.

        workers contains all workers by their ids.
        """
        if not unit.accepts_doubt:
            return False
        if not any(one.trust in IN_DOUBT for one in placement):
            return False
        now = self.rack_wait.now
        since = self.known.get(unit.unit_id, now)
        self.since[unit.unit_id] = since
        limit = doubt_limit(unit, any(one.trust is Trust.AVOIDED for one in placement))
        idle = unit.unit_id.job_id not in self.rack_wait.busy_jobs
        if unit.long_running or (
            idle and self.rack_wait.is_quiet(unit.service, workers)
        ):
            limit = min(limit, IDLE_JOB_WAIT)
        if unit.guaranteed:
            # The time within which a guaranteed job starts counts from its arrival.
            since = min(since, unit.ready_at)
        return now - since < limit

    def kept(self, waiting: Sequence[WaitingUnit]) -> dict[UnitId, float]:
        """Return the times for the next pass.

        A unit keeps its time until it is placed, or until no worker is in doubt.
        """
        if not self.doubts:
            return {}
        ids = {unit.unit_id for unit in waiting}
        return {
            unit_id: since
            for unit_id, since in {**self.known, **self.since}.items()
            if unit_id in ids
        }


def doubt_limit(unit: WaitingUnit, avoided: bool) -> float:
    """Return for how many seconds a unit waits at most.

    avoided is set if one of the workers is avoided. A run there, and any last attempt,
    is worth a wait of the time of one run. Otherwise the unit waits for half of what
    the job can spare, and at least for RECOVERY_TIME.
    """
    slack = unit.objective - unit.ready_at - unit.remaining
    limit = max(SLACK_SHARE * slack, RECOVERY_TIME)
    if avoided or unit.attempts_left <= 1:
        limit = max(limit, unit.run_time)
    return min(limit, unit.run_time, GUARANTEED_WAIT if unit.guaranteed else inf)
