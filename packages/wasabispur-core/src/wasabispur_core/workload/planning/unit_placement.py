"""Choose workers for the tasks of a waiting unit.

The planner uses this for units that fit into free capacity, and the eviction uses the
same constraints.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from ..jobs.spec import Resources
from .plan import IN_DOUBT, Trust, WaitingUnit, WorkerSnapshot
from .speed_preference import SpeedPreference

ORDERS_LIMIT_BYTES = 60_000
"""Size of the orders and payloads in one orders row; the store takes 64 KiB."""

NO_RANK = 0.0
"""Rank by speed of all workers and placements while no difference is known."""


def eligible_workers(
    unit: WaitingUnit, workers: Iterable[WorkerSnapshot]
) -> list[WorkerSnapshot]:
    """Return the workers that satisfy the unit's constraints, loaded or not.

    With a rack of the data, these are the workers in this rack if they could hold the
    unit when idle, because a task in another rack takes several times as long.
    """
    capable = [worker for worker in workers if _could_host(unit, worker)]
    possible = [worker for worker in capable if worker.ready]
    allowed = _exclude_suspected(unit, possible)
    if not unit.data_rack:
        return allowed
    near = [worker for worker in allowed if worker.rack == unit.data_rack]
    if _can_hold(unit, near):
        return near
    if unit.waits_for_rack:
        awaiting_report = [
            worker
            for worker in capable
            if worker.awaiting_report and worker.rack == unit.data_rack
        ]
        if _can_hold(unit, [*near, *awaiting_report]):
            return []
    return allowed


def _could_host(unit: WaitingUnit, worker: WorkerSnapshot) -> bool:
    """Return whether the worker could run a task of the unit if it were idle."""
    return (
        worker.service == unit.service
        and worker.worker_ref.worker_id not in unit.excluded
        and (not unit.label or unit.label in worker.labels)
        and unit.demand.fits(worker.capacity)
    )


def _exclude_suspected(
    unit: WaitingUnit, possible: list[WorkerSnapshot]
) -> list[WorkerSnapshot]:
    """Exclude workers on which a run of the unit is likely to fail.

    If more than half of the workers are suspected, the cause lies elsewhere, and all
    of them are used; those whose health is in doubt don't count for that, as the unit
    waits for others for a short time only. Workers that refused it or on which it
    failed are used if the others could not hold the unit even when idle; of the latter,
    all but the last also if several have crashed under the unit: then the unit is the
    likely cause, and an idle one of them spares the work on the others.
    """
    trusted = [worker for worker in possible if _trusted(unit, worker)]
    if 2 * len(trusted) < len(possible):
        # Not as usual, so that the longer count is rarely made.
        suspected = [one for one in possible if not _trusted(unit, one)]
        if 2 * sum(one.trust not in IN_DOUBT for one in suspected) > len(possible):
            trusted = possible
    failed_on = tried_in_vain(unit)
    for excluded in (failed_on | unit.refused_by, failed_on):
        elsewhere = [
            worker for worker in trusted if worker.worker_ref.worker_id not in excluded
        ]
        if _can_hold(unit, elsewhere):
            return elsewhere
    return trusted


def tried_in_vain(unit: WaitingUnit) -> frozenset[str]:
    """Return the workers that the unit leaves out while others can hold it."""
    if not unit.dangerous:
        return unit.failed_on
    return unit.failed_on & {unit.last_crash_on}


def _trusted(unit: WaitingUnit, worker: WorkerSnapshot) -> bool:
    if worker.trust is Trust.FULL:
        return True
    if worker.trust in IN_DOUBT:
        trial = worker.trust is Trust.DOUBTFUL and unit.size == 1
        alone = unit.attempts_left > 1 and not worker.tasks_of_step
        return unit.accepts_doubt or (trial and alone)
    if worker.trust is Trust.TRIAL:
        alone = unit.attempts_left > 1 and not worker.tasks_of_step
        return alone or unit.accepts_trial
    return unit.accepts_suspicion and not worker.tasks_of_step


def needs_cordoned(
    unit: WaitingUnit, host_ids: Collection[str], workers: Iterable[WorkerSnapshot]
) -> bool:
    """Return whether a unit fits only if cordoned workers are used again.

    host_ids contains the ids of the workers that may host it, loaded or not.
    """
    capable = [worker for worker in workers if _could_host(unit, worker)]
    if not any(worker.cordoned for worker in capable):
        return False
    hosts = [one for one in capable if one.worker_ref.worker_id in host_ids]
    if _can_hold(unit, hosts):
        return False
    return _can_hold(unit, [one for one in capable if one.cordoned or one in hosts])


@dataclass(frozen=True, slots=True)
class HostGroups:
    """Describe the workers that may host a unit, loaded or not, by their ids.

    groups contains the groups of workers of which one has to run the whole unit.
    """

    ids: frozenset[str]
    groups: tuple[tuple[str, ...], ...]


def host_groups(unit: WaitingUnit, workers: Collection[WorkerSnapshot]) -> HostGroups:
    """Return the workers that may host the unit, and the groups they form."""
    allowed = eligible_workers(unit, workers)
    groups = _worker_groups(unit, allowed, workers)
    return HostGroups(
        ids=frozenset(worker.worker_ref.worker_id for worker in allowed),
        groups=tuple(
            tuple(worker.worker_ref.worker_id for worker in members)
            for members in groups
        ),
    )


def host_key(unit: WaitingUnit) -> tuple[Any, ...]:
    """Return all that decides which workers may host the unit."""
    return (
        unit.service,
        unit.demand,
        unit.label,
        unit.data_rack,
        unit.waits_for_rack,
        unit.failed_on,
        unit.refused_by,
        unit.dangerous,
        unit.last_crash_on,
        unit.excluded,
        unit.attempts_left > 1,
        unit.accepts_trial,
        unit.accepts_suspicion,
        unit.accepts_doubt,
        _needs_rack(unit),
        (unit.size, unit.tasks_per_worker, unit.payload_bytes, unit.order_bytes)
        if _needs_rack(unit)
        or unit.failed_on
        or unit.refused_by
        or (unit.data_rack and unit.size > 1)
        else None,
    )


def choose_placement(
    unit: WaitingUnit,
    groups: Iterable[Sequence[WorkerSnapshot]],
    speed: SpeedPreference | None = None,
) -> list[WorkerSnapshot] | None:
    """Return a worker for each task of the unit, or None if they do not all fit.

    One of the groups has to run the whole unit. Prefers warm workers, then those that
    are fast enough, and then those with the least free resources that suffice, so that
    tasks with a large demand find idle workers. Without speed, all are fast enough.
    """
    found = [
        placement
        for members in groups
        if (placement := _pack(unit, members, speed)) is not None
    ]
    return min(found, key=partial(_group_order, speed), default=None)


def _needs_rack(unit: WaitingUnit) -> bool:
    """Return whether all tasks of the unit have to run in a single rack."""
    return unit.same_rack and unit.size > 1


def _worker_groups(
    unit: WaitingUnit,
    allowed: list[WorkerSnapshot],
    workers: Iterable[WorkerSnapshot],
) -> list[list[WorkerSnapshot]]:
    """Return the groups of workers of which one has to run the whole unit.

    For a unit that requires a single rack, these are the racks whose capacity
    suffices, or all workers if there is no such rack. There is no group while the unit
    waits for a rack that suffices only with workers that have yet to report.
    """
    if not _needs_rack(unit):
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
    return possible or [allowed]


def _racks_with_capacity(
    unit: WaitingUnit, allowed: Iterable[WorkerSnapshot]
) -> list[list[WorkerSnapshot]]:
    """Return the racks that could run the whole unit if they were idle."""
    racks: dict[str, list[WorkerSnapshot]] = {}
    for worker in allowed:
        racks.setdefault(worker.rack, []).append(worker)
    return [members for members in racks.values() if _can_hold(unit, members)]


def _can_hold(unit: WaitingUnit, workers: Iterable[WorkerSnapshot]) -> bool:
    """Return whether workers could run the whole unit if they were idle."""
    return sum(_count_when_idle(unit, worker) for worker in workers) >= unit.size


def _count_when_idle(unit: WaitingUnit, worker: WorkerSnapshot) -> int:
    """Return how many tasks of the unit an idle worker holds."""
    bounds = [
        unit.demand.count_in(worker.capacity, unit.size),
        _count_in_orders(unit, 0),
    ]
    if unit.tasks_per_worker:
        bounds.append(unit.tasks_per_worker)
    return min(bounds)


def _count_in_orders(unit: WaitingUnit, used: int) -> int:
    """Return how many runs of the unit fit into an orders row of which some is used.

    Room for the payload is required also where another unit of the job has brought it,
    so that units with the same need fit equally.
    """
    room = ORDERS_LIMIT_BYTES - used - unit.payload_bytes
    if room < 0:
        return 0
    return room // unit.order_bytes if unit.order_bytes else unit.size


def reserve(unit: WaitingUnit, placement: Sequence[WorkerSnapshot]) -> None:
    """Subtract the unit's demand from the free resources of its workers."""
    for worker in placement:
        worker.free -= unit.demand
        worker.orders_bytes += unit.order_bytes
        if not has_job(worker, unit.unit_id.job_id):
            worker.orders_bytes += unit.payload_bytes
        step = step_key(unit)
        worker.tasks_of_step[step] = worker.tasks_of_step.get(step, 0) + 1
    for worker in {id(worker): worker for worker in placement}.values():
        worker.suspects += unit.suspected
        worker.closed |= unit.dangerous


