"""Keep what planning passes found, as far as later passes can use it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any

from ..jobs.unit import UnitId
from .pass_shares import Protected
from .plan import Wait, WaitingUnit, WaitReason
from .rack_wait import CheckKey, RackCheck
from .unit_placement import host_key, HostGroups, step_key

Need = tuple[Any, ...]
HostKey = tuple[Any, ...]
"""Keys that are equal for units with the same need, or for the same workers."""


@dataclass(slots=True, kw_only=True)
class UnmetNeed:
    """Describe why units with the same need were not placed.

    No eviction costs loss_limit core-seconds or less, but for those on the workers in
    unsearched, which have changed since. hosts contains the workers that may host the
    units, and task_costs lower bounds on the costs of a unit's tasks there. searched_at
    is the time of the last search in monotonic seconds. least_cost is a lower bound on
    the cost of making room when the first unit began to wait, if that was an urgent
    one. over_share is as for the units.
    """

    reason: WaitReason
    loss_limit: float
    hosts: HostGroups
    unsearched: frozenset[str] = frozenset()
    task_costs: list[float] = field(default_factory=list)
    searched_at: float = -inf
    least_cost: float | None = None
    over_share: bool = False

    def wait(self, unit: WaitingUnit, loss_limit: float) -> Wait:
        """Return the decision to keep a unit with this need waiting."""
        return Wait(
            unit_id=unit.unit_id,
            reason=self.reason,
            loss_limit=max(loss_limit, 0.0),
            least_cost=self.least_cost,
            hosts=len(self.hosts.ids),
        )


@dataclass(slots=True, kw_only=True)
class PlannerMemory:
    """Keep the results of planning passes that later passes can use.

    unmet contains the needs that the last pass could not place, and hosts_by_key the
    workers that may host a unit. reservations contains, for each unit that waits for
    preempted units to stop, the ids of the workers that will run its tasks. unfinished
    is set if that pass reached its limit of searches. rack_checks contains which units
    wait for a rack, and doubt_waits since when units that would fit with doubtful
    workers wait for others. protected contains the organisations whose units those of
    organisations over their share did not preempt.
    """

    unmet: dict[Need, UnmetNeed] = field(default_factory=dict)
    hosts_by_key: dict[HostKey, HostGroups] = field(default_factory=dict)
    reservations: dict[UnitId, tuple[str, ...]] = field(default_factory=dict)
    unfinished: bool = False
    rack_checks: dict[CheckKey, RackCheck] = field(default_factory=dict)
    doubt_waits: dict[UnitId, float] = field(default_factory=dict)
    protected: Protected = frozenset()


def need_of(unit: WaitingUnit) -> Need:
    """Return all that decides whether the unit fits, and which units it may preempt."""
    return (
        *host_key(unit),
        unit.size,
        unit.same_rack,
        unit.payload_bytes,
        unit.order_bytes,
        unit.priority,
        unit.isolated,
        step_key(unit) if unit.tasks_per_worker else None,
        unit.over_share,
    )
