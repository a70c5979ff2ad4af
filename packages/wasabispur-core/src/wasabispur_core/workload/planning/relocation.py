"""Decide which running units are relocated, because a worker leaves or stalls.

This is part of the planner at the entry instance that owns the shard. It covers
draining workers, rolling replacements of workers, and workers on which tasks make no
progress. Units that can end in time stay where they are; the others are stopped when
this loses the least work.
"""

from __future__ import annotations

from .plan import Decision, Evacuate, Move, RunningUnit, Snapshot, Trust

STALL_LIMIT = 1.5
"""Seconds without progress after which a unit may be moved."""

EVACUATION_TIME = 1.5
"""Upper bound in seconds for stopping a unit and reporting its end."""

DRAIN_MARGIN = 2.5
"""Seconds for which most leaving workers stay beyond the announced minimum."""


def relocations(snapshot: Snapshot) -> list[Decision]:
    """Return the evacuations from leaving workers and the moves of stalled units."""
    evacuations = [
        Evacuate(unit_id=unit.unit_id, leaves_in=unit.leaves_in)
        for unit in snapshot.running
        if not unit.stopping and _must_evacuate(unit)
    ]
    return [*evacuations, *_moves(snapshot)]


def _must_evacuate(unit: RunningUnit) -> bool:
    """Return whether a unit has to stop now, because one of its workers leaves.

    A unit with checkpoints runs until just before the worker leaves, because it loses
    no work. Any other unit gains from an early restart, unless it can end within the
    time for which most workers stay longer than announced.
    """
    if unit.ends_in <= unit.leaves_in:
        return False
    if unit.checkpointing:
        return unit.leaves_in <= EVACUATION_TIME
    return unit.ends_in > unit.leaves_in + DRAIN_MARGIN


def _moves(snapshot: Snapshot) -> list[Move]:
    """Move units that have stalled for as long as the work they would lose took.

    This bounds the loss to twice that of the best decision in hindsight. If fewer than
    half of the workers are fully trusted, the cause lies elsewhere, and no unit moves.
    """
    stalled = [
        unit
        for unit in snapshot.running
        if unit.stalled_for >= STALL_LIMIT and not unit.stopping
    ]
    trusted = sum(worker.trust is Trust.FULL for worker in snapshot.workers)
    if not stalled or 2 * trusted < len(snapshot.workers):
        return []
    return [
        Move(unit_id=unit.unit_id, stalled_for=unit.stalled_for)
        for unit in stalled
        if unit.stalled_for >= unit.lost_time(snapshot.now)
    ]
