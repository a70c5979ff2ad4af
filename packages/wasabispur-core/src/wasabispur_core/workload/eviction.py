"""Choose the running units to preempt for a waiting unit.

The planner needs this when an organisation claims its guaranteed accelerators while
others use them. The choice minimises the lost work and avoids units that have been
preempted before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from heapq import nlargest
from math import inf

from .plan import RunningUnit, WaitingUnit, WorkerSnapshot
from .spec import Resources
from .unit import UnitId
from .unit_placement import count_fitting

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
        self, worker_id: str, priority: int, cost_limit: float
    ) -> list[Victim]:
        """Return the victims on a worker that are less urgent than the priority."""
        return [
            victim
            for victim in self.victims_on(worker_id)
            if victim.unit.priority > priority
            and victim.cost <= cost_limit
            and id(victim.unit) not in self.excluded
        ]

    def exclude(self, units: Iterable[RunningUnit]) -> None:
        """Exclude units that have been chosen already."""
        self.excluded.update(id(unit) for unit in units)


def can_free_room(
    unit: WaitingUnit, worker: WorkerSnapshot, victims: VictimIndex, cost_limit: float
) -> bool:
    """Return whether an eviction within the cost limit may use the worker."""
    if cost_limit < 0:
        return False
    if unit.demand.fits(worker.free + worker.releasing):
        return True
    worker_id = worker.worker_ref.worker_id
    return bool(victims.preemptible_on(worker_id, unit.priority, cost_limit))


def cheapest_eviction(
    unit: WaitingUnit,
    groups: Iterable[Sequence[WorkerSnapshot]],
    victims: VictimIndex,
    cost_limit: float,
) -> Eviction | None:
    """Return the cheapest eviction, or None if none within the cost limit suffices.

    One of the groups of workers has to run the whole unit. cost_limit is in
    core-seconds.
    """
    found = [_find_eviction(unit, group, victims, cost_limit) for group in groups]
    possible = [eviction for eviction in found if eviction is not None]
    return min(possible, key=lambda eviction: eviction.cost, default=None)


def stop_cost(victim: RunningUnit, now: float) -> float:
    """Return the cost of preempting a unit in core-seconds.

    The cost grows with the number of earlier preemptions of the unit.
    """
    restart = RESTART_COST * _weight(victim)
    return (victim.lost_work_at(now) + restart) * (1 + victim.preemptions)


def _find_eviction(
    unit: WaitingUnit,
    group: Sequence[WorkerSnapshot],
    victims: VictimIndex,
    cost_limit: float,
) -> Eviction | None:
    """Place the unit's tasks one by one, each on the worker with the lowest cost."""
    if not _could_hold(unit, group, victims, cost_limit):
        return None
    result = Eviction()
    free = {
        worker.worker_ref.worker_id: worker.free + worker.releasing for worker in group
    }
    chosen: set[int] = set()
    options: dict[str, EvictionOption] = {}
    stale = list(group)
    by_id = {worker.worker_ref.worker_id: worker for worker in group}
    for _ in range(unit.size):
        cost_left = cost_limit - result.cost
        for worker in stale:
            name = worker.worker_ref.worker_id
            already_placed = result.placement.count(worker)
            option = _option(
                unit, worker, free[name], already_placed, chosen, victims, cost_left
            )
            options.pop(name, None)
            if option is not None:
                options[name] = option
        best = min(options.values(), key=lambda option: option.rank, default=None)
        if best is None or best.cost > cost_left:
            return None
        result.cost += best.cost
        result.victims += best.victims
        result.placement.append(best.worker)
        chosen.update(id(victim) for victim in best.victims)
        stale = [by_id[name] for name in _apply_option(best, free, unit)]
    return result


def _could_hold(
    unit: WaitingUnit,
    group: Sequence[WorkerSnapshot],
    victims: VictimIndex,
    cost_limit: float,
) -> bool:
    """Return whether an eviction within the cost limit is not ruled out.

    It is if the workers could not hold the unit after all possible preemptions, or if
    the cheapest cores of the victims cost more than the limit.
    """
    missing, cores = _shortage(unit, group)
    if missing <= 0:
        return True
    if cores * RESTART_COST > cost_limit:
        return False
    possible: dict[UnitId, Victim] = {}
    missing = unit.size
    for worker in group:
        free = worker.free + worker.releasing
        worker_id = worker.worker_ref.worker_id
        for victim in victims.preemptible_on(worker_id, unit.priority, cost_limit):
            free += victim.freed
            possible[victim.unit.unit_id] = victim
        missing -= count_fitting(unit, worker, free)
    return missing <= 0 and _least_cost(possible.values(), cores) <= cost_limit


def _least_cost(victims: Iterable[Victim], cores: float) -> float:
    """Return a lower bound on the cost of freeing a number of cores."""
    cost = 0.0
    for victim in sorted(victims, key=_victim_order):
        weight = _weight(victim.unit)
        if weight >= cores:
            return cost + victim.cost * cores / weight
        cost += victim.cost
        cores -= weight
    return cost if cores <= 0 else inf


def _shortage(unit: WaitingUnit, group: Sequence[WorkerSnapshot]) -> tuple[int, float]:
    """Return how many tasks don't fit, and how many cores have to be freed for them.

    One accelerator counts as eight cores. The cores are a lower bound: the tasks use
    the largest remainders of the workers.
    """
    missing = unit.size
    remainders: list[float] = []
    for worker in group:
        free = worker.free + worker.releasing
        count = count_fitting(unit, worker, free)
        missing -= count
        if missing <= 0:
            return missing, 0.0
        remainders.append(_usable_cores(free, unit.demand, count))
    used = sum(nlargest(missing, remainders))
    return missing, missing * unit.demand.weight - used


def _usable_cores(free: Resources, demand: Resources, count: int) -> float:
    """Return the cores left beside count tasks that one more task could use."""
    left = free - demand.times(count)
    usable = Resources(
        cpu=max(min(left.cpu, demand.cpu), 0),
        accelerators=max(min(left.accelerators, demand.accelerators), 0),
    )
    return usable.weight


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
    cost_limit: float,
) -> EvictionOption | None:
    """Return the preemptions that place one task on a worker, or None."""
    stopped: list[Victim] = []
    if not count_fitting(unit, worker, free, already_placed):
        worker_id = worker.worker_ref.worker_id
        for victim in victims.preemptible_on(worker_id, unit.priority, cost_limit):
            if id(victim.unit) in chosen:
                continue
            stopped.append(victim)
            free += victim.freed
            if count_fitting(unit, worker, free, already_placed):
                break
        else:
            return None
    for victim in sorted(stopped, key=lambda victim: victim.cost, reverse=True):
        # A victim that is not needed beside the others keeps running.
        without = free - victim.freed
        if count_fitting(unit, worker, without, already_placed):
            stopped.remove(victim)
            free = without
    return EvictionOption(
        cost=sum(victim.cost for victim in stopped),
        free=free,
        worker=worker,
        victims=[victim.unit for victim in stopped],
    )


def _victim(unit: RunningUnit, worker_id: str, now: float) -> Victim:
    count = sum(one.worker_id == worker_id for one in unit.placement)
    return Victim(unit=unit, cost=stop_cost(unit, now), freed=unit.demand.times(count))


def _victim_order(victim: Victim) -> tuple[float, UnitId]:
    return victim.cost / _weight(victim.unit), victim.unit.unit_id


def _weight(victim: RunningUnit) -> float:
    return max(len(victim.placement) * victim.demand.weight, 1e-3)
