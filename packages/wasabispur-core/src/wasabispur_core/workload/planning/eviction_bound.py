"""Bound the cost of an eviction from below, without searching for it.

The planner leaves out a search whose cheapest result would exceed the limit of lost
work, which answers a fleet that is full of work that is too expensive to stop.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from heapq import nsmallest
from math import inf

from ..jobs.spec import Resources
from .plan import WaitingUnit, WorkerSnapshot
from .unit_placement import count_fitting
from .victim import unit_weight, VictimIndex


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
    for victim in victims.preemptible_on(worker_id, unit, cost_limit):
        everything += victim.freed
        shares.append((victim.freed.weight, victim.cost / unit_weight(victim.unit)))
    additional = count_fitting(unit, worker, everything) - fitting
    if additional <= 0:
        return []
    demand = unit.demand.weight
    missing = demand - usable_cores(free, unit.demand, fitting)
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


def usable_cores(free: Resources, demand: Resources, count: int) -> float:
    """Return the cores left beside count tasks that one more task could use."""
    left = free - demand.times(count)
    usable = Resources(
        cpu=max(min(left.cpu, demand.cpu), 0),
        accelerators=max(min(left.accelerators, demand.accelerators), 0),
    )
    return usable.weight
