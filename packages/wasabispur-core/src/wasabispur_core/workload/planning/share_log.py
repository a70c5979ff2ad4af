"""Log how far organisations are over their fair shares, at the shard's owner."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import SHARES_COMPARED
from ..owner.fleet_state import FleetState
from .pass_shares import level_shares

INTERVAL = 5.0
"""Seconds between two comparisons of all shares."""

RATIO_DIGITS = 1
"""Decimal places of the ratio; smaller changes are not logged."""


def log_shares(state: FleetState, now: float) -> list[Command]:
    """Log the largest ratio of an organisation's use to its fair share, if it changed.

    The ratio is 0 while no unit waits: shares matter only then, and what organisations
    use is as of the last planning pass.
    """
    logged = state.share_log
    if not state.fair_shares or now - logged.computed_at < INTERVAL:
        return []
    logged.computed_at = now
    view = state.view
    ratio, organisation, priority = 0.0, "", 0
    if state.waiting:
        levels = level_shares(view.use, view.waiting.values())
        ratios = (
            (*shares.largest_ratio(), level.priority)
            for level, shares in levels.items()
        )
        ratio, organisation, priority = max(ratios, default=(0.0, "", 0))
    ratio = round(ratio, RATIO_DIGITS)
    if ratio == logged.ratio:
        return []
    logged.ratio = ratio
    fields = {"organisation": organisation, "priority": priority, "ratio": ratio}
    return [WriteLog(number=SHARES_COMPARED.number, fields=fields)]