def step_key(unit: WaitingUnit) -> tuple[str, int, int]:
    """Return the key by which the tasks of the unit's step are counted."""
    return unit.unit_id[:3]


def has_job(worker: WorkerSnapshot, job_id: str) -> bool:
    """Return whether the worker has a task of the job, and so its payload."""
    return any(step[0] == job_id for step in worker.tasks_of_step)


def _pack(
    unit: WaitingUnit,
    workers: Iterable[WorkerSnapshot],
    speed: SpeedPreference | None,
) -> list[WorkerSnapshot] | None:
    counts = [(count_fitting(unit, worker, worker.free), worker) for worker in workers]
    usable = [(count, worker) for count, worker in counts if count]
    if sum(count for count, _ in usable) < unit.size:
        return None
    usable.sort(key=lambda item: _packing_order(unit, item[1], speed))
    placement: list[WorkerSnapshot] = []
    for count, worker in usable:
        if len(placement) == unit.size:
            break
        placement += [worker] * min(count, unit.size - len(placement))
    return placement if len(placement) == unit.size else None


def _packing_order(
    unit: WaitingUnit, worker: WorkerSnapshot, speed: SpeedPreference | None
) -> tuple[bool, bool, bool, bool, bool, bool, float, float, float, str]:
    left = worker.free - unit.demand
    return (
        worker.worker_ref.worker_id in unit.avoided_workers | unit.failed_on,
        # Suspected units run apart, to find the one that crashes its workers, and beside
        # few others.
        unit.suspected and worker.suspects > 0,
        unit.suspected and bool(worker.tasks_of_step),
        worker.trust is not Trust.FULL,
        worker.cold,
        worker.trust in (Trust.AVOIDED, Trust.NONE),
        speed.rank(worker) if speed is not None else NO_RANK,
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
    if worker.closed or (unit.isolated and worker.tasks_of_step):
        return 0
    fitting = unit.demand.count_in(free, unit.size)
    if not fitting:
        return 0
    used = worker.orders_bytes + already_placed * unit.order_bytes
    fitting = min(fitting, _count_in_orders(unit, used))
    if unit.tasks_per_worker:
        present = worker.tasks_of_step.get(step_key(unit), 0) + already_placed
        fitting = min(fitting, unit.tasks_per_worker - present)
    return max(fitting, 0)


def _group_order(
    speed: SpeedPreference | None, placement: list[WorkerSnapshot]
) -> tuple[bool, float, int]:
    """Return the sort key of a placement; a cold or slow worker delays a whole gang."""
    distinct = {worker.worker_ref.worker_id: worker for worker in placement}
    free = sum(worker.free.accelerators for worker in distinct.values())
    rank = speed.rank_of_all(placement) if speed is not None else NO_RANK
    return any(worker.cold for worker in placement), rank, free
