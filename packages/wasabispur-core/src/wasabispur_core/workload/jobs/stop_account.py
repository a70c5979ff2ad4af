"""Account for the work that stops waste, estimated before and measured after.

The entry instance that owns the shard does this for each end of a run. Costs are in
core-seconds; an accelerator counts as eight cores.
"""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import EVICTION_ACCOUNTED, STOP_ACCOUNTED
from ..owner.fleet_state import FleetState
from ..workers.worker import EndKind
from .stop_times import START_TIME, StopTimes
from .unit import (
    ACTIVE,
    CANCELLING,
    ENDED_STATES,
    RunEnded,
    Unit,
    unit_name,
    UnitId,
)
from .unit_stop import (
    CountWaste,
    EvictionAccount,
    UnitStop,
    WasteCause,
    WastedWork,
)

CAUSES_BY_KIND = {
    EndKind.DONE: WasteCause.LATE_ORDER,
    EndKind.FAILED: WasteCause.FAILED,
    EndKind.STOPPED: WasteCause.BROKEN,
    EndKind.BROKEN: WasteCause.BROKEN,
    EndKind.LAPSED: WasteCause.LAPSED,
    EndKind.ALONE: WasteCause.LATE_ORDER,
    EndKind.REFUSED: WasteCause.REFUSED,
    EndKind.CRASHED: WasteCause.WORKER_GONE,
    EndKind.LOST: WasteCause.WORKER_GONE,
    EndKind.UNKNOWN: WasteCause.WORKER_GONE,
}


def begin_stop(
    unit: Unit,
    cause: WasteCause,
    state: FleetState,
    now: float,
    beneficiary: UnitId | None = None,
) -> float:
    """Record a stop that was decided on, and return its estimated cost."""
    estimated = estimated_waste(unit, state.stop_times, now)
    if unit.state != ACTIVE:
        return estimated
    unit.stop = UnitStop(cause=cause, estimated=estimated, beneficiary=beneficiary)
    if beneficiary is not None:
        _remove_obsolete(state)
        account = state.evictions.setdefault(beneficiary, EvictionAccount(begun_at=now))
        account.victims += 1
        account.estimated += estimated
        account.estimated_idle += START_TIME * unit.size * unit.step.demand.weight
    return estimated


def estimated_waste(unit: Unit, times: StopTimes, now: float) -> float:
    """Return what stopping a unit now is expected to cost."""
    weight = unit.step.demand.weight
    overhead = times.stop_and_restore(unit.step.checkpointing)
    running = [member for member in unit.members if not member.ended]
    lost = 0.0
    if not (unit.step.checkpointing or unit.step.long_running):
        lost = sum(max(now - member.started_at, 0.0) for member in running)
    return weight * (lost + overhead * len(running))


def cause_of_end(unit: Unit, kind: EndKind) -> WasteCause:
    """Return why the work of a member is wasted whose run has ended.

    Members of a completed gang waited for the one that began last.
    """
    if kind is EndKind.DONE:
        return CAUSES_BY_KIND[kind]
    if unit.state == CANCELLING:
        return WasteCause.CANCELLED
    if unit.stop is not None:
        return unit.stop.cause
    return CAUSES_BY_KIND[kind]


def account_for_end(
    unit: Unit, ended: RunEnded, wasted: WastedWork, state: FleetState, now: float
) -> list[Command]:
    """Add the waste of one member to its unit's stop, and log the stop at its end."""
    stop = unit.stop
    if stop is None:
        return []
    stop.wasted += wasted
    account = None
    if stop.beneficiary is not None:
        account = state.evictions.get(stop.beneficiary)
    if account is not None:
        account.wasted += wasted.total
        account.freed.append((now, unit.step.demand.weight))
    if unit.may_be_running and unit.state not in ENDED_STATES:
        return []
    unit.stop = None
    fields = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "run": unit.run,
        "cause": stop.cause.value,
        "estimated": round(stop.estimated, 1),
        "wasted": round(stop.wasted.total, 1),
        "lost": round(stop.wasted.lost, 1),
        "overhead": round(stop.wasted.overhead, 1),
        "how": ended.kind.value,
    }
    return [WriteLog(number=STOP_ACCOUNTED.number, fields=fields)]


def account_for_start(unit_id: UnitId, state: FleetState, now: float) -> list[Command]:
    """Log what the stops for a unit have cost, once the unit is placed."""
    account = state.evictions.pop(unit_id, None)
    if account is None:
        return []
    idle = account.idle(now)
    fields = {
        "job": unit_id.job_id,
        "unit": unit_name(unit_id),
        "victims": account.victims,
        "estimated": round(account.estimated, 1),
        "wasted": round(account.wasted, 1),
        "idle": round(idle, 1),
        "estimated_idle": round(account.estimated_idle, 1),
        "waited": round(now - account.begun_at, 3),
    }
    count = CountWaste(cause=WasteCause.IDLE, work=WastedWork(overhead=idle))
    return [WriteLog(number=EVICTION_ACCOUNTED.number, fields=fields), count]


def _remove_obsolete(state: FleetState) -> None:
    """Forget the stops for units that ended without being placed."""
    for unit_id in list(state.evictions):
        unit = state.unit(unit_id)
        if unit is None or unit.state in ENDED_STATES:
            del state.evictions[unit_id]
