"""Divide what the end of a run wastes into lost work and overhead.

Lost work has to be done again. Users count only that, so that the time of starts, stops
and restores is kept apart as overhead. Costs are in core-seconds; an accelerator counts
as eight cores.
"""

from __future__ import annotations

from ..owner.fleet_state import FleetState
from ..run_times.run_progress import RunProgress
from ..workers.worker import EndKind
from .stop_times import StopTimes
from .unit import CANCELLING, RunEnded, STOPPING, Unit, UnitMember
from .unit_stop import WastedWork

START_DELAY = 0.03
"""Seconds from the order to the start of a run, in the usual case."""

LISTING_INTERVAL = 1.0
"""Seconds between two lists of a worker's runs."""

LATE_LISTING = 1.25
"""Seconds from the order to the first list, beyond which the start was late.

A start in the usual time is listed after one interval, and the report takes a moment.
"""

SHORTEST_WAIT = 0.25
"""Seconds that a member of a gang waits at least for the wait to be told from noise."""

UNLISTED_ENDS = frozenset((EndKind.CRASHED, EndKind.LOST, EndKind.UNKNOWN))
"""Ends that the worker does not list; the owner learns of them later."""


def wasted_work(
    unit: Unit, member: UnitMember, ended: RunEnded, state: FleetState, now: float
) -> WastedWork:
    """Return what the end of one member's run wastes, before it is recorded.

    A completed gang wastes the time for which its members waited for each other. A
    refused run has done no work. A run that was told to stop has saved a checkpoint
    then, and a long-running step loses no work.
    """
    weight = unit.step.demand.weight
    if ended.kind is EndKind.DONE:
        return WastedWork(lost=weight * sum(_gang_waits(unit)))
    held = max(now - member.started_at, 0.0)
    if not _has_begun(member, ended):
        return WastedWork(overhead=weight * held)
    begun = min(_begun_at(unit, member), now)
    worked_until = max(_worked_until(unit, member, ended.kind, state, now), begun)
    lost = worked_until - begun
    saves = unit.step.checkpointing or unit.step.long_running
    if saves and not _is_incomplete(unit, ended.kind):
        waited = min(_gang_waits(unit)[unit.members.index(member)], lost)
        lost = waited + _unsaved(unit, ended.kind, lost - waited, state.stop_times)
    overhead = max(held - (worked_until - begun), 0.0)
    if _is_restored(unit, ended):
        overhead += state.stop_times.restore
    return WastedWork(lost=weight * lost, overhead=weight * overhead)


def _has_begun(member: UnitMember, ended: RunEnded) -> bool:
    """Return whether something shows that the run has begun."""
    if member.progress.listed_at is not None:
        return True
    unlisted = ended.kind in UNLISTED_ENDS or ended.kind is EndKind.REFUSED
    return not unlisted


def _begun_at(unit: Unit, member: UnitMember) -> float:
    """Return the time at which the run was on its worker, as far as the owner can tell.

    A run without progress in a late first list had just begun. One with progress had
    begun at its rate before, or in the usual time if the rate is not known: a new owner
    reads a first list that is late for that reason only.
    """
    progress = member.progress
    usual = member.started_at + START_DELAY
    if progress.listed_at is None:
        return usual
    if progress.first_at - member.started_at <= LATE_LISTING:
        return min(usual, progress.first_at)
    if not progress.first_percent:
        return progress.first_at - LISTING_INTERVAL / 2
    rate = _seconds_per_percent(progress)
    if rate is None or unit.start_checkpoint:
        return usual
    return max(progress.first_at - progress.first_percent * rate, usual)


def _seconds_per_percent(progress: RunProgress) -> float | None:
    done, worked = progress.observed_percent, progress.worked
    return worked / done if done > 0 and worked >= LISTING_INTERVAL / 2 else None


def _worked_until(
    unit: Unit, member: UnitMember, kind: EndKind, state: FleetState, now: float
) -> float:
    """Return the time until which the run worked, as far as the owner can tell.

    A run whose lease ran out was not reached by a stop, and nothing shows that a run
    still worked whose worker has not listed it any more.
    """
    listed_at = member.progress.listed_at
    if kind is EndKind.LAPSED:
        contact = member.started_at if listed_at is None else listed_at
        return min(now, contact + state.horizon)
    if kind in UNLISTED_ENDS and listed_at is not None:
        now = min(now, listed_at + LISTING_INTERVAL / 2)
    if unit.state in (STOPPING, CANCELLING):
        return min(unit.state_since, now)
    return now


def _is_incomplete(unit: Unit, kind: EndKind) -> bool:
    """Return whether the members of a gang waited for others until the end."""
    if kind is EndKind.ALONE:
        return True
    if not unit.step.gang:
        return False
    lists = [member.progress for member in unit.members]
    listed = [one for one in lists if one.listed_at is not None]
    restored = bool(unit.start_checkpoint)
    advanced = any(
        one.percent > (one.first_percent if restored else 0) for one in listed
    )
    return 0 < len(listed) < len(lists) and not advanced


def _gang_waits(unit: Unit) -> list[float]:
    """Return the seconds for which each member of a gang waited for the last one."""
    if not unit.step.gang:
        return [0.0] * len(unit.members)
    begun = [_begun_at(unit, member) for member in unit.members]
    complete_at = max(begun)
    return [_noticeable(complete_at - at) for at in begun]


def _noticeable(waited: float) -> float:
    return waited if waited > SHORTEST_WAIT else 0.0


def _unsaved(unit: Unit, kind: EndKind, worked: float, times: StopTimes) -> float:
    """Return the seconds of work that have to be done again."""
    if unit.step.long_running:
        return 0.0
    if unit.start_checkpoint:
        # The restore was counted when the former run ended.
        worked = max(worked - times.restore, 0.0)
    if unit.step.checkpointing:
        if kind is EndKind.STOPPED:
            return 0.0
        if unit.checkpoint != unit.start_checkpoint:
            return min(worked, times.checkpoint_interval / 2)
    return worked


def _is_restored(unit: Unit, ended: RunEnded) -> bool:
    """Return whether the next run of the unit continues from a checkpoint."""
    if not unit.step.checkpointing or unit.state == CANCELLING:
        return False
    return ended.kind is EndKind.STOPPED or bool(ended.checkpoint or unit.checkpoint)
