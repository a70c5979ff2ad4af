"""Choose the running units to preempt for a waiting unit.

The planner needs this when an organisation claims its guaranteed accelerators while
others use them. The choice minimises the lost work and avoids units that have been
preempted before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from heapq import heappop, heappush, nsmallest
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

    def least_core_cost(self, worker_id: str, priority: int) -> float:
        """Return the lowest cost at which one core is freed on a worker, or infinity."""
        for victim in self.victims_on(worker_id):
            if victim.unit.priority > priority:
                return victim.cost / _weight(victim.unit)
        return inf

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
    costs = least_task_costs(unit, group, victims, cost_limit)
    if least_cost(unit, costs) > cost_limit:
        return None
    return _EvictionSearch(unit, group, victims, cost_limit).run()


class _EvictionSearch:
    """Represent the search for one eviction on a group of workers.

    ranked is a heap of the workers by what the next task costs there. Most entries
    have a lower bound instead of an option, since few workers are ever chosen. An
    entry is outdated once the version of its worker has changed.
    """

    def __init__(
        self,
        unit: WaitingUnit,
        group: Sequence[WorkerSnapshot],
        victims: VictimIndex,
        cost_limit: float,
    ) -> None:
        self.unit = unit
        self.victims = victims
        self.cost_limit = cost_limit
        self.result = Eviction()
        self.chosen: set[int] = set()
        self.workers = {worker.worker_ref.worker_id: worker for worker in group}
        self.free = {
            name: worker.free + worker.releasing
            for name, worker in self.workers.items()
        }
        self.versions = dict.fromkeys(self.workers, 0)
        self.ranked: list[tuple[float, int, str, int, EvictionOption | None]] = []
        for name in self.workers:
            self._rank(name)

    def run(self) -> Eviction | None:
        """Return the eviction, or None if it would cost more than the limit."""
        for _ in range(self.unit.size):
            best = self._cheapest_option()
            if best is None:
                return None
            self._apply(best)
        return self.result

    def _cheapest_option(self) -> EvictionOption | None:
        cost_left = self.cost_limit - self.result.cost
        while self.ranked and self.ranked[0][0] <= cost_left:
            *_, name, version, option = heappop(self.ranked)
            if version != self.versions[name]:
                continue
            if option is not None:
                return option
            option = _option(
                self.unit,
                self.workers[name],
                self.free[name],
                self._placed_on(name),
                self.chosen,
                self.victims,
                cost_left,
            )
            if option is not None:
                heappush(self.ranked, (*option.rank, version, option))
        return None

    def _apply(self, best: EvictionOption) -> None:
        """Reserve the option's room, and update the workers that it affects."""
        self.result.cost += best.cost
        self.result.victims += best.victims
        self.result.placement.append(best.worker)
        self.chosen.update(id(victim) for victim in best.victims)
        name = best.worker.worker_ref.worker_id
        affected = {name}
        for victim in best.victims:
            for worker_ref in victim.placement:
                if worker_ref.worker_id in self.free:
                    self.free[worker_ref.worker_id] += victim.demand
                    affected.add(worker_ref.worker_id)
        self.free[name] -= self.unit.demand
        for name in affected:
            self.versions[name] += 1
            self._rank(name)

    def _rank(self, name: str) -> None:
        """Add a worker to the heap with a lower bound of its cost."""
        free, demand = self.free[name], self.unit.demand
        bound = 0.0
        if not demand.fits(free):
            missing = demand.weight - _usable_cores(free, demand, 0)
            bound = missing * self.victims.least_core_cost(name, self.unit.priority)
        if bound <= self.cost_limit:
            heappush(self.ranked, (bound, -1, name, self.versions[name], None))

    def _placed_on(self, name: str) -> int:
        return self.result.placement.count(self.workers[name])


def least_task_costs(
    unit: WaitingUnit,
    group: Iterable[WorkerSnapshot],
    victims: VictimIndex,
    cost_limit: float,
) -> list[float]:
    """Return lower bounds on the costs of placing the unit's tasks on a group.

    Each task is counted at the lowest cost of freeing its cores on some worker, as if
    parts of units could be preempted. One accelerator counts as eight cores. The list
    is shorter than the unit's size if the workers can't hold all tasks.
    """
    costs: list[float] = []
    for worker in group:
        free = worker.free + worker.releasing
        fitting = count_fitting(unit, worker, free)
        costs += [0.0] * fitting
        if fitting < unit.size:
            costs += _task_costs(unit, worker, fitting, victims, cost_limit)
    return nsmallest(unit.size, costs)


def least_cost(unit: WaitingUnit, task_costs: Sequence[float]) -> float:
    """Return the sum of the costs, or infinity if some tasks have no worker."""
    return sum(task_costs) if len(task_costs) >= unit.size else inf


def _task_costs(
    unit: WaitingUnit,
    worker: WorkerSnapshot,
    fitting: int,
    victims: VictimIndex,
    cost_limit: float,
) -> list[float]:
    """Return lower bounds on the costs of the tasks after those that fit already."""
    free = everything = worker.free + worker.releasing
    worker_id = worker.worker_ref.worker_id
    shares: list[tuple[float, float]] = []
    for victim in victims.preemptible_on(worker_id, unit.priority, cost_limit):
        everything += victim.freed
        shares.append((victim.freed.weight, victim.cost / _weight(victim.unit)))
    additional = count_fitting(unit, worker, everything) - fitting
    if additional <= 0:
        return []
    demand = unit.demand.weight
    missing = demand - _usable_cores(free, unit.demand, fitting)
    costs = []
    for _ in range(additional):
        cost = 0.0
        while missing > 0 and shares:
            cores, core_cost = shares[0]
            used = min(cores, missing)
            cost += used * core_cost
            missing -= used
            if used == cores:
                shares.pop(0)
            else:
                shares[0] = (cores - used, core_cost)
        costs.append(cost)
        missing = demand
    return costs


def _usable_cores(free: Resources, demand: Resources, count: int) -> float:
    """Return the cores left beside count tasks that one more task could use."""
    left = free - demand.times(count)
    usable = Resources(
        cpu=max(min(left.cpu, demand.cpu), 0),
        accelerators=max(min(left.accelerators, demand.accelerators), 0),
    )
    return usable.weight


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
    freed = unit.demand
    if len(unit.placement) > 1:
        count = sum(one.worker_id == worker_id for one in unit.placement)
        freed = unit.demand.times(count)
    return Victim(unit=unit, cost=stop_cost(unit, now), freed=freed)


def _victim_order(victim: Victim) -> tuple[float, UnitId]:
    return victim.cost / _weight(victim.unit), victim.unit.unit_id


def _weight(victim: RunningUnit) -> float:
    return max(len(victim.placement) * victim.demand.weight, 1e-3)
