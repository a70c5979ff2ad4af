"""Keep the guaranteed shapes of the organisations packed in a data centre."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .fleet import Fleet
from .placement import fill_rack, Room, Seat

REPACK_STEPS = 200
"""Partial packings that a full repack looks at before it gives up."""


class Adjacency(Enum):
    """Tell within what the blocks of a shape have to be."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True, kw_only=True)
class GuaranteedShape:
    """Promise blocks of adjacent accelerators in a data centre."""

    name: str
    data_centre: str
    blocks: int
    block_size: int
    adjacency: Adjacency


@dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """Name one shape of one organisation."""

    organisation: str
    shape: GuaranteedShape


@dataclass(slots=True)
class GuaranteePlan:
    """Own the home of each promise: the accelerators that it can always get.

    Homes are disjoint and lie on available workers. Whatever else runs in a home
    is borrowed and can be stopped, so all promises can be met at once. The lost
    promises are those that have no home.
    """

    promises: tuple[Promise, ...] = ()
    homes: dict[Promise, tuple[Seat, ...]] = field(default_factory=dict)
    owners: dict[tuple[str, int], str] = field(default_factory=dict)
    lost: tuple[Promise, ...] = ()

    def owner(self, worker_id: str, accelerator: int) -> str:
        """Return the organisation whose home holds an accelerator, or nothing."""
        return self.owners.get((worker_id, accelerator), "")


def repack(plan: GuaranteePlan, fleet: Fleet) -> None:
    """Give every promise a home again after the workers or promises changed."""
    kept = {
        promise: seats
        for promise, seats in plan.homes.items()
        if promise in plan.promises and _stands(seats, fleet)
    }
    missing = [promise for promise in plan.promises if promise not in kept]
    homes = _extend(kept, missing, fleet)
    if len(homes) < len(plan.promises):
        homes = _best_packing(plan.promises, homes, fleet)
    plan.homes = homes
    plan.lost = tuple(p for p in plan.promises if p not in homes)
    plan.owners = _owners(homes)


def move_home(plan: GuaranteePlan, promise: Promise, seats: tuple[Seat, ...]) -> None:
    """Give a promise another home that lies outside all the others."""
    if plan.homes[promise] != seats:
        plan.homes[promise] = seats
        plan.owners = _owners(plan.homes)


def outside_room(plan: GuaranteePlan, fleet: Fleet, promise: Promise) -> Room:
    """Return all accelerators outside the homes of the other promises."""
    others = {other: seats for other, seats in plan.homes.items() if other != promise}
    return _whole_room(fleet, others)


def unpackable(promises: tuple[Promise, ...], fleet: Fleet) -> tuple[Promise, ...]:
    """Return the promises that the available workers can't meet all at once."""
    plan = GuaranteePlan(promises=promises)
    repack(plan, fleet)
    return plan.lost


def candidate_homes(room: Room, shape: GuaranteedShape) -> list[tuple[Seat, ...]]:
    """Return one home in each place that has one, the fullest places first."""
    homes: list[tuple[int, tuple[Seat, ...]]] = []
    for group in _groups(room, shape.adjacency):
        seats = fill_rack(room, group, shape.block_size, shape.blocks)
        if len(seats) == shape.blocks:
            left = sum(len(room.free[worker]) for worker in group)
            homes.append((left, tuple(seats)))
    homes.sort(key=lambda pair: pair[0])
    return [seats for _, seats in homes]


def _groups(room: Room, adjacency: Adjacency) -> list[list[str]]:
    if adjacency is Adjacency.WORKER:
        return [[worker] for worker in sorted(room.free)]
    if adjacency is Adjacency.RACK:
        return list(room.racks.values())
    return [sorted(room.free)]


def _stands(seats: tuple[Seat, ...], fleet: Fleet) -> bool:
    return all(
        seat.worker_id in fleet.usable
        and max(seat.accelerators) < fleet.workers[seat.worker_id].accelerators
        for seat in seats
    )


def _whole_room(fleet: Fleet, homes: dict[Promise, tuple[Seat, ...]]) -> Room:
    """Return all accelerators outside the homes, whoever holds them."""
    room = Room(racks=fleet.racks())
    for worker_id in fleet.usable:
        room.free[worker_id] = tuple(range(fleet.workers[worker_id].accelerators))
    for seats in homes.values():
        room.take(seats)
    return room


def _extend(
    homes: dict[Promise, tuple[Seat, ...]], missing: list[Promise], fleet: Fleet
) -> dict[Promise, tuple[Seat, ...]]:
    """Return the homes together with one for each missing promise that fits."""
    homes = dict(homes)
    room = _whole_room(fleet, homes)
    for promise in sorted(missing, key=_difficulty):
        candidates = candidate_homes(room, promise.shape)
        if candidates:
            homes[promise] = candidates[0]
            room.take(candidates[0])
    return homes


def _difficulty(promise: Promise) -> tuple[int, int, int, str, str]:
    shape = promise.shape
    return (
        list(Adjacency).index(shape.adjacency),
        -shape.block_size,
        -shape.blocks,
        promise.organisation,
        shape.name,
    )


def _owners(homes: dict[Promise, tuple[Seat, ...]]) -> dict[tuple[str, int], str]:
    return {
        (seat.worker_id, index): promise.organisation
        for promise, seats in homes.items()
        for seat in seats
        for index in seat.accelerators
    }


@dataclass(slots=True)
class _Search:
    """Hold the best packing found and the steps that are left."""

    best: dict[Promise, tuple[Seat, ...]]
    steps: int = REPACK_STEPS


def _best_packing(
    promises: tuple[Promise, ...],
    homes: dict[Promise, tuple[Seat, ...]],
    fleet: Fleet,
) -> dict[Promise, tuple[Seat, ...]]:
    """Return the packing of the most promises that a bounded search finds."""
    search = _Search(homes)
    _try(sorted(promises, key=_difficulty), 0, {}, fleet, search)
    return search.best


def _try(
    promises: list[Promise],
    skipped: int,
    homes: dict[Promise, tuple[Seat, ...]],
    fleet: Fleet,
    search: _Search,
) -> None:
    if len(homes) > len(search.best):
        search.best = dict(homes)
    search.steps -= 1
    index = len(homes) + skipped
    most = len(homes) + len(promises) - index
    if search.steps <= 0 or most <= len(search.best):
        return
    promise = promises[index]
    for seats in candidate_homes(_whole_room(fleet, homes), promise.shape):
        _try(promises, skipped, homes | {promise: seats}, fleet, search)
    _try(promises, skipped + 1, homes, fleet, search)
