"""Limit the work that preemptions for a waiting unit may lose.

This answers a fleet that is full of work that can wait while urgent work can't.
"""

from __future__ import annotations

from math import inf

from .plan import WaitingUnit

LOSS_SHARE_LIMIT = 0.4
"""Limit of lost work for a unit without a guarantee, as a share of its own work."""

TIGHT_SLACK = 1.5
"""Seconds before and after the latest in-time start in which slack is tight."""

TIGHT_LOSS_SHARE_LIMIT = 1.0
"""Limit of the share for a unit with tight slack: no more is lost than it does."""

NO_EVICTION = -1.0
"""Loss limit of a unit that preempts no other one, and of an omitted search."""


def eviction_loss_limit(unit: WaitingUnit, now: float, settling: bool) -> float:
    """Return the limit of lost work in core-seconds for an eviction.

    While workers have yet to report, in which case settling is set, one of them may
    have room. Away from its rack a unit takes several times as long, so that stopping
    others for it is worth little.
    """
    if settling:
        return NO_EVICTION
    if unit.guaranteed:
        return inf
    if unit.displaces:
        return LOSS_SHARE_LIMIT * unit.work
    if unit.priority > 0 or unit.relaxed:
        return NO_EVICTION
    slack = unit.objective - unit.remaining - now
    tight = abs(slack) <= TIGHT_SLACK
    return (TIGHT_LOSS_SHARE_LIMIT if tight else LOSS_SHARE_LIMIT) * unit.work
