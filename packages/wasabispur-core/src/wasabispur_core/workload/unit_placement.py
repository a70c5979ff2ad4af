"""Choose workers for the tasks of a waiting unit.

The planner uses this for units that fit into free capacity, and the eviction uses the
same constraints.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from typing import Any

from .plan import Trust, WaitingUnit, WorkerSnapshot
from .spec import Resources

PAYLOAD_LIMIT = 40_000
"""Bytes of payloads in one orders row; the store limits a row to 64 KiB."""


def eligible_workers(
    unit: WaitingUnit, workers: Iterable[WorkerSnapshot]
) -> list[WorkerSnapshot]:
    """Return the workers that satisfy the unit's constraints, loaded or not.

    The rack of the data is a constraint as long as a worker in this rack could run the
    task, because a task in another rack takes several times as long.
    """
    capable = [worker for worker in workers if _could_host(unit, worker)]
    possible = [worker for worker in capable if worker.ready]
    allowed = _exclude_suspected(unit, possible)
    near = [worker for worker in allowed if worker.rack == unit.data_rack]
    if not unit.data_rack:
        return allowed
    if (
        not near
        and unit.waits_for_rack
        and any(
            worker.awaiting_report and worker.rack == unit.data_rack
            for worker in capable
        )
    ):
        return []
    return near or allowed


def _could_host(unit: WaitingUnit, worker: WorkerSnapshot) -> bool:
    """Return whether the worker could run a task of the unit if it were idle."""
    return (
        worker.service == unit.service
        and (not unit.label or unit.label in worker.labels)
        and unit.demand.fits(worker.capacity)
    )


def _exclude_suspected(
    unit: WaitingUnit, possible: list[WorkerSnapshot]
) -> list[WorkerSnapshot]:
    """Exclude workers on which a run of the unit is likely to fail.

    If more than half of the workers are suspected, the cause lies elsewhere, and all
    of them are used.
    """
    trusted = [worker for worker in possible if _trusted(unit, worker)]
    if 2 * len(trusted) < len(possible):
        trusted = possible
    elsewhere = [
        worker
        for worker in trusted
        if worker.worker_ref.worker_id not in unit.failed_on
    ]
    return elsewhere or trusted


def _trusted(unit: WaitingUnit, worker: WorkerSnapshot) -> bool:
    if worker.trust is Trust.TRIAL:
        return unit.attempts_left > 1 and not worker.tasks_of_step
    return worker.trust is Trust.FULL


def host_key(unit: WaitingUnit) -> tuple[Any, ...]:
    """Return all that decides which workers may host the unit."""
    return (
        unit.service,
        unit.demand,
        unit.label,
        unit.data_rack,
        unit.waits_for_rack,
        unit.failed_on,
        unit.attempts_left > 1,
    )


def choose_placement(
    unit: WaitingUnit,
    allowed: list[WorkerSnapshot],
    workers: Iterable[WorkerSnapshot],
    changed: Container[str] | None = None,
) -> list[WorkerSnapshot] | None:
    """Return a worker for each task of the unit, or None if they do not all fit.

    allowed contains the eligible workers, and workers all of them. changed contains
    the ids of the workers that changed since the unit did not fit, if it is known.
    Prefers the workers with the least free resources that suffice, so that tasks with
    a large demand find idle workers. The workers are of a single rack if the unit
    requires this and the capacity of some rack suffices.
    """
    if not unit.same_rack or unit.size == 1:
        return _pack(unit, allowed)
    found = [
        placement
        for members in worker_groups(unit, allowed, workers, changed)
        if (placement := _pack(unit, members)) is not None
    ]
    return min(found, key=_free_accelerators, default=None)


def worker_groups(
    unit: WaitingUnit,
    allowed: list[WorkerSnapshot],
    workers: Iterable[WorkerSnapshot],
    changed: Container[str] | None = None,
) -> list[list[WorkerSnapshot]]:
    """Return the groups of workers of which one has to run the whole unit.

    For a unit that requires a single rack, these are the racks whose capacity
    suffices, or all workers if there is no such rack. There is no group while the unit
    waits for a rack that suffices only with workers that have yet to report. If changed
    is given, there are only groups with one of these workers.
    """
    if not unit.same_rack or unit.size == 1:
        return [allowed]
    possible = _racks_with_capacity(unit, allowed)
    if not possible and unit.waits_for_rack:
        awaiting_report = [
            worker
            for worker in workers
            if worker.awaiting_report and _could_host(unit, worker)
        ]
        if _racks_with_capacity(unit, [*allowed, *awaiting_report]):
            return []
    groups = possible or [allowed]
    if changed is None:
        return groups
    return [
        members
        for members in groups
        if any(worker.worker_ref.worker_id in changed for worker in members)
    ]


def _racks_with_capacity(
    unit: WaitingUnit, allowed: Iterable[WorkerSnapshot]
) -> list[list[WorkerSnapshot]]:
    racks: dict[str, list[WorkerSnapshot]] = {}
    for worker in allowed:
        racks.setdefault(worker.rack, []).append(worker)
    return [
        members
        for members in racks.values()
        if sum(count_fitting(unit, worker, worker.capacity) for worker in members)
        >= unit.size
    ]


def reserve(unit: WaitingUnit, placement: Iterable[WorkerSnapshot]) -> None:
    """Subtract the unit's demand from the free resources of its workers."""
    for worker in placement:
        worker.free -= unit.demand
        worker.payload_bytes += unit.payload_bytes
        step = step_key(unit)
        worker.tasks_of_step[step] = worker.tasks_of_step.get(step, 0) + 1


