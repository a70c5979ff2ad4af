"""Choose the running units to preempt for a waiting unit.

The planner needs this when an organisation claims its guaranteed accelerators while
others use them. The choice minimises the lost work and avoids units that have been
preempted before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .plan import RunningUnit, WaitingUnit, WorkerSnapshot
from .spec import Resources
from .unit_placement import count_fitting, eligible_workers, worker_groups

RESTART_COST = 1.0
"""Seconds of a unit's resources that a restart costs in addition to lost work."""


@dataclass(slots=True, kw_only=True)
class Eviction:
    """Describe the units to preempt, the cost in core-seconds, and the placement."""

    victims: list[RunningUnit] = field(default_factory=list)
    cost: float = 0.0
    placement: list[WorkerSnapshot] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class EvictionOption:
    """Describe the preemptions that place one task on a worker.

    cost is in core-seconds. free is what the worker has free after the preemptions and
    before the task is placed.
    """

    cost: float
    free: Resources
    worker: WorkerSnapshot
    victims: list[RunningUnit]

    @property
    def rank(self) -> tuple[float, int, str]:
        """Return a sort key: cost, free accelerators, worker id."""
        return self.cost, self.free.accelerators, self.worker.worker_ref.worker_id


class VictimIndex:
    """Index the units that may be preempted by worker, cheapest per core first."""

    def __init__(self, running: Iterable[RunningUnit]) -> None:
        self.by_worker: dict[str, list[RunningUnit]] = {}
        self.excluded: set[int] = set()
        for unit in running:
            if not unit.guaranteed and not unit.stopping:
                for name in {worker_ref.worker_id for worker_ref in unit.placement}:
                    self.by_worker.setdefault(name, []).append(unit)
        for units in self.by_worker.values():
            units.sort(key=lambda unit: stop_cost(unit) / _weight(unit))

    def preemptible_on(self, worker_id: str, priority: int) -> list[RunningUnit]:
        """Return the units on a worker that are less urgent than the priority."""
        return [
            unit
            for unit in self.by_worker.get(worker_id, ())
            if unit.priority > priority and id(unit) not in self.excluded
        ]

    def exclude(self, units: Iterable[RunningUnit]) -> None:
        """Exclude units that have been chosen already."""
        self.excluded.update(id(unit) for unit in units)


def cheapest_eviction(
    unit: WaitingUnit, workers: Sequence[WorkerSnapshot], victims: VictimIndex
) -> Eviction | None:
    """Return the cheapest eviction, or None if no eviction frees enough resources."""
    groups = worker_groups(unit, eligible_workers(unit, workers), workers)
    found = [_find_eviction(unit, group, victims) for group in groups]
    possible = [eviction for eviction in found if eviction is not None]
    return min(possible, key=lambda eviction: eviction.cost, default=None)


def stop_cost(victim: RunningUnit) -> float:
    """Return the cost of preempting a unit in core-seconds.

    The cost grows with the number of earlier preemptions of the unit.
    """
    restart = RESTART_COST * _weight(victim)
    return (victim.lost_work + restart) * (1 + victim.preemptions)


def _find_eviction(
    unit: WaitingUnit, group: Sequence[WorkerSnapshot], victims: VictimIndex
) -> Eviction | None:
    """Place the unit's tasks one by one, each on the worker with the lowest cost."""
    result = Eviction()
    free = {
        worker.worker_ref.worker_id: worker.free + worker.releasing for worker in group
    }
    chosen: set[int] = set()
    options: dict[str, EvictionOption | None] = {}
    for _ in range(unit.size):
        for worker in group:
            name = worker.worker_ref.worker_id
            if name not in options:
                already_placed = result.placement.count(worker)
                options[name] = _option(
                    unit, worker, free[name], already_placed, chosen, victims
                )
        best = min(
            (option for option in options.values() if option is not None),
            key=lambda option: option.rank,
            default=None,
        )
        if best is None:
            return None
        result.cost += best.cost
        result.victims += best.victims
        result.placement.append(best.worker)
        chosen.update(id(victim) for victim in best.victims)
        for name in _apply_option(best, free, unit):
            options.pop(name, None)
    return result


def _apply_option(
    best: EvictionOption, free: dict[str, Resources], unit: WaitingUnit
) -> set[str]:
    """Update the free resources by an option, and return the affected worker ids."""
    name = best.worker.worker_ref.worker_id
    touched = {name}
    for victim in best.victims:
        for worker_ref in victim.placement:
            if worker_ref.worker_id in free:
                free[worker_ref.worker_id] += victim.demand
                touched.add(worker_ref.worker_id)
    free[name] -= unit.demand
    return touched


def _option(
    unit: WaitingUnit,
    worker: WorkerSnapshot,
    free: Resources,
    already_placed: int,
    chosen: set[int],
    victims: VictimIndex,
) -> EvictionOption | None:
    """Return the preemptions that place one task on a worker, or None."""
    stopped: list[RunningUnit] = []
    preemptible = iter(
        victims.preemptible_on(worker.worker_ref.worker_id, unit.priority)
    )
    while not count_fitting(unit, worker, free, already_placed):
        victim = next((other for other in preemptible if id(other) not in chosen), None)
        if victim is None:
            return None
        stopped.append(victim)
        free += _resources_on(victim, worker)
    for victim in sorted(stopped, key=stop_cost, reverse=True):
        # A victim that is not needed beside the others keeps running.
        without = free - _resources_on(victim, worker)
        if count_fitting(unit, worker, without, already_placed):
            stopped.remove(victim)
            free = without
    cost = sum(stop_cost(victim) for victim in stopped)
    return EvictionOption(cost=cost, free=free, worker=worker, victims=stopped)


def _resources_on(victim: RunningUnit, worker: WorkerSnapshot) -> Resources:
    freed = Resources()
    for worker_ref in victim.placement:
        if worker_ref.worker_id == worker.worker_ref.worker_id:
            freed += victim.demand
    return freed


def _weight(victim: RunningUnit) -> float:
    return max(len(victim.placement) * victim.demand.weight, 1e-3)
