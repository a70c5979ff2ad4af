"""Allocate the guaranteed shapes of the organisations in a data centre.

The scheduler of the shard's owner packs them again when workers or guarantees change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .fleet import Fleet
from .placement import Assignment, fill_rack, FreeCapacity

REPACK_STEP_LIMIT = 200
"""Maximum number of partial packings that a full repack examines."""


class Adjacency(Enum):
    """Define the scope within which all blocks of a shape have to lie."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True, kw_only=True)
class GuaranteedShape:
    """Describe blocks of adjacent accelerators in a data centre.

    blocks is the number of blocks, and block_size the number of accelerators in each.
    """

    name: str
    data_centre: str
    blocks: int
    block_size: int
    adjacency: Adjacency


@dataclass(frozen=True, slots=True, kw_only=True)
class Guarantee:
    """Describe the guarantee of one shape to one organisation."""

    organisation: str
    shape: GuaranteedShape


@dataclass(slots=True)
class GuaranteePlan:
    """Represent the accelerators that are allocated to each guarantee.

    Allocations are disjoint and lie on usable workers. Jobs of other organisations
    only borrow them and can be stopped, so all guarantees can be met at once. owners
    maps a worker id and an accelerator index to the organisation with the guarantee.
    lost lists the guarantees that have no allocation.
    """

    guarantees: tuple[Guarantee, ...] = ()
    allocations: dict[Guarantee, tuple[Assignment, ...]] = field(default_factory=dict)
    owners: dict[tuple[str, int], str] = field(default_factory=dict)
    lost: tuple[Guarantee, ...] = ()

    def owner(self, worker_id: str, accelerator: int) -> str:
        """Return the organisation to which an accelerator is allocated.

        Return an empty string if the accelerator is guaranteed to nobody.
        """
        return self.owners.get((worker_id, accelerator), "")


def repack(plan: GuaranteePlan, fleet: Fleet) -> None:
    """Allocate every guarantee again after workers or guarantees changed."""
    kept = {
        guarantee: assignments
        for guarantee, assignments in plan.allocations.items()
        if guarantee in plan.guarantees and _is_valid(assignments, fleet)
    }
    missing = [guarantee for guarantee in plan.guarantees if guarantee not in kept]
    allocations = _allocate_missing(kept, missing, fleet)
    if len(allocations) < len(plan.guarantees):
        allocations = _best_packing(plan.guarantees, allocations, fleet)
    plan.allocations = allocations
    plan.lost = tuple(p for p in plan.guarantees if p not in allocations)
    plan.owners = _owners(allocations)


def move_allocation(
    plan: GuaranteePlan, guarantee: Guarantee, assignments: tuple[Assignment, ...]
) -> None:
    """Move a guarantee to an allocation that overlaps no other allocation."""
    if plan.allocations[guarantee] != assignments:
        plan.allocations[guarantee] = assignments
        plan.owners = _owners(plan.allocations)


def capacity_outside(
    plan: GuaranteePlan, fleet: Fleet, guarantee: Guarantee
) -> FreeCapacity:
    """Return all accelerators outside the allocations of the other guarantees."""
    others = {
        other: assignments
        for other, assignments in plan.allocations.items()
        if other != guarantee
    }
    return _unallocated_capacity(fleet, others)


def unsatisfiable_guarantees(
    guarantees: tuple[Guarantee, ...], fleet: Fleet
) -> tuple[Guarantee, ...]:
    """Return the guarantees that the available workers can't meet all at once."""
    plan = GuaranteePlan(guarantees=guarantees)
    repack(plan, fleet)
    return plan.lost


def candidate_allocations(
    capacity: FreeCapacity, shape: GuaranteedShape
) -> list[tuple[Assignment, ...]]:
    """Return one allocation for each group of workers that fits the shape.

    The groups with the fewest free accelerators come first.
    """
    allocations: list[tuple[int, tuple[Assignment, ...]]] = []
    for group in _worker_groups(capacity, shape.adjacency):
        assignments = fill_rack(capacity, group, shape.block_size, shape.blocks)
        if len(assignments) == shape.blocks:
            left = sum(len(capacity.free[worker]) for worker in group)
            allocations.append((left, tuple(assignments)))
    allocations.sort(key=lambda pair: pair[0])
    return [assignments for _, assignments in allocations]


