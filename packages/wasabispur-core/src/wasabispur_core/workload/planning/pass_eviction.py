"""Preempt running units for the waiting units of one planning pass."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import inf

from .eviction import cheapest_eviction, Eviction
from .eviction_bound import least_cost, least_task_costs
from .loss_limit import NO_EVICTION
from .pass_state import PassState
from .plan import (
    Decision,
    Preempt,
    Snapshot,
    Wait,
    WaitingUnit,
    WaitReason,
    WorkerSnapshot,
)
from .planner_memory import Need, PlannerMemory, UnmetNeed
from .unit_placement import HostGroups, needs_cordoned

EVICTION_SEARCH_LIMIT = 8
"""Units without a guarantee for which one pass searches the fleet for an eviction.

The limit bounds the time of a pass; the next pass goes on with the other units.
"""

EVICTION_SEARCH_INTERVAL = 0.25
"""Seconds for which a search for a gang without a guarantee is not repeated.

Several changes share one search then; a search costs more than the rest of a pass.
"""


class PassEvictions(PassState):
    """Represent the preemptions of one pass."""

    def __init__(self, snapshot: Snapshot, memory: PlannerMemory) -> None:
        super().__init__(snapshot, memory)
        self.eviction_searches_left = EVICTION_SEARCH_LIMIT

    def _evict(
        self,
        unit: WaitingUnit,
        need: Need,
        hosts: HostGroups,
        loss_limit: float,
        known: UnmetNeed | None,
    ) -> list[Decision]:
        """Return the preemptions that make room for a unit that was not placed.

        known is what the last pass found for the same need, in which there was no
        eviction either.
        """
        if known is not None and loss_limit > known.loss_limit:
            known = None
        unmet = UnmetNeed(
            reason=self._unmet_reason(unit, hosts),
            loss_limit=NO_EVICTION,
            hosts=hosts,
            over_share=unit.over_share,
        )
        if hosts.ids and loss_limit > NO_EVICTION:
            if self._too_costly(unit, hosts, loss_limit, known, unmet):
                unmet.loss_limit = loss_limit
            elif self._may_search(unit, known):
                unmet.searched_at = self.now
                groups = self._eviction_groups(unit, hosts, known)
                eviction = cheapest_eviction(unit, groups, self.victims, loss_limit)
                if eviction is not None:
                    return self._apply_eviction(unit, eviction)
                unmet.loss_limit = loss_limit
            elif known is not None:
                unmet.loss_limit = known.loss_limit
                unmet.searched_at = known.searched_at
                unmet.unsearched = self._changed_hosts(known)
        unmet.least_cost = self._cost_of_room(unit, hosts, known)
        self.unmet[need] = unmet
        return [unmet.wait(unit, loss_limit)]

    def _unmet_reason(self, unit: WaitingUnit, hosts: HostGroups) -> WaitReason:
        workers = self.workers.values()
        if self.some_cordoned and needs_cordoned(unit, hosts.ids, workers):
            return WaitReason.CORDON
        return WaitReason.NO_ROOM if hosts.ids else WaitReason.NO_WORKER

    def _cost_of_room(
        self, unit: WaitingUnit, hosts: HostGroups, known: UnmetNeed | None
    ) -> float | None:
        """Return a lower bound on the cost of making room for an urgent unit.

        It is computed once for a need, as it only serves the log.
        """
        if known is not None or unit.priority > 0 or not hosts.ids:
            return known.least_cost if known is not None else None
        workers = [self.workers[worker_id] for worker_id in hosts.ids]
        return least_cost(unit, least_task_costs(unit, workers, self.victims, inf))

    def _too_costly(
        self,
        unit: WaitingUnit,
        hosts: HostGroups,
        loss_limit: float,
        known: UnmetNeed | None,
        unmet: UnmetNeed,
    ) -> bool:
        """Return whether lower bounds rule out an eviction, and record the bounds.

        Lost work only grows on workers that have not changed, so that earlier bounds
        hold there. Units that need a rack are left to the search, which is short.
        """
        if unit.size == 1 or len(hosts.groups) != 1:
            return False
        searched: Iterable[str] = hosts.ids
        earlier: list[float] = []
        if known is not None and known.task_costs:
            searched = self._changed_hosts(known)
            earlier = known.task_costs
        workers = [self.workers[worker_id] for worker_id in searched]
        costs = least_task_costs(unit, workers, self.victims, loss_limit)
        unmet.task_costs = nsmallest(unit.size, [*earlier, *costs])
        return least_cost(unit, unmet.task_costs) > loss_limit

    def _may_search(self, unit: WaitingUnit, known: UnmetNeed | None) -> bool:
        """Return whether the pass may search for an eviction, and count the search."""
        if unit.guaranteed:
            return True
        if (
            unit.size > 1
            and known is not None
            and self.now - known.searched_at < EVICTION_SEARCH_INTERVAL
        ):
            return False
        if not self.eviction_searches_left:
            self.unfinished = True
            return False
        self.eviction_searches_left -= 1
        return True

    def _apply_eviction(self, unit: WaitingUnit, eviction: Eviction) -> list[Decision]:
        """Keep the resources for the unit, and return the preemptions."""
        for victim in eviction.victims:
            self._add_releasing(victim)
            self.changed.update(one.worker_id for one in victim.placement)
        # A victim may free more than the unit needs, also on other workers.
        self.unmet_before_eviction |= self.unmet
        self.known = self.known | self.unmet
        self.unmet = {}
        self._reserve(unit, eviction.placement)
        self.reservations[unit.unit_id] = tuple(
            worker.worker_ref.worker_id for worker in eviction.placement
        )
        self.victims.exclude(eviction.victims)
        preemptions = [
            Preempt(
                unit_id=victim.unit_id,
                beneficiary=unit.unit_id,
                lost_work=victim.lost_work_at(self.now),
            )
            for victim in eviction.victims
        ]
        return [*preemptions, Wait(unit_id=unit.unit_id, reason=WaitReason.STOPPING)]

    def _eviction_groups(
        self, unit: WaitingUnit, hosts: HostGroups, known: UnmetNeed | None
    ) -> list[list[WorkerSnapshot]]:
        """Return the groups of workers in which there may be an eviction."""
        if known is None:
            return self._groups(hosts)
        changed = self._changed_hosts(known)
        if unit.size > 1:
            return self._groups(hosts, changed)
        # Preemptions for a single task all take place on its worker.
        return [[self.workers[worker_id] for worker_id in changed]]
