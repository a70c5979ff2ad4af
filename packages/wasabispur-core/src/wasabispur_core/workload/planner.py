"""Decide which waiting units run where, and what stops for them.

Answers overload by several kinds of jobs at once: urgent work goes first, what
can still meet its objective goes before what can't, and running work is stopped
only for a guarantee or where little of it is lost.
"""

from __future__ import annotations

import sys
from copy import copy
from math import inf
from typing import Any

from .eviction import cheapest_eviction, Eviction, Victims
from .plan import (
    Decision,
    Place,
    Preempt,
    RunningUnit,
    Snapshot,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerRoom,
)
from .relocation import relocations
from .unit_placement import candidates, choose_seats, step_key, take

LATE_FACTOR = 3.0
"""A job that ends after this multiple of its objective earns nothing."""

CHEAP_LOSS = 0.15
"""Share of the waiting unit's own work that may be lost by stopping others."""

PRESSING_SLACK = 1.5
"""Seconds before the last moment to start in time from which a unit is pressing."""

PRESSING_LOSS = 0.4
"""The same share for a pressing unit."""

CHEAP_ATTEMPTS = 8
"""Units without a guarantee for which one pass looks for others to stop."""


def plan(snapshot: Snapshot) -> list[Decision]:
    """Return a decision for each waiting unit, the preemptions and evacuations."""
    planning = _Planning(snapshot)
    decisions: list[Decision] = relocations(snapshot)
    for unit in sorted(snapshot.waiting, key=lambda u: _rank(u, snapshot.now)):
        decisions += planning.decide(unit)
    return decisions


class _Planning:
    """Hold the rooms, the victims and what was found out during one pass."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.rooms = [_copy(room) for room in snapshot.rooms]
        self.by_id = {room.seat.worker_id: room for room in self.rooms}
        self.victims = Victims(snapshot.running)
        self.blocked: dict[tuple[Any, ...], WaitReason] = {}
        # Room only gets less in a pass, so what one unit did not find, no later one
        # of its shape does. Costs of evictions hold until one is decided.
        self.full: dict[tuple[Any, ...], int] = {}
        self.eviction_costs: dict[tuple[Any, ...], float] = {}
        self.cheap_attempts = CHEAP_ATTEMPTS
        self.now = snapshot.now
        for unit in snapshot.running:
            if unit.stopping:
                self._expect(unit)

    def decide(self, unit: WaitingUnit) -> list[Decision]:
        """Return the decision on one unit, and the preemptions for it."""
        # Tasks of a step are alike: where one finds no room, none does that failed
        # on the same workers.
        reason = self.blocked.get(_alike(unit))
        if reason is not None:
            return [Wait(unit_id=unit.unit_id, reason=reason)]
        seats = self._seats(unit)
        if seats is not None:
            take(unit, seats)
            chosen = tuple(room.seat for room in seats)
            return [Place(unit_id=unit.unit_id, seats=chosen)]
        if not candidates(unit, self.rooms):
            return self._wait(unit, WaitReason.NO_WORKER)
        eviction = self._evict(unit)
        if eviction is None:
            return self._wait(unit, WaitReason.NO_ROOM)
        take(unit, eviction.seats)
        self.eviction_costs.clear()
        self.victims.remove(eviction.victims)
        decisions: list[Decision] = []
        for victim in eviction.victims:
            self._expect(victim)
            decisions.append(
                Preempt(
                    unit_id=victim.unit_id,
                    beneficiary=unit.unit_id,
                    lost_work=victim.lost_work,
                )
            )
        decisions.append(Wait(unit_id=unit.unit_id, reason=WaitReason.STOPPING))
        return decisions

    def _seats(self, unit: WaitingUnit) -> list[WorkerRoom] | None:
        shape = _shape(unit)
        if unit.payload_bytes >= self.full.get(shape, sys.maxsize):
            return None
        seats = choose_seats(unit, self.rooms)
        if seats is None:
            self.full[shape] = unit.payload_bytes
        return seats

    def _evict(self, unit: WaitingUnit) -> Eviction | None:
        if unit.priority > 0 and not unit.guaranteed:
            return None
        limit = inf if unit.guaranteed else self._loss_limit(unit) * unit.work
        key = (*_shape(unit), unit.payload_bytes, unit.priority)
        known = self.eviction_costs.get(key)
        if known is not None and (known == inf or known > limit):
            return None
        if not unit.guaranteed:
            self.cheap_attempts -= 1
            if self.cheap_attempts < 0:
                return None
        # Room that is being freed already costs nothing.
        eviction = cheapest_eviction(unit, self.rooms, self.victims)
        self.eviction_costs[key] = eviction.cost if eviction else inf
        return eviction if eviction and eviction.cost <= limit else None

    def _loss_limit(self, unit: WaitingUnit) -> float:
        """Return the share of the unit's own work that others may lose for it."""
        slack = unit.objective - unit.remaining - self.now
        return PRESSING_LOSS if abs(slack) <= PRESSING_SLACK else CHEAP_LOSS

    def _expect(self, unit: RunningUnit) -> None:
        """Note the room that a stopping unit will leave."""
        for seat in unit.seats:
            room = self.by_id.get(seat.worker_id)
            if room is not None:
                room.coming += unit.demand

    def _wait(self, unit: WaitingUnit, reason: WaitReason) -> list[Decision]:
        self.blocked[_alike(unit)] = reason
        return [Wait(unit_id=unit.unit_id, reason=reason)]


def _alike(unit: WaitingUnit) -> tuple[Any, ...]:
    return (*step_key(unit), unit.failed_on, unit.attempts_left > 1)


def _shape(unit: WaitingUnit) -> tuple[Any, ...]:
    """Return what decides whether a unit fits, but for the size of its payload."""
    return (
        unit.service,
        unit.demand,
        unit.size,
        unit.label,
        unit.data_rack,
        unit.same_rack,
        unit.patient,
        step_key(unit) if unit.tasks_per_worker else None,
        unit.failed_on,
        unit.attempts_left > 1,
    )


def _copy(room: WorkerRoom) -> WorkerRoom:
    twin = copy(room)
    twin.tasks_of_step = dict(room.tasks_of_step)
    return twin


def _rank(unit: WaitingUnit, now: float) -> tuple[bool, int, int, float]:
    """Order units: guarantees, priority, chance of success, then objective."""
    return (
        not unit.guaranteed,
        unit.priority,
        _lateness(unit, now),
        unit.objective - unit.remaining,
    )


def _lateness(unit: WaitingUnit, now: float) -> int:
    """Return 0 for a unit that can be in time, 1 if late, and 2 if hopeless."""
    end = now + unit.remaining
    if end <= unit.objective:
        return 0
    start = unit.objective - unit.target_span
    return 1 if end <= start + LATE_FACTOR * unit.target_span else 2
