"""Index the running units that may be preempted, and what stopping them costs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from math import inf

from ..jobs.spec import Resources
from ..jobs.unit import UnitId
from .pass_shares import PassShares
from .plan import RunningUnit, WaitingUnit

RESTART_COST = 0.3
"""Seconds of a unit's resources that a restart costs in addition to lost work.

They are idle from the stop until the next run works.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Victim:
    """Describe what preempting a unit costs, and what that frees on one worker."""

    unit: RunningUnit
    cost: float
    freed: Resources


class VictimIndex:
    """Index the units that may be preempted by worker, cheapest per core first."""

    def __init__(self, running: Iterable[RunningUnit], now: float) -> None:
        self.running = running
        self.now = now
        self.by_worker: dict[str, list[Victim]] = {}
        self.excluded: set[int] = set()
        self.shares: PassShares | None = None

    @cached_property
    def units_by_worker(self) -> dict[str, list[RunningUnit]]:
        """Return the units that may be preempted; most passes need none of them."""
        index: dict[str, list[RunningUnit]] = {}
        for unit in self.running:
            if not unit.guaranteed and not unit.stopping:
                for worker_id in {one.worker_id for one in unit.placement}:
                    index.setdefault(worker_id, []).append(unit)
        return index

    def victims_on(self, worker_id: str) -> list[Victim]:
        """Return the victims on a worker, cheapest per core first."""
        if worker_id not in self.by_worker:
            units = self.units_by_worker.get(worker_id, ())
            victims = [_victim(unit, worker_id, self.now) for unit in units]
            self.by_worker[worker_id] = sorted(victims, key=_victim_order)
        return self.by_worker[worker_id]

    def preemptible_on(
        self, worker_id: str, unit: WaitingUnit, cost_limit: float
    ) -> list[Victim]:
        """Return the victims on a worker that a unit may preempt, as less urgent."""
        found = [
            victim
            for victim in self.victims_on(worker_id)
            if victim.unit.priority > unit.priority
            and victim.cost <= cost_limit
            and id(victim.unit) not in self.excluded
        ]
        shares = self.shares
        if shares is None or not unit.over_share:
            return found
        return [victim for victim in found if shares.may_stop(victim.unit)]

    def least_core_cost(self, worker_id: str, priority: int) -> float:
        """Return the lowest cost of freeing one core on a worker, or infinity."""
        for victim in self.victims_on(worker_id):
            if victim.unit.priority > priority:
                return victim.cost / unit_weight(victim.unit)
        return inf

    def exclude(self, units: Iterable[RunningUnit]) -> None:
        """Exclude units that have been chosen already."""
        self.excluded.update(id(unit) for unit in units)


def stop_cost(victim: RunningUnit, now: float) -> float:
    """Return the cost of preempting a unit in core-seconds.

    The cost grows with the number of earlier preemptions of the unit.
    """
    restart = RESTART_COST * unit_weight(victim)
    return (victim.lost_work_at(now) + restart) * (1 + victim.preemptions)


def _victim(unit: RunningUnit, worker_id: str, now: float) -> Victim:
    freed = unit.demand
    if len(unit.placement) > 1:
        count = sum(one.worker_id == worker_id for one in unit.placement)
        freed = unit.demand.times(count)
    return Victim(unit=unit, cost=stop_cost(unit, now), freed=freed)


def _victim_order(victim: Victim) -> tuple[float, UnitId]:
    return victim.cost / unit_weight(victim.unit), victim.unit.unit_id


def unit_weight(victim: RunningUnit) -> float:
    """Return the size of a running unit in cores, at least a small positive number."""
    return max(len(victim.placement) * victim.demand.weight, 1e-3)
