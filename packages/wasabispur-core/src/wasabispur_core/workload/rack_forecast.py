"""Forecast when a waiting unit fits into a rack, from the estimates of running units.

The planner compares this with the time that a run takes in another rack. Estimates are
often wrong, so the forecast is made again in each pass.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil, inf
from operator import itemgetter

from .plan import RunningUnit, WaitingUnit, WorkerSnapshot
from .spec import NO_RESOURCES, Resources
from .unit import WorkerRef

STOP_TIME = 1.5
"""Upper bound in seconds for stopping a run and reporting its end."""

SLOTS_LIMIT = 10_000
"""Tasks of one unit that are counted on one worker."""

End = tuple[float, str, Resources]
"""Seconds until runs end on a worker, its id, and the resources that come free."""


class RackForecast:
    """Represent the expected ends of the runs of one pass, and the units that wait.

    claims contains the demand of the units that wait for a rack in this pass, as they
    take its room before the units that come after them.
    """

    def __init__(self, running: Iterable[RunningUnit], now: float) -> None:
        self.running = running
        self.now = now
        self.releases: dict[str, list[tuple[float, Resources]]] | None = None
        self.begun: list[tuple[WaitingUnit, list[WorkerRef]]] = []
        self.claims: dict[str, Resources] = {}
        self.ends: dict[tuple[str, ...], list[End]] = {}

    def begin(self, unit: WaitingUnit, placement: Sequence[WorkerSnapshot]) -> None:
        """Add a unit that was placed in this pass."""
        self.begun.append((unit, [worker.worker_ref for worker in placement]))
        self.releases = None
        self.ends.clear()

    def expected_wait(
        self,
        unit: WaitingUnit,
        groups: Iterable[Sequence[WorkerSnapshot]],
        limit: float,
    ) -> tuple[float, str]:
        """Return the least seconds until a group has room, and the rack of the group.

        The seconds are infinite if that takes longer than limit, which is in seconds.
        """
        best, rack = inf, ""
        for group in groups:
            wait = self._wait_in(unit, group, min(limit, best))
            if wait < best:
                best, rack = wait, group[0].rack
        return best, rack

    def claim(self, unit: WaitingUnit, rack: str) -> None:
        """Record that the unit waits for the rack."""
        needed = unit.demand.times(unit.size)
        self.claims[rack] = self.claims.get(rack, NO_RESOURCES) + needed

    def _wait_in(
        self, unit: WaitingUnit, group: Sequence[WorkerSnapshot], limit: float
    ) -> float:
        """Return the seconds until the group has room, or infinity beyond the limit.

        Once all known runs have ended, the units that wait before this one are taken to
        run in rounds that fill the group.
        """
        claimed = self.claims.get(group[0].rack, NO_RESOURCES)
        needed = unit.size + _slots(claimed, unit.demand)
        free = {worker.worker_ref.worker_id: worker.free for worker in group}
        room = sum(_room(unit, left) for left in free.values())
        if room >= needed:
            return 0.0
        last = 0.0
        for last, name, demand in self._ends_in(group):
            if last > limit:
                return inf
            before = _room(unit, free[name])
            free[name] += demand
            room += _room(unit, free[name]) - before
            if room >= needed:
                return last
        if room < unit.size:
            return inf
        return last + unit.run_time * (needed - room) / room

    def _ends_in(self, group: Sequence[WorkerSnapshot]) -> list[End]:
        """Return the expected ends on the workers in the order of their times.

        Resources that no known unit holds belong to runs that are being stopped.
        """
        key = tuple(worker.worker_ref.worker_id for worker in group)
        if key in self.ends:
            return self.ends[key]
        releases = self._known_releases()
        ends: list[End] = []
        for worker, name in zip(group, key, strict=True):
            unaccounted = worker.capacity - worker.free
            for remaining, demand in releases.get(name, ()):
                unaccounted -= demand
                if remaining < inf:
                    ends.append((remaining, name, demand))
            ends.append((STOP_TIME, name, _positive(unaccounted)))
        self.ends[key] = sorted(ends, key=itemgetter(0))
        return self.ends[key]

    def _known_releases(self) -> dict[str, list[tuple[float, Resources]]]:
        """Return the seconds until each run ends, and what it holds, by worker."""
        if self.releases is not None:
            return self.releases
        releases = self.releases = {}
        for unit in self.running:
            remaining = STOP_TIME if unit.stopping else unit.remaining_at(self.now)
            for worker_ref in unit.placement:
                held = releases.setdefault(worker_ref.worker_id, [])
                held.append((remaining, unit.demand))
        for placed, placement in self.begun:
            remaining = inf if placed.long_running else placed.run_time
            for worker_ref in placement:
                held = releases.setdefault(worker_ref.worker_id, [])
                held.append((remaining, placed.demand))
        return releases


def _room(unit: WaitingUnit, free: Resources) -> int:
    limit = unit.tasks_per_worker or SLOTS_LIMIT
    return unit.demand.count_in(free, limit)


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
