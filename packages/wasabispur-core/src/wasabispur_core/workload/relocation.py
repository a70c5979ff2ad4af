"""Decide which running units leave their workers, because these leave or stand still.

Answers drains, replacements of workers in a row, and workers on which tasks stop to
work: keeps what can end where it is, and moves the rest while it loses least.
"""

from __future__ import annotations

from .plan import Decision, Evacuate, Move, RunningUnit, Snapshot, Trust

STALL_LIMIT = 1.5
"""Seconds for which a unit has to stand still before it is moved."""

EVACUATION_TIME = 1.5
"""Seconds that the stop of a unit and the report of its end take at most."""

DRAIN_MARGIN = 2.5
"""Seconds for which a leaving worker mostly stays beyond the least that it tells."""


def relocations(snapshot: Snapshot) -> list[Decision]:
    """Return the evacuations and the moves."""
    evacuations = [
        Evacuate(unit_id=unit.unit_id, leaves_in=unit.leaves_in)
        for unit in snapshot.running
        if not unit.stopping and _must_evacuate(unit)
    ]
    return [*evacuations, *_moves(snapshot)]


def _must_evacuate(unit: RunningUnit) -> bool:
    """Return whether a unit has to stop now because a worker of it leaves.

    Work that is saved goes on until just before the worker leaves. Other work gains
    by an early restart, unless it can end in the time that workers mostly stay longer.
    """
    if unit.ends_in <= unit.leaves_in:
        return False
    if unit.checkpointing:
        return unit.leaves_in <= EVACUATION_TIME
    return unit.ends_in > unit.leaves_in + DRAIN_MARGIN


def _moves(snapshot: Snapshot) -> list[Move]:
    """Move units that have stood still for as long as the work they would lose took.

    That bounds the loss at twice the one of the best choice in hindsight. Where most
    workers look bad, something else is the cause.
    """
    trusted = sum(worker.trust is Trust.FULL for worker in snapshot.workers)
    if 2 * trusted < len(snapshot.workers):
        return []
    return [
        Move(unit_id=unit.unit_id, stalled_for=unit.stalled_for)
        for unit in snapshot.running
        if not unit.stopping and unit.stalled_for >= max(STALL_LIMIT, unit.lost_time)
    ]
