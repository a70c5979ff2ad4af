"""Place waiting units on workers, and preempt running units for them.

The entry instance that owns the shard runs the planner. A unit is a whole gang or a
single task. Running units are preempted only for an organisation's guarantee or if
little of their work is lost.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from ..jobs.unit import UnitId
from .plan import Decision, Snapshot, Wait
from .planner_memory import PlannerMemory
from .planning_pass import PlanningPass
from .relocation import relocations
from .waiting_order import waiting_groups


class Planner(PlannerMemory):
    """Decide on the units of one snapshot after the other."""

    def decide(self, snapshot: Snapshot) -> list[Decision]:
        """Return relocations, preemptions, and decisions on the waiting units.

        Snapshots have to be passed in the order in which they were taken.
        """
        planning_pass = PlanningPass(snapshot, self)
        decisions: list[Decision] = relocations(snapshot)
        groups = waiting_groups(snapshot)
        if snapshot.use is not None:
            planning_pass.share(snapshot.use, groups)
        # A unit with a guarantee may still take the room kept for one without.
        for guaranteed in (True, False):
            chosen = [group for group in groups if group[0].guaranteed is guaranteed]
            for group in chosen:
                decisions += planning_pass.keep_reservations(group)
            decisions += planning_pass.decide_all(chosen)
        self.unmet = {} if planning_pass.trial_begun else planning_pass.all_unmet()
        self.reservations = planning_pass.reservations
        self.unfinished = planning_pass.unfinished
        self.rack_checks = planning_pass.rack_wait.checks
        if planning_pass.shares is not None:
            self.protected = planning_pass.shares.protected
        self.doubt_waits = planning_pass.doubt_wait.kept(snapshot.waiting)
        return _explain_waits(decisions, planning_pass.share_waits)


def _explain_waits(
    decisions: list[Decision], shares: Mapping[UnitId, tuple[float, float]]
) -> list[Decision]:
    """Record in each wait how many others precede it, and by what shares."""
    waits = 0
    for number, decision in enumerate(decisions):
        if isinstance(decision, Wait):
            decisions[number] = replace(
                decision, ahead=waits, shares=shares.get(decision.unit_id)
            )
            waits += 1
    return decisions


def plan(snapshot: Snapshot) -> list[Decision]:
    """Return the decisions of a pass that uses no results of earlier ones."""
    return Planner().decide(snapshot)
