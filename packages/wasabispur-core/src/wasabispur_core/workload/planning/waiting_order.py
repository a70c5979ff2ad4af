"""Order the waiting units for placement.

The order handles overload by several kinds of jobs: urgent units come first, and units
that can still meet their objective come before units that can't.
"""

from __future__ import annotations

from operator import attrgetter
from typing import Any

from ..jobs.unit import UnitId
from .plan import Snapshot, WaitingUnit
from .unit_placement import step_key

LATENESS_FACTOR_LIMIT = 3.0
"""Multiple of its target span after which the end of a job has no value."""


def waiting_groups(snapshot: Snapshot) -> list[list[WaitingUnit]]:
    """Return the waiting units in order of placement, identical ones together."""
    groups: dict[tuple[Any, ...], list[WaitingUnit]] = {}
    for unit in snapshot.waiting:
        groups.setdefault(_step_key(unit), []).append(unit)
    for group in groups.values():
        group.sort(key=attrgetter("unit_id"))
    now = snapshot.now
    return sorted(groups.values(), key=lambda group: queue_order(group[0], now))


def queue_order(unit: WaitingUnit, now: float) -> tuple[bool, int, int, float, UnitId]:
    """Return the sort key of waiting units.

    The order is by guarantee, priority, lateness, and the latest start that meets the
    objective.
    """
    return (
        not unit.guaranteed,
        unit.priority,
        _lateness(unit, now),
        unit.objective - unit.remaining,
        unit.unit_id,
    )


def _lateness(unit: WaitingUnit, now: float) -> int:
    """Return 0 if the unit can meet its objective, 1 if late, 2 if without value."""
    end = now + unit.remaining
    if end <= unit.objective:
        return 0
    start = unit.objective - unit.target_span
    return 1 if end <= start + LATENESS_FACTOR_LIMIT * unit.target_span else 2


def _step_key(unit: WaitingUnit) -> tuple[Any, ...]:
    """Return a key that is the same for identical units."""
    return (
        *step_key(unit),
        unit.failed_on,
        unit.refused_by,
        unit.attempts_left > 1,
        unit.suspected,
        unit.dangerous,
        unit.last_crash_on,
        unit.excluded,
        unit.isolated,
        # A unit with saved work needs less, and may cost others less.
        unit.remaining,
    )
