"""Decide on the waiting units in one pass of the planner.

With a backlog, most units wait for the same reason from one pass to the next. A pass
looks at the needs that earlier passes could not place only on the workers that have
changed, so that it costs little in a large fleet.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from functools import singledispatchmethod
from itertools import groupby
from typing import TypeGuard

from .caution_wait import caution_pays
from .eviction import can_free_room, Eviction
from .loss_limit import eviction_loss_limit, NO_EVICTION
from .pass_eviction import PassEvictions
from .pass_shares import PassShares
from .plan import Decision, Wait, WaitingUnit, WaitReason
from .planner_memory import Need, need_of, UnmetNeed
from .preference import (
    Caution,
    drop,
    HealthyWorkers,
    Preference,
    preferences,
    relaxed_units,
)
from .share_order import ShareOrder
from .unit_placement import choose_placement, count_fitting


class PlanningPass(PassEvictions):
    """Represent the decisions of one pass on the waiting units."""

    def decide_all(self, groups: list[list[WaitingUnit]]) -> list[Decision]:
        """Return the decisions on groups of units in their order of placement.

        Either all groups are guaranteed or none is; shares don't order guaranteed ones.
        """
        decisions: list[Decision] = []
        if self.shares is None or not groups or groups[0][0].guaranteed:
            for group in groups:
                decisions += self.decide(group)
            return decisions
        for _, same_priority in groupby(groups, key=lambda group: group[0].priority):
            decisions += self._decide_by_share(list(same_priority), self.shares)
        return decisions

    def _decide_by_share(
        self, groups: list[list[WaitingUnit]], shares: PassShares
    ) -> list[Decision]:
        """Return the decisions on the groups of one priority."""
        decisions: list[Decision] = []
        order = ShareOrder(groups, shares)
        while (entry := order.next()) is not None:
            number, group = entry
            found = self.decide(group, one_placement=True)
            if found and takes_room(found[-1]):
                last = [unit.unit_id for unit in group].index(found[-1].unit_id)
                order.put_back(number, group[last + 1 :])
            elif found and group[0].organisation in order.overtaken:
                known_shares = shares.share(group[0])
                self.share_waits |= {one.unit_id: known_shares for one in found}
            decisions += found
        return decisions

    def decide(
        self, group: list[WaitingUnit], one_placement: bool = False
    ) -> list[Decision]:
        """Return the decisions on identical units, and the preemptions for them.

        With one_placement, the first unit that gets room ends the decisions.
        """
        first = self._limited(group[0])
        need = need_of(first)
        decisions: list[Decision] = []
        for unit in group:
            if unit.unit_id in self.decided:
                continue
            if first.over_share:
                unit = replace(unit, over_share=True)
            found = self._decide_unit(unit, need)
            decisions += found
            if one_placement and takes_room(found[-1]):
                break
            if self._blocks_group(found[-1], need):
                # The tasks of a step are identical: if one of them can't be placed,
                # neither can another one.
                break
        return decisions

    def _limited(self, unit: WaitingUnit) -> WaitingUnit:
        """Return the unit, marked if its share limits which units it may preempt."""
        if self.shares is None:
            return unit
        if eviction_loss_limit(unit, self.now, self.settling) <= NO_EVICTION:
            # The mark would only make the needs of units that preempt none differ.
            return unit
        return self.shares.limited(unit)

    def _blocks_group(self, decision: Decision, need: Need) -> bool:
        """Return whether units with the same need get the same decision.

        If too many wait for a rack, the next one may be placed in another rack.
        """
        return (
            isinstance(decision, Wait)
            and decision.reason is not WaitReason.RACK
            and need in self.unmet
        )

    def keep_reservations(self, group: list[WaitingUnit]) -> list[Decision]:
        """Place the units for which others were stopped, or keep their workers.

        This comes before the decisions on other units, so that none takes the room.
        """
        decisions: list[Decision] = []
        for unit in group:
            reserved = self.last_reservations.get(unit.unit_id)
            found = self._decide_reserved(unit, reserved) if reserved else []
            decisions += found
            if found:
                self.decided.add(unit.unit_id)
        return decisions

    def _decide_reserved(
        self, unit: WaitingUnit, reserved: tuple[str, ...]
    ) -> list[Decision]:
        """Return the decisions on a unit with a reservation, or none if it is over.

        The unit is placed without the preferences that were dropped before others were
        stopped for it.
        """
        relaxed = relaxed_units(unit, self.doubts, self.suspicions)
        for candidate in (unit, *relaxed):
            hosts = self._hosts(candidate)
            placement = choose_placement(
                candidate, self._groups(hosts), self._speed(candidate)
            )
            if placement is not None:
                return self._place(candidate, placement)
            if any(set(group).issuperset(reserved) for group in hosts.groups):
                return self._keep_reserved(candidate, reserved)
        return []

    def _keep_reserved(
        self, unit: WaitingUnit, reserved: tuple[str, ...]
    ) -> list[Decision]:
        for worker_id, count in Counter(reserved).items():
            worker = self.workers[worker_id]
            if count_fitting(unit, worker, worker.free + worker.releasing) < count:
                return []
        kept = [self.workers[worker_id] for worker_id in reserved]
        return self._apply_eviction(unit, Eviction(placement=kept))

    def _decide_unit(self, unit: WaitingUnit, need: Need) -> list[Decision]:
        """Return the decisions on a unit, without its preferences if it can't wait."""
        found = self._decide_strictly(unit, need)
        if _is_cold_wait(found[-1]):
            return found
        candidate = unit
        for preference in preferences(unit, self.doubts, self.suspicions):
            if not _is_unplaced(found[-1]):
                break
            relaxed = drop(preference, candidate)
            if self._hosts(relaxed) == self._hosts(candidate):
                # The preference has no effect, as no rack could hold the unit, for
                # example.
                continue
            reason = self._reason_to_wait(preference, unit, candidate)
            if reason is not None:
                return [replace(found[-1], reason=reason)]
            candidate = relaxed
            found = self._decide_strictly(candidate, need_of(candidate))
            if _is_suspicion_wait(found[-1]) or _is_cold_wait(found[-1]):
                return found
        if _is_unplaced(found[-1]) and self._may_displace(unit, candidate):
            candidate = self._limited(replace(candidate, displaces=True))
            found = self._decide_strictly(candidate, need_of(candidate))
        return found

    def _may_displace(self, unit: WaitingUnit, candidate: WaitingUnit) -> bool:
        """Return whether less urgent units may be stopped to move them elsewhere.

        Small tasks that are scattered over all workers would keep a gang waiting in a
        service that is nearly empty.
        """
        host_ids = self._hosts(candidate).ids
        return self.rack_wait.lacks_whole_workers(unit, host_ids, self.workers)

    @singledispatchmethod
    def _reason_to_wait(
        self, preference: Preference, unit: WaitingUnit, candidate: WaitingUnit
    ) -> WaitReason | None:
        """Return why the unit waits on for the workers of a candidate, if it does."""
        return WaitReason.RACK if self._rack_wait_pays(unit, candidate) else None

    @_reason_to_wait.register
    def _(
        self, preference: HealthyWorkers, unit: WaitingUnit, candidate: WaitingUnit
    ) -> WaitReason | None:
        return None

    @_reason_to_wait.register
    def _(
        self, preference: Caution, unit: WaitingUnit, candidate: WaitingUnit
    ) -> WaitReason | None:
        waits = caution_pays(preference, unit, self.rack_wait, self.workers)
        return WaitReason.SUSPICION if waits else None

    def _rack_wait_pays(self, unit: WaitingUnit, candidate: WaitingUnit) -> bool:
        hosts = self._hosts(candidate)
        if not hosts.ids or not hosts.groups:
            # The workers of the rack have yet to report.
            return candidate.waits_for_rack
        return self.rack_wait.pays(unit, candidate, self._groups(hosts), self.workers)

    def _decide_strictly(self, unit: WaitingUnit, need: Need) -> list[Decision]:
        loss_limit = eviction_loss_limit(unit, self.now, self.settling)
        if unit.accepts_suspicion or (unit.accepts_doubt and not unit.guaranteed):
            # No work is stopped for a run that is likely to fail.
            loss_limit = NO_EVICTION
        unmet = self.unmet.get(need)
        known = self.known.get(need)
        if unmet is not None:
            # An identical unit or one with the same need found no room in this pass.
            if loss_limit <= unmet.loss_limit:
                return [unmet.wait(unit, loss_limit)]
            return self._evict(unit, need, unmet.hosts, loss_limit, known)
        if known is not None:
            return self._decide_again(unit, need, known, loss_limit)
        hosts = self._hosts(unit)
        placement = choose_placement(unit, self._groups(hosts), self._speed(unit))
        if placement is not None:
            return self._place(unit, placement)
        return self._evict(unit, need, hosts, loss_limit, None)

    def _decide_again(
        self, unit: WaitingUnit, need: Need, known: UnmetNeed, loss_limit: float
    ) -> list[Decision]:
        """Decide on a unit whose need the last pass could not place.

        What the last pass found still holds on the workers that have not changed.
        """
        changed_ids = self._changed_hosts(known)
        changed = [self.workers[worker_id] for worker_id in changed_ids]
        roomy = [one for one in changed if count_fitting(unit, one, one.free)]
        if roomy:
            # A single task needs a single worker; a gang may need all of them.
            groups = [roomy]
            if unit.size > 1:
                groups = self._groups(known.hosts, changed_ids)
            placement = choose_placement(unit, groups, self._speed(unit))
            if placement is not None:
                return self._place(unit, placement)
        limit = max(loss_limit, known.loss_limit)
        if loss_limit > known.loss_limit or any(
            can_free_room(unit, worker, self.victims, limit) for worker in changed
        ):
            return self._evict(unit, need, known.hosts, loss_limit, known)
        self.unmet[need] = known
        return [known.wait(unit, loss_limit)]


def takes_room(decision: Decision) -> bool:
    """Return whether a unit is placed, or room is being freed for it."""
    if isinstance(decision, Wait):
        return decision.reason is WaitReason.STOPPING
    return True


def _is_unplaced(decision: Decision) -> TypeGuard[Wait]:
    """Return whether the decision is to wait, with no room being freed."""
    return isinstance(decision, Wait) and decision.reason is not WaitReason.STOPPING


def _is_cold_wait(decision: Decision) -> bool:
    """Return whether the unit would fit if it did not wait for warm workers."""
    return isinstance(decision, Wait) and decision.reason is WaitReason.COLD


def _is_suspicion_wait(decision: Decision) -> bool:
    """Return whether the unit would fit if it did not wait for healthy workers."""
    return isinstance(decision, Wait) and decision.reason is WaitReason.SUSPICION
