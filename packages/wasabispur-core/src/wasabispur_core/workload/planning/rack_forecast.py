"""Forecast when a waiting unit fits into a rack, from the estimates of running units.

The planner compares this with the time that a run takes in another rack. Estimates are
often wrong, so the forecast is made again in each pass.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from math import ceil, inf
from operator import itemgetter

from ..jobs.spec import NO_RESOURCES, Resources
from ..jobs.unit import WorkerRef
from .plan import RunningUnit, WaitingUnit, WorkerSnapshot
from .relocation import EVACUATION_TIME
from .unit_placement import step_key

SLOTS_LIMIT = 10_000
"""Tasks of one unit that are counted on one worker."""

LEAST_TIME = 0.001
"""Least seconds until a known end, which has yet to be reported."""

Group = tuple[str, ...]
"""Ids of the workers of a group of which one has to run the whole unit."""

StepKey = tuple[str, int, int]
Release = tuple[float, Resources, StepKey]
"""Seconds until a run ends, what it holds, and its step."""

Series = list[tuple[float, int]]
"""Seconds, and the number of a unit's tasks for which there is room from then on."""


class RackForecast:
    """Represent the expected ends of the runs of one pass, and the units that wait.

    claims contains the demand of the units that wait for a group in this pass, as they
    take its room before the units that come after them. series contains, by rack, the
    room over time for units with the same demand.
    """

    def __init__(self, running: Iterable[RunningUnit], now: float) -> None:
        self.running = running
        self.now = now
        self.releases: dict[str, list[Release]] | None = None
        self.begun: list[tuple[WaitingUnit, list[WorkerRef]]] = []
        self.claims: dict[Group, Resources] = {}
        self.series: dict[str, dict[tuple[object, ...], Series]] = {}

    def begin(self, unit: WaitingUnit, placement: Sequence[WorkerSnapshot]) -> None:
        """Add a unit that was placed in this pass."""
        worker_refs = [worker.worker_ref for worker in placement]
        if self.releases is None:
            self.begun.append((unit, worker_refs))
        else:
            _add_begun(self.releases, unit, worker_refs)
        for worker in placement:
            self.series.pop(worker.rack, None)

    def expected_wait(
        self,
        unit: WaitingUnit,
        groups: Iterable[Sequence[WorkerSnapshot]],
    ) -> tuple[float, Group]:
        """Return the least seconds until a group has room, and the ids of the group.

        The seconds are infinite if the runs that have no end leave too little room.
        """
        best, chosen = inf, Group()
        for workers in groups:
            group = Group(worker.worker_ref.worker_id for worker in workers)
            wait = self._wait_in(unit, workers, group)
            if wait < best:
                best, chosen = wait, group
        return best, chosen

    def claim(self, unit: WaitingUnit, group: Group) -> None:
        """Record that the unit waits for a group of workers."""
        needed = unit.demand.times(unit.size)
        self.claims[group] = self.claims.get(group, NO_RESOURCES) + needed

    def _wait_in(
        self, unit: WaitingUnit, workers: Sequence[WorkerSnapshot], group: Group
    ) -> float:
        """Return the seconds until the group has room.

        Once all known runs have ended, the units that wait before this one are taken to
        run in rounds that fill the group.
        """
        claimed = self.claims.get(group)
        needed = unit.size + (_slots(claimed, unit.demand) if claimed else 0)
        series = self._room_over_time(unit, workers, group)
        last, room = series[-1]
        if room >= needed:
            return next(time for time, fitting in series if fitting >= needed)
        if room < unit.size:
            return inf
        return last + unit.run_time * (needed - room) / room

    def _room_over_time(
        self, unit: WaitingUnit, workers: Sequence[WorkerSnapshot], group: Group
    ) -> Series:
        step = step_key(unit) if unit.tasks_per_worker else None
        key = group, unit.demand, unit.tasks_per_worker, step
        known = self.series.setdefault(workers[0].rack, {})
        if key not in known:
            known[key] = self._compute_room(unit, workers)
        return known[key]

    def _compute_room(
        self, unit: WaitingUnit, workers: Sequence[WorkerSnapshot]
    ) -> Series:
        """Return the room now and after each end that adds to it."""
        changes = [change for one in workers for change in self._changes(unit, one)]
        now_fitting = sum(added for time, added in changes if time == 0.0)
        series = [(0.0, now_fitting)]
        for time, added in sorted(change for change in changes if change[0] > 0.0):
            if added:
                series.append((time, series[-1][1] + added))
        return series

    def _changes(
        self, unit: WaitingUnit, worker: WorkerSnapshot
    ) -> Iterator[tuple[float, int]]:
        """Yield the times at which more tasks of the unit fit, and how many more.

        Resources that no known unit holds belong to runs that are being stopped.
        """
        step = step_key(unit)
        present = worker.tasks_of_step.get(step, 0)
        free = worker.free
        fitting = _room(unit, free, present)
        yield 0.0, fitting
        unaccounted = worker.capacity - free
        ends: list[Release] = []
        for release in self._known_releases().get(worker.worker_ref.worker_id, ()):
            unaccounted -= release[1]
            if release[0] < inf:
                ends.append(release)
        ends.append((EVACUATION_TIME, _positive(unaccounted), ("", 0, 0)))
        for time, demand, ended_step in sorted(ends, key=itemgetter(0)):
            free += demand
            present -= ended_step == step
            more = _room(unit, free, present) - fitting
            fitting += more
            # An end that is due now may still take a moment.
            yield max(time, LEAST_TIME), more

    def _known_releases(self) -> dict[str, list[Release]]:
        """Return the ends of the runs by worker."""
        if self.releases is not None:
            return self.releases
        releases: dict[str, list[Release]] = {}
        for unit in self.running:
            remaining = (
                EVACUATION_TIME if unit.stopping else unit.remaining_at(self.now)
            )
            release = remaining, unit.demand, unit.unit_id[:3]
            for worker_ref in unit.placement:
                releases.setdefault(worker_ref.worker_id, []).append(release)
        for begun, worker_refs in self.begun:
            _add_begun(releases, begun, worker_refs)
        self.releases = releases
        return releases


def _add_begun(
    releases: dict[str, list[Release]],
    unit: WaitingUnit,
    worker_refs: Iterable[WorkerRef],
) -> None:
    remaining = inf if unit.long_running else unit.run_time
    for worker_ref in worker_refs:
        release = remaining, unit.demand, step_key(unit)
        releases.setdefault(worker_ref.worker_id, []).append(release)


def _room(unit: WaitingUnit, free: Resources, present: int) -> int:
    """Return how many tasks fit beside those of the step that are present."""
    limit = SLOTS_LIMIT
    if unit.tasks_per_worker:
        limit = max(unit.tasks_per_worker - present, 0)
    return unit.demand.count_in(free, limit) if limit else 0


def _slots(claimed: Resources, demand: Resources) -> int:
    """Return the number of tasks whose place the claimed resources take."""
    pairs = (
        (claimed.cpu, demand.cpu),
        (claimed.memory, demand.memory),
        (claimed.accelerators, demand.accelerators),
    )
    return max((ceil(taken / each) for taken, each in pairs if each), default=0)


def _positive(amount: Resources) -> Resources:
    return Resources(
        cpu=max(amount.cpu, 0),
        memory=max(amount.memory, 0),
        accelerators=max(amount.accelerators, 0),
    )
