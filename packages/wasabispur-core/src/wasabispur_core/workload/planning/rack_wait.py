"""Decide whether a waiting unit waits on for the rack that it prefers.

Started now in another rack, a unit ends after several times its run time. So waiting
pays only while the expected start in the rack lies before that difference.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..jobs.spec import NO_RESOURCES
from ..jobs.unit import UnitId
from .plan import Snapshot, used_share_of, WaitingUnit, WorkerSnapshot
from .rack_forecast import Group, RackForecast

IDLE_JOB_WAIT = 2.0
"""Seconds for which a job that runs nothing waits for a rack in a quiet service.

A job that runs nothing for 3 s beside free workers counts as lost; the rest of that
time is for reports and the start.
"""

QUIET_SHARE = 0.6
"""Used share of a service's scarcest resource below which the service is quiet.

The service objective uses 0.5; the margin covers reports that are not up to date.
"""

SCATTER_WAIT = 0.75
"""Seconds after which an idle job may displace small tasks in a quiet service.

A stop and the start after it have to end before the job counts as lost.
"""

GUARANTEED_WAIT = 1.0
"""Seconds for which a unit waits whose organisation has a guarantee for it."""


CHECK_INTERVAL = 0.5
"""Seconds for which a decision to wait, or not to, is kept; forecasts are rough."""


@dataclass(frozen=True, slots=True)
class RackCheck:
    """Describe whether a unit waits for a group of workers, usually those of a rack.

    The group is empty if the unit does not wait. until is the time in monotonic seconds
    at which that is decided again.
    """

    group: Group
    until: float


CheckKey = tuple[UnitId, bool]
"""A unit, and whether it still prefers the rack of its data."""


class RackWait:
    """Represent the waits for racks in one planning pass.

    known contains what earlier passes have decided.
    """

    def __init__(self, snapshot: Snapshot, known: dict[CheckKey, RackCheck]) -> None:
        self.now = snapshot.now
        self.remote_factor = snapshot.remote_factor
        self.forecast = RackForecast(snapshot.running, snapshot.now)
        self.busy_jobs = {unit.unit_id.job_id for unit in snapshot.running}
        self.quiet: dict[str, bool] = {}
        self.known = known
        self.checks: dict[CheckKey, RackCheck] = {}

    def begin(self, unit: WaitingUnit, placement: Sequence[WorkerSnapshot]) -> None:
        """Add a unit that was placed in this pass."""
        self.forecast.begin(unit, placement)
        self.busy_jobs.add(unit.unit_id.job_id)

    def pays(
        self,
        unit: WaitingUnit,
        candidate: WaitingUnit,
        groups: Iterable[Sequence[WorkerSnapshot]],
        workers: Mapping[str, WorkerSnapshot],
    ) -> bool:
        """Return whether the unit gains from waiting for one of the groups.

        candidate is the unit with the preferences that it has kept, and workers
        contains all workers by their ids.
        """
        key = unit.unit_id, bool(candidate.data_rack)
        check = self.known.get(key)
        if check is None or self.now >= check.until:
            check = self._check(unit, candidate, groups, workers)
        self.checks[key] = check
        if check.group:
            self.forecast.claim(candidate, check.group)
        return bool(check.group)

    def _check(
        self,
        unit: WaitingUnit,
        candidate: WaitingUnit,
        groups: Iterable[Sequence[WorkerSnapshot]],
        workers: Mapping[str, WorkerSnapshot],
    ) -> RackCheck:
        """Forecast the start; the whole wait is limited, as runs may end late."""
        until = self.now + CHECK_INTERVAL
        left = unit.ready_at + self._limit(unit, workers) - self.now
        if left <= 0:
            return RackCheck((), until)
        expected, group = self.forecast.expected_wait(candidate, groups)
        if expected > left:
            return RackCheck((), until)
        return RackCheck(group, min(until, self.now + left))

    def _limit(self, unit: WaitingUnit, workers: Mapping[str, WorkerSnapshot]) -> float:
        """Return the seconds for which the unit waits at most."""
        limit = (self.remote_factor - 1) * unit.run_time
        if unit.guaranteed:
            limit = min(limit, GUARANTEED_WAIT)
        idle = unit.unit_id.job_id not in self.busy_jobs
        if unit.long_running or (idle and self.is_quiet(unit.service, workers)):
            limit = min(limit, IDLE_JOB_WAIT)
        return limit

    def lacks_whole_workers(
        self,
        unit: WaitingUnit,
        host_ids: Iterable[str],
        workers: Mapping[str, WorkerSnapshot],
    ) -> bool:
        """Return whether an idle job waits although its hosts have room in all for it.

        The room has to suffice twice, so that what is stopped for the unit finds room.
        """
        if self.now - unit.ready_at < SCATTER_WAIT:
            return False
        if unit.unit_id.job_id in self.busy_jobs:
            return False
        if not self.is_quiet(unit.service, workers):
            return False
        free = NO_RESOURCES
        for worker_id in host_ids:
            free += workers[worker_id].free
        return unit.demand.times(2 * unit.size).fits(free)

    def is_quiet(self, service: str, workers: Mapping[str, WorkerSnapshot]) -> bool:
        """Return whether little of the service's capacity is in use."""
        if service not in self.quiet:
            ready = [
                worker
                for worker in workers.values()
                if worker.service == service and worker.ready
            ]
            self.quiet[service] = used_share_of(ready) < QUIET_SHARE
        return self.quiet[service]
