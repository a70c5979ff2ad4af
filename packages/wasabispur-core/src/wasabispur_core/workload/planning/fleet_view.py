"""Keep the planner's view of the fleet between two planning passes.

The shard's owner derives the view from its state. Only what changed since the last
pass is derived again, so that a pass costs little in a large fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..jobs.unit import UnitId
from .organisation_share import OrganisationUse
from .plan import RunningUnit, WaitingUnit, WorkerSnapshot


@dataclass(slots=True, kw_only=True)
class FleetView:
    """Represent the last snapshot, and what has changed since.

    waiting and running contain the open units, and covered the ids of the jobs that
    their organisation's guarantee covers. changed_units and changed_workers contain
    the ids whose entries have to be derived again. The entries of aging_units also
    depend on the time. guarantees_changed is set if covered has to be derived again,
    and policy_changed if all entries have to be. use is what organisations occupy with
    their running units; it is kept only if shares are fair.
    """

    workers: dict[str, WorkerSnapshot] = field(default_factory=dict)
    waiting: dict[UnitId, WaitingUnit] = field(default_factory=dict)
    running: dict[UnitId, RunningUnit] = field(default_factory=dict)
    covered: set[str] = field(default_factory=set)
    changed_units: set[UnitId] = field(default_factory=set)
    changed_workers: set[str] = field(default_factory=set)
    aging_units: set[UnitId] = field(default_factory=set)
    guarantees_changed: bool = True
    policy_changed: bool = False
    use: OrganisationUse = field(default_factory=OrganisationUse)
