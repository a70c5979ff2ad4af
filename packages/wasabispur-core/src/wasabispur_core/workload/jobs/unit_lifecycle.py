"""Place, preempt and relocate units, and apply the ends of their runs.

The scheduler at the entry instance (a front-end process) that owns the shard uses this
for units, which are whole gangs or single tasks. A unit's run number is 0 until its
first run.
"""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import (
    LogEvent,
    RUN_ENDED,
    UNIT_EVACUATED,
    UNIT_GIVEN_UP,
    UNIT_MOVED,
    UNIT_PLACED,
    UNIT_PREEMPTED,
)
from ..owner.fleet_state import FleetState
from ..planning.plan import Decision, Evacuate, Move, Preempt
from ..policies.cordon import CORDONED
from ..run_times.run_forecast import record_run, step_forecast
from ..run_times.speed_sample import slowest_factor
from ..workers.worker import EndKind
from .job_lifecycle import count_placement, update_job
from .stop_account import (
    account_for_end,
    account_for_start,
    begin_stop,
    cause_of_end,
)
from .unit import (
    ACTIVE,
    ENDED_STATES,
    FAILED,
    RunEnded,
    Unit,
    unit_name,
    UnitPlaced,
    UnitPreempted,
    UnknownEndLearned,
    WorkerRef,
)
from .unit_event import handle_unit_event
from .unit_stop import CountWaste, NO_WASTE, WasteCause
from .wasted_work import wasted_work

LEARNED_LATER = "the end was unknown until now"

REFUSAL_BACKOFF = 0.25
"""Seconds before a unit is placed again after a worker has refused it."""


def place(
    unit: Unit, placement: tuple[WorkerRef, ...], state: FleetState, now: float
) -> list[Command]:
    """Start a run of the unit on the chosen workers."""
    handle_unit_event(unit, UnitPlaced(placement=placement), state, now)
    count_placement(unit, state.jobs[unit.unit_id.job_id])
    for worker_ref in placement:
        worker = state.workers.get(worker_ref.worker_id)
        if worker is not None:
            worker.last_start_at = now
    fields = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "run": unit.run,
        "workers": sorted({worker_ref.worker_id for worker_ref in placement}),
        "waited": round(now - unit.ready_at, 3),
        "epoch": state.epoch,
    }
    factor = slowest_factor(unit, state)
    if factor != 1.0:
        fields["factor"] = round(factor, 2)
    log = WriteLog(number=UNIT_PLACED.number, fields=fields)
    return [log, *account_for_start(unit.unit_id, state, now)]


def preempt(decision: Preempt, state: FleetState, now: float) -> list[Command]:
    """Stop a unit to free its resources for another one."""
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state in ENDED_STATES:
        return []
    beneficiary = ".".join(str(part) for part in decision.beneficiary)
    cause = WasteCause.PREEMPTED
    estimated = begin_stop(unit, cause, state, now, decision.beneficiary)
    handle_unit_event(unit, UnitPreempted(reason=beneficiary), state, now)
    fields = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "run": unit.run,
        "beneficiary": beneficiary,
        "lost_work": round(decision.lost_work, 1),
        "estimated": round(estimated, 1),
    }
    return [WriteLog(number=UNIT_PREEMPTED.number, fields=fields)]


def evacuate(decision: Evacuate, state: FleetState, now: float) -> list[Command]:
    """Stop a unit because a worker leaves, so that it is placed on another one."""
    extra_fields = {"leaves_in": round(decision.leaves_in, 2)}
    cause = WasteCause.EVACUATED
    return _relocate(decision, cause, UNIT_EVACUATED, extra_fields, state, now)


def move(decision: Move, state: FleetState, now: float) -> list[Command]:
    """Stop a stalled unit, so that it is placed on other workers."""
    unit = state.unit(decision.unit_id)
    if unit is not None:
        stalled = [one for one in unit.members if one.progress.stalled_for]
        unit.avoided_workers.update(member.worker_ref.worker_id for member in stalled)
    extra_fields = {"stalled": round(decision.stalled_for, 2)}
    cause = WasteCause.STALLED
    return _relocate(decision, cause, UNIT_MOVED, extra_fields, state, now)


