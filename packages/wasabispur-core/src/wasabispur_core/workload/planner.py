"""Place waiting units on workers, and preempt running units for them.

The entry instance that owns the shard runs the planner. A unit is a whole gang or a
single task. Running units are preempted only for an organisation's guarantee or if
little of their work is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .plan import Decision, Snapshot
from .planning_pass import HostKey, Need, PlanningPass, UnmetNeed
from .relocation import relocations
from .unit import UnitId
from .unit_placement import HostGroups
from .waiting_order import waiting_groups


@dataclass(slots=True, kw_only=True)
class Planner:
    """Keep the results of planning passes that later passes can use.

    unmet contains the needs that the last pass could not place, and hosts_by_key the
    workers that may host a unit. reservations contains, for each unit that waits for
    preempted units to stop, the ids of the workers that will run its tasks. unfinished
    is set if that pass reached its limit of searches.
    """

    unmet: dict[Need, UnmetNeed] = field(default_factory=dict)
    hosts_by_key: dict[HostKey, HostGroups] = field(default_factory=dict)
    reservations: dict[UnitId, tuple[str, ...]] = field(default_factory=dict)
    unfinished: bool = False

    def decide(self, snapshot: Snapshot) -> list[Decision]:
        """Return relocations, preemptions, and decisions on the waiting units.

        Snapshots have to be passed in the order in which they were taken.
        """
        planning_pass = PlanningPass(snapshot, self)
        decisions: list[Decision] = relocations(snapshot)
        groups = waiting_groups(snapshot)
        # A unit with a guarantee may still take the room kept for one without.
        for guaranteed in (True, False):
            chosen = [group for group in groups if group[0].guaranteed is guaranteed]
            for group in chosen:
                decisions += planning_pass.keep_reservations(group)
            for group in chosen:
                decisions += planning_pass.decide(group)
        self.unmet = {} if planning_pass.trial_begun else planning_pass.all_unmet()
        self.reservations = planning_pass.reservations
        self.unfinished = planning_pass.unfinished
        return decisions


def plan(snapshot: Snapshot) -> list[Decision]:
    """Return the decisions of a pass that uses no results of earlier ones."""
    return Planner().decide(snapshot)
