"""Place waiting units on workers, and preempt running units for them.

The entry instance that owns the shard runs the planner. A unit is a whole gang or a
single task. The order of placement handles overload by several kinds of jobs: urgent
units come first, and units that can still meet their objective come before units that
can't. Running units are preempted only for an organisation's guarantee or if little of
their work is lost.
"""

from __future__ import annotations

import sys
from copy import copy
from math import inf
from typing import Any

from .eviction import cheapest_eviction, Eviction, VictimIndex
from .plan import (
    Decision,
    Place,
    Preempt,
    RunningUnit,
    Snapshot,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerSnapshot,
)
from .relocation import relocations
from .unit_placement import choose_placement, eligible_workers, reserve, step_key

LATENESS_FACTOR_LIMIT = 3.0
"""Multiple of its target span after which the end of a job has no value."""

LOSS_SHARE_LIMIT = 0.15
"""Limit of lost work for a unit without a guarantee, as a share of its own work."""

TIGHT_SLACK = 1.5
"""Seconds before and after the latest in-time start in which slack is tight."""

TIGHT_LOSS_SHARE_LIMIT = 0.4
"""Limit of the share of lost work for a unit with tight slack."""

EVICTION_SEARCH_LIMIT = 8
"""Units without a guarantee for which one pass searches for an eviction.

Each search covers the fleet, so the limit bounds the time of a pass.
"""


def plan(snapshot: Snapshot) -> list[Decision]:
    """Return relocations, preemptions, and a decision on each waiting unit."""
    planning_pass = _PlanningPass(snapshot)
    decisions: list[Decision] = relocations(snapshot)
    for unit in sorted(snapshot.waiting, key=lambda u: _queue_order(u, snapshot.now)):
        decisions += planning_pass.decide(unit)
    return decisions


class _PlanningPass:
    """Represent the state of one pass: free resources, victims, and failed searches."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.workers = [_copy(worker) for worker in snapshot.workers]
        self.by_id = {worker.worker_ref.worker_id: worker for worker in self.workers}
        self.victims = VictimIndex(snapshot.running)
        self.wait_reasons: dict[tuple[Any, ...], WaitReason] = {}
        # Free resources only decrease during a pass. If a unit finds no placement, no
        # later unit with the same fit key does, unless its payload is smaller. The
        # costs of evictions stay valid until the pass decides on an eviction.
        self.unplaceable_payloads: dict[tuple[Any, ...], int] = {}
        self.eviction_costs: dict[tuple[Any, ...], float] = {}
        self.eviction_searches_left = EVICTION_SEARCH_LIMIT
        self.now = snapshot.now
        for unit in snapshot.running:
            if unit.stopping:
                self._add_releasing(unit)

    def decide(self, unit: WaitingUnit) -> list[Decision]:
        """Return the decision on one waiting unit, and the preemptions for it."""
        # The tasks of a step are identical: if one of them can't be placed, neither
        # can another one that failed on the same workers.
        reason = self.wait_reasons.get(_step_key(unit))
        if reason is not None:
            return [Wait(unit_id=unit.unit_id, reason=reason)]
        placement = self._find_placement(unit)
        if placement is not None:
            reserve(unit, placement)
            chosen = tuple(worker.worker_ref for worker in placement)
            return [Place(unit_id=unit.unit_id, placement=chosen)]
        if not eligible_workers(unit, self.workers):
            return self._wait(unit, WaitReason.NO_WORKER)
        eviction = self._find_eviction(unit)
        if eviction is None:
            return self._wait(unit, WaitReason.NO_ROOM)
        reserve(unit, eviction.placement)
        self.eviction_costs.clear()
        self.victims.exclude(eviction.victims)
        decisions: list[Decision] = []
        for victim in eviction.victims:
            self._add_releasing(victim)
            decisions.append(
                Preempt(
                    unit_id=victim.unit_id,
                    beneficiary=unit.unit_id,
                    lost_work=victim.lost_work,
                )
            )
        decisions.append(Wait(unit_id=unit.unit_id, reason=WaitReason.STOPPING))
        return decisions

    def _find_placement(self, unit: WaitingUnit) -> list[WorkerSnapshot] | None:
        fit_key = _fit_key(unit)
        if unit.payload_bytes >= self.unplaceable_payloads.get(fit_key, sys.maxsize):
            return None
        placement = choose_placement(unit, self.workers)
        if placement is None:
            self.unplaceable_payloads[fit_key] = unit.payload_bytes
        return placement

    def _find_eviction(self, unit: WaitingUnit) -> Eviction | None:
        if unit.priority > 0 and not unit.guaranteed:
            return None
        limit = inf if unit.guaranteed else self._loss_limit(unit) * unit.work
        key = (*_fit_key(unit), unit.payload_bytes, unit.priority)
        known = self.eviction_costs.get(key)
        if known is not None and (known == inf or known > limit):
            return None
        if not unit.guaranteed:
            self.eviction_searches_left -= 1
            if self.eviction_searches_left < 0:
                return None
        # Resources that are being released already add nothing to the cost.
        eviction = cheapest_eviction(unit, self.workers, self.victims)
        self.eviction_costs[key] = eviction.cost if eviction else inf
        return eviction if eviction and eviction.cost <= limit else None

    def _loss_limit(self, unit: WaitingUnit) -> float:
        """Return the limit of lost work as a share of the unit's own work."""
        slack = unit.objective - unit.remaining - self.now
        return TIGHT_LOSS_SHARE_LIMIT if abs(slack) <= TIGHT_SLACK else LOSS_SHARE_LIMIT

    def _add_releasing(self, unit: RunningUnit) -> None:
        """Count the resources of a stopping unit as being released."""
        for worker_ref in unit.placement:
            worker = self.by_id.get(worker_ref.worker_id)
            if worker is not None:
                worker.releasing += unit.demand

    def _wait(self, unit: WaitingUnit, reason: WaitReason) -> list[Decision]:
        self.wait_reasons[_step_key(unit)] = reason
        return [Wait(unit_id=unit.unit_id, reason=reason)]


def _step_key(unit: WaitingUnit) -> tuple[Any, ...]:
    return (*step_key(unit), unit.failed_on, unit.attempts_left > 1)


def _fit_key(unit: WaitingUnit) -> tuple[Any, ...]:
    """Return all that decides whether the unit fits, except its payload size."""
    return (
        unit.service,
        unit.demand,
        unit.size,
        unit.label,
        unit.data_rack,
        unit.same_rack,
        unit.waits_for_rack,
        step_key(unit) if unit.tasks_per_worker else None,
        unit.failed_on,
        unit.attempts_left > 1,
    )


def _copy(worker: WorkerSnapshot) -> WorkerSnapshot:
    duplicate = copy(worker)
    duplicate.tasks_of_step = dict(worker.tasks_of_step)
    return duplicate


def _queue_order(unit: WaitingUnit, now: float) -> tuple[bool, int, int, float]:
    """Return the sort key of waiting units.

    The order is by guarantee, priority, lateness, and the latest start that meets the
    objective.
    """
    return (
        not unit.guaranteed,
        unit.priority,
        _lateness(unit, now),
        unit.objective - unit.remaining,
    )


def _lateness(unit: WaitingUnit, now: float) -> int:
    """Return 0 if the unit can meet its objective, 1 if late, 2 if without value."""
    end = now + unit.remaining
    if end <= unit.objective:
        return 0
    start = unit.objective - unit.target_span
    return 1 if end <= start + LATENESS_FACTOR_LIMIT * unit.target_span else 2