def step_key(unit: WaitingUnit) -> tuple[str, int, int]:
    """Return the key by which the tasks of the unit's step are counted."""
    return unit.unit_id[:3]


def _pack(
    unit: WaitingUnit, workers: Iterable[WorkerSnapshot]
) -> list[WorkerSnapshot] | None:
    counts = [(count_fitting(unit, worker, worker.free), worker) for worker in workers]
    usable = [(count, worker) for count, worker in counts if count]
    if sum(count for count, _ in usable) < unit.size:
        return None
    usable.sort(key=lambda item: _packing_order(unit, item[1]))
    placement: list[WorkerSnapshot] = []
    for count, worker in usable:
        if len(placement) == unit.size:
            break
        placement += [worker] * min(count, unit.size - len(placement))
    return placement if len(placement) == unit.size else None


def _packing_order(
    unit: WaitingUnit, worker: WorkerSnapshot
) -> tuple[bool, bool, float, float, str]:
    left = worker.free - unit.demand
    return (
        worker.worker_ref.worker_id in unit.avoided_workers,
        worker.trust is not Trust.FULL,
        left.accelerators,
        left.cpu,
        worker.worker_ref.worker_id,
    )


def count_fitting(
    unit: WaitingUnit, worker: WorkerSnapshot, free: Resources, already_placed: int = 0
) -> int:
    """Return how many more tasks of the unit fit into a worker's free resources.

    already_placed is the number of tasks that the current search has placed on the
    worker.
    """
    demand = unit.demand
    if not demand.fits(free):
        return 0
    payloads = worker.payload_bytes + already_placed * unit.payload_bytes
    bounds = [unit.size, (PAYLOAD_LIMIT - payloads) // max(unit.payload_bytes, 1)]
    if demand.cpu:
        bounds.append(free.cpu // demand.cpu)
    if demand.memory:
        bounds.append(free.memory // demand.memory)
    if demand.accelerators:
        bounds.append(free.accelerators // demand.accelerators)
    if unit.tasks_per_worker:
        present = worker.tasks_of_step.get(step_key(unit), 0) + already_placed
        bounds.append(unit.tasks_per_worker - present)
    return max(min(bounds), 0)


def _free_accelerators(placement: list[WorkerSnapshot]) -> int:
    distinct = {worker.worker_ref.worker_id: worker for worker in placement}
    return sum(worker.free.accelerators for worker in distinct.values())
