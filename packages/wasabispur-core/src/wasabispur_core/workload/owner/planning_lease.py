"""Hold back planning passes while the owner doesn't know that it still is the owner.

An owner that was frozen, or that can't reach the store, may have been replaced, and
what it places is then never stored. A pass that is held back is made once the store
confirms a transaction of the owner, and its rows go into the next transaction. That
transaction needs this confirmation in any case, so a slow store delays no placement.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...command import Command, WriteLog
from ...log_event import PLANNING_HELD_BACK
from ...sharding.ownership import ShardLease


@dataclass(slots=True)
class PlanningLease:
    """Represent the lease under which the owner plans.

    lease is None in a simulation without one. held_back is set while a due pass waits
    for a confirmation.
    """

    lease: ShardLease | None = None
    held_back: bool = False

    def may_plan(self, now: float) -> bool:
        """Return whether a pass may be made now."""
        return self.lease is None or self.lease.may_plan(now)

    def hold_back(self, now: float) -> list[Command]:
        """Hold the pass that is due back until the next confirmation."""
        if self.lease is None or self.held_back:
            return []
        self.held_back = True
        over = round(now - self.lease.held_until, 3)
        fields = {"epoch": self.lease.epoch, "over": over}
        return [WriteLog(number=PLANNING_HELD_BACK.number, fields=fields)]

    def release(self) -> bool:
        """Return whether a pass was held back, which is made now."""
        held_back, self.held_back = self.held_back, False
        return held_back