def end_run(
    unit: Unit, ended: RunEnded, worker_id: str, state: FleetState, now: float
) -> list[Command]:
    """Apply the end of one member's run to its unit and job."""
    if unit.state in ENDED_STATES:
        return []
    job = state.jobs[unit.unit_id.job_id]
    expected = step_forecast(job, unit.unit_id.step, state).median
    record_run(unit, ended, state, now)
    member = unit.member(ended.index)
    wasted, counts = NO_WASTE, []
    if member is not None and not member.ended:
        wasted = wasted_work(unit, member, ended, state, now)
    if wasted != NO_WASTE:
        counts = [CountWaste(cause=cause_of_end(unit, ended.kind), work=wasted)]
    handle_unit_event(unit, ended, state, now)
    # Workers in failed_on are excluded while others remain, and those in
    # avoided_workers are only used last.
    if ended.kind in (EndKind.FAILED, EndKind.CRASHED):
        unit.failed_on.add(worker_id)
    if ended.kind is EndKind.CRASHED:
        unit.last_crash_on = worker_id
        unit.crashed_on[worker_id] = now + unit.crashes.back_off
    _count_refusal(unit, ended, worker_id, state, now)
    begun = member.started_at if member is not None else now
    fields = {
        "job": unit.unit_id.job_id,
        "task": str(unit.task_id(ended.index)),
        "run": unit.run,
        "ran": round(now - begun, 2),
        "expected": round(expected, 2),
        "declared": unit.step.estimate,
        "worker": worker_id,
        "how": ended.kind.value,
        "reason": ended.reason,
        "failures": unit.failures,
        "crashes": unit.crashes.most,
        "state": unit.state,
        "cause": counts[0].cause.value if counts else "",
        "lost": round(wasted.lost, 1),
        "overhead": round(wasted.overhead, 1),
    }
    log = WriteLog(number=RUN_ENDED.number, fields=fields)
    accounts = account_for_end(unit, ended, wasted, state, now)
    return [log, *counts, *accounts, *_after_end(unit, state, now)]


def _count_refusal(
    unit: Unit, ended: RunEnded, worker_id: str, state: FleetState, now: float
) -> None:
    """Count the refusals of a worker in succession, and use it last from now on.

    A refusal because of a cordon says nothing of the worker, and the unit is placed
    elsewhere at once.
    """
    if ended.kind is EndKind.REFUSED and _is_due_to_cordon(ended, worker_id, state):
        return
    if ended.kind in (EndKind.REFUSED, EndKind.LOST, EndKind.UNKNOWN):
        unit.avoided_workers.add(worker_id)
    if ended.kind is not EndKind.REFUSED:
        del unit.refusals[worker_id]
    else:
        unit.refusals[worker_id] += 1
        unit.backoff_until = now + REFUSAL_BACKOFF


def _is_due_to_cordon(ended: RunEnded, worker_id: str, state: FleetState) -> bool:
    worker = state.workers.get(worker_id)
    cordoned = worker is not None and state.is_cordoned(worker)
    return cordoned or ended.reason == CORDONED


def learn_end(
    unit: Unit, learned: UnknownEndLearned, state: FleetState, now: float
) -> list[Command]:
    """Apply to a unit and its job how one of its former runs ended."""
    end = learned.end
    if unit.state in ENDED_STATES:
        return []
    handle_unit_event(unit, learned, state, now)
    if learned.kind in (EndKind.FAILED, EndKind.CRASHED):
        unit.failed_on.add(end.worker_id)
    fields = {
        "job": unit.unit_id.job_id,
        "task": str(unit.task_id(end.index)),
        "run": end.run,
        "ran": end.ran,
        "worker": end.worker_id,
        "how": learned.kind.value,
        "reason": LEARNED_LATER,
        "failures": unit.failures,
        "crashes": unit.crashes.most,
        "state": unit.state,
    }
    log = WriteLog(number=RUN_ENDED.number, fields=fields)
    return [log, *_after_end(unit, state, now)]


def _after_end(unit: Unit, state: FleetState, now: float) -> list[Command]:
    """Update the job of a unit of which a run ended, and log if it is given up."""
    commands = update_job(state.jobs[unit.unit_id.job_id], state, now)
    if unit.state != FAILED or not unit.crashes.limit_reached:
        return commands
    fields = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "crashes": unit.crashes.most,
    }
    return [WriteLog(number=UNIT_GIVEN_UP.number, fields=fields), *commands]


def _relocate(
    decision: Decision,
    cause: WasteCause,
    event: LogEvent,
    extra_fields: dict[str, float],
    state: FleetState,
    now: float,
) -> list[Command]:
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state != ACTIVE:
        return []
    estimated = begin_stop(unit, cause, state, now)
    handle_unit_event(unit, UnitPreempted(reason=cause.value), state, now)
    fields = {
        "job": unit.unit_id.job_id,
        "unit": unit_name(unit.unit_id),
        "run": unit.run,
        "estimated": round(estimated, 1),
    }
    return [WriteLog(number=event.number, fields=fields | extra_fields)]