def _worker_groups(capacity: FreeCapacity, adjacency: Adjacency) -> list[list[str]]:
    if adjacency is Adjacency.WORKER:
        return [[worker] for worker in sorted(capacity.free)]
    if adjacency is Adjacency.RACK:
        return list(capacity.racks.values())
    return [sorted(capacity.free)]


def _is_valid(assignments: tuple[Assignment, ...], fleet: Fleet) -> bool:
    return all(
        assignment.worker_id in fleet.usable
        and max(assignment.accelerators)
        < fleet.workers[assignment.worker_id].accelerators
        for assignment in assignments
    )


def _unallocated_capacity(
    fleet: Fleet, allocations: dict[Guarantee, tuple[Assignment, ...]]
) -> FreeCapacity:
    """Return all accelerators outside the allocations, including those in use."""
    capacity = FreeCapacity(racks=fleet.racks())
    for worker_id in fleet.usable:
        capacity.free[worker_id] = tuple(range(fleet.workers[worker_id].accelerators))
    for assignments in allocations.values():
        capacity.allocate(assignments)
    return capacity


def _allocate_missing(
    allocations: dict[Guarantee, tuple[Assignment, ...]],
    missing: list[Guarantee],
    fleet: Fleet,
) -> dict[Guarantee, tuple[Assignment, ...]]:
    """Return the allocations together with one for each missing guarantee that fits."""
    allocations = dict(allocations)
    capacity = _unallocated_capacity(fleet, allocations)
    for guarantee in sorted(missing, key=_difficulty):
        candidates = candidate_allocations(capacity, guarantee.shape)
        if candidates:
            allocations[guarantee] = candidates[0]
            capacity.allocate(candidates[0])
    return allocations


def _difficulty(guarantee: Guarantee) -> tuple[int, int, int, str, str]:
    shape = guarantee.shape
    return (
        list(Adjacency).index(shape.adjacency),
        -shape.block_size,
        -shape.blocks,
        guarantee.organisation,
        shape.name,
    )


def _owners(
    allocations: dict[Guarantee, tuple[Assignment, ...]],
) -> dict[tuple[str, int], str]:
    return {
        (assignment.worker_id, index): guarantee.organisation
        for guarantee, assignments in allocations.items()
        for assignment in assignments
        for index in assignment.accelerators
    }


@dataclass(slots=True)
class _Search:
    """Track the best packing that a search found and its remaining steps."""

    best: dict[Guarantee, tuple[Assignment, ...]]
    steps: int = REPACK_STEP_LIMIT


def _best_packing(
    guarantees: tuple[Guarantee, ...],
    allocations: dict[Guarantee, tuple[Assignment, ...]],
    fleet: Fleet,
) -> dict[Guarantee, tuple[Assignment, ...]]:
    """Return the packing of the most guarantees that a bounded search finds."""
    search = _Search(allocations)
    _search_packings(sorted(guarantees, key=_difficulty), 0, {}, fleet, search)
    return search.best


def _search_packings(
    guarantees: list[Guarantee],
    skipped: int,
    allocations: dict[Guarantee, tuple[Assignment, ...]],
    fleet: Fleet,
    search: _Search,
) -> None:
    if len(allocations) > len(search.best):
        search.best = dict(allocations)
    search.steps -= 1
    index = len(allocations) + skipped
    most = len(allocations) + len(guarantees) - index
    if search.steps <= 0 or most <= len(search.best):
        return
    guarantee = guarantees[index]
    for assignments in candidate_allocations(
        _unallocated_capacity(fleet, allocations), guarantee.shape
    ):
        _search_packings(
            guarantees, skipped, allocations | {guarantee: assignments}, fleet, search
        )
    _search_packings(guarantees, skipped + 1, allocations, fleet, search)
