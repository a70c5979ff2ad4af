"""Choose the running units to preempt for a waiting unit.

The planner needs this when an organisation claims its guaranteed accelerators while
others use them. The choice minimises the lost work and avoids units that have been
preempted before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ..jobs.spec import Resources
from .eviction_bound import least_cost, least_task_costs, usable_cores
from .plan import RunningUnit, WaitingUnit, WorkerSnapshot
from .unit_placement import count_fitting
from .victim import Victim, VictimIndex


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


def can_free_room(
    unit: WaitingUnit, worker: WorkerSnapshot, victims: VictimIndex, cost_limit: float
) -> bool:
    """Return whether an eviction within the cost limit may use the worker."""
    if cost_limit < 0:
        return False
    if unit.demand.fits(worker.free + worker.releasing):
        return True
    worker_id = worker.worker_ref.worker_id
    return bool(victims.preemptible_on(worker_id, unit, cost_limit))


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
        self.placed: Counter[str] = Counter()
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
                self.placed[name],
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
        self.placed[name] += 1
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
            missing = demand.weight - usable_cores(free, demand, 0)
            bound = missing * self.victims.least_core_cost(name, self.unit.priority)
        if bound <= self.cost_limit:
            heappush(self.ranked, (bound, -1, name, self.versions[name], None))


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
        for victim in victims.preemptible_on(worker_id, unit, cost_limit):
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
