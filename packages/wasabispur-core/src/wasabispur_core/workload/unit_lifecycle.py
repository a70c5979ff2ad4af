"""Drive units through the unit state chart, and update the derived state.

The scheduler at the entry instance (a front-end process) that owns the shard uses this
to place, preempt, relocate and cancel units, which are whole gangs or single tasks. A
unit's run number is 0 until its first run. The derived state consists of the jobs'
states, the indexes of waiting units and of units by worker, and the rows that have to
be written.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import (
    JOB_ENDED,
    LogEvent,
    RUN_ENDED,
    UNIT_EVACUATED,
    UNIT_GIVEN_UP,
    UNIT_MOVED,
    UNIT_PLACED,
    UNIT_PREEMPTED,
    UNIT_WAITING,
)
from ..message import Message
from .fleet_state import FleetState, Job
from .plan import Decision, Evacuate, Move, Preempt, Wait
from .progress import JobState, MemberRecord, UnitRecord
from .spec import StepSpec
from .unit import (
    ACTIVE,
    BLOCKED,
    COMPLETED,
    ENDED_STATES,
    FAILED,
    RunEnded,
    Unit,
    UnitCancelled,
    UnitId,
    UnitMember,
    UnitPlaced,
    UnitPreempted,
    UnitReady,
    UnknownEndLearned,
    WAITING,
    WorkerRef,
)
from .worker import EndKind

DEFAULT_ATTEMPTS = 1
"""Attempt limit for a task whose queue was removed from the configuration."""

MAX_LOGGED_COST = 1e6
"""Core-seconds that stand in a log record for infinity, which JSON lacks."""

LEARNED_LATER = "the end was unknown until now"

REFUSAL_BACKOFF = 0.25
"""Seconds before a unit is placed again after a worker has refused it."""


def handle_unit_event(
    unit: Unit, message: Message, state: FleetState, now: float
) -> None:
    """Handle a message in the unit's state chart, and mark the rows to write."""
    job = state.jobs[unit.unit_id.job_id]
    queue = state.queue(job)
    _unindex_members(unit, state)
    unit.lifecycle.handle(message, attempt_limit(job, state), unit, now)
    unit.stored_row = None
    _index_members(unit, state)
    state.dirty_jobs.add(job.spec.job_id)
    if unit.state in ENDED_STATES and queue and queue.priority == 0:
        state.view.guarantees_changed = True


def attempt_limit(job: Job, state: FleetState) -> int:
    """Return the number of attempts after which a unit of the job has failed."""
    queue = state.queue(job)
    return queue.max_attempts if queue else DEFAULT_ATTEMPTS


def place(
    unit: Unit, placement: tuple[WorkerRef, ...], state: FleetState, now: float
) -> list[Command]:
    """Start a run of the unit on the chosen workers."""
    handle_unit_event(unit, UnitPlaced(placement=placement), state, now)
    fields = {
        "job": unit.unit_id.job_id,
        "unit": _unit_name(unit),
        "run": unit.run,
        "workers": sorted({worker_ref.worker_id for worker_ref in placement}),
        "waited": round(now - unit.ready_at, 3),
        "epoch": state.epoch,
    }
    return [WriteLog(number=UNIT_PLACED.number, fields=fields)]


def preempt(decision: Preempt, state: FleetState, now: float) -> list[Command]:
    """Stop a unit to free its resources for another one."""
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state in ENDED_STATES:
        return []
    beneficiary = ".".join(str(part) for part in decision.beneficiary)
    handle_unit_event(unit, UnitPreempted(reason=beneficiary), state, now)
    fields = {
        "job": unit.unit_id.job_id,
        "unit": _unit_name(unit),
        "run": unit.run,
        "beneficiary": beneficiary,
        "lost_work": round(decision.lost_work, 1),
    }
    return [WriteLog(number=UNIT_PREEMPTED.number, fields=fields)]


def evacuate(decision: Evacuate, state: FleetState, now: float) -> list[Command]:
    """Stop a unit because a worker leaves, so that it is placed on another one."""
    extra_fields = {"leaves_in": round(decision.leaves_in, 2)}
    return _relocate(decision, "drain", UNIT_EVACUATED, extra_fields, state, now)


def move(decision: Move, state: FleetState, now: float) -> list[Command]:
    """Stop a stalled unit, so that it is placed on other workers."""
    unit = state.unit(decision.unit_id)
    if unit is not None:
        stalled = [one for one in unit.members if one.progress.stalled_for]
        unit.avoided_workers.update(member.worker_ref.worker_id for member in stalled)
    extra_fields = {"stalled": round(decision.stalled_for, 2)}
    return _relocate(decision, "stalled", UNIT_MOVED, extra_fields, state, now)


def log_wait(decision: Wait, state: FleetState, now: float) -> list[Command]:
    """Log why a unit waits, once for each reason and step of an occurrence."""
    unit = state.unit(decision.unit_id)
    if unit is None:
        return []
    job = state.jobs[unit.unit_id.job_id]
    step = (unit.unit_id.occurrence, unit.unit_id.step)
    if job.wait_reasons.get(step) == decision.reason:
        return []
    job.wait_reasons[step] = decision.reason
    fields: dict[str, object] = {
        "job": unit.unit_id.job_id,
        "unit": _unit_name(unit),
        "reason": decision.reason.value,
        "tasks": unit.size,
        "cpu": unit.demand.cpu,
        "accelerators": unit.demand.accelerators,
        "estimate": unit.step.estimate,
        "guaranteed": unit.unit_id.job_id in state.view.covered,
        "waited": round(now - unit.ready_at, 3),
        "loss_limit": round(min(decision.loss_limit, MAX_LOGGED_COST), 1),
    }
    if decision.least_cost is not None:
        fields["least_cost"] = round(min(decision.least_cost, MAX_LOGGED_COST), 1)
    return [WriteLog(number=UNIT_WAITING.number, fields=fields)]


def end_run(
    unit: Unit, ended: RunEnded, worker_id: str, state: FleetState, now: float
) -> list[Command]:
    """Apply the end of one member's run to its unit and job."""
    if unit.state in ENDED_STATES:
        return []
    handle_unit_event(unit, ended, state, now)
    # Workers in failed_on are excluded while others remain, and those in
    # avoided_workers are only used last.
    if ended.kind in (EndKind.FAILED, EndKind.CRASHED):
        unit.failed_on.add(worker_id)
    if ended.kind in (EndKind.REFUSED, EndKind.LOST, EndKind.UNKNOWN):
        unit.avoided_workers.add(worker_id)
    if ended.kind is EndKind.REFUSED:
        unit.backoff_until = now + REFUSAL_BACKOFF
    begun = next(m.started_at for m in unit.members if m.index == ended.index)
    fields = {
        "job": unit.unit_id.job_id,
        "task": str(unit.task_id(ended.index)),
        "run": unit.run,
        "ran": round(now - begun, 2),
        "worker": worker_id,
        "how": ended.kind.value,
        "reason": ended.reason,
        "failures": unit.failures,
        "crashes": unit.crashes.most,
        "state": unit.state,
    }
    log = WriteLog(number=RUN_ENDED.number, fields=fields)
    return [log, *_after_end(unit, state, now)]


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
        "unit": _unit_name(unit),
        "crashes": unit.crashes.most,
    }
    return [WriteLog(number=UNIT_GIVEN_UP.number, fields=fields), *commands]


def cancel(job: Job, state: FleetState, now: float) -> list[Command]:
    """Cancel a job and stop its remaining units."""
    if job.state.ended:
        return []
    job.cancelled = True
    if job.held:
        _release(job, state)
    _cancel_units(job, state, now)
    return update_job(job, state, now)


def _release(job: Job, state: FleetState) -> None:
    """Let the runs of a held job be stopped, and their ends be acknowledged."""
    for worker in state.workers.values():
        if any(state.is_held(run.task) for run in worker.unknown_runs):
            state.mark_worker(worker.worker_id)
    job.held = False


def update_job(job: Job, state: FleetState, now: float) -> list[Command]:
    """Unblock units whose dependencies are completed, and end a finished job."""
    if job.state.ended:
        return []
    failed = any(unit.state == FAILED for unit in job.units.values())
    if failed:
        _cancel_units(job, state, now)
        return _end_job(job, JobState.FAILED, state, now)
    if job.cancelled:
        return _end_job(job, JobState.CANCELLED, state, now)
    _unblock_units(job, state, now)
    units = job.units.values()
    if job.occurrences == occurrence_count(job) and all(
        unit.state == COMPLETED for unit in units
    ):
        return _end_job(job, JobState.COMPLETED, state, now)
    if job.state is JobState.PENDING and any(unit.run for unit in units):
        job.state = JobState.RUNNING
        state.dirty_jobs.add(job.spec.job_id)
    return []


def occurrence_count(job: Job) -> int:
    """Return the total number of the job's occurrences."""
    return max(job.spec.repeats, 1)


def add_occurrence(job: Job, state: FleetState) -> None:
    """Create the units of the job's next occurrence."""
    occurrence = job.occurrences
    job.occurrences += 1
    state.view.guarantees_changed = True
    for number, step in enumerate(job.spec.steps):
        for index in range(1 if step.gang else step.count):
            unit_id = UnitId(job.spec.job_id, occurrence, number, index)
            job.units[unit_id] = Unit(
                unit_id=unit_id, step=step, lifecycle=state.unit_chart.start()
            )


def restore_unit(job: Job, record: UnitRecord, state: FleetState, now: float) -> None:
    """Restore a unit from the record of a former owner.

    The record has only the latest checkpoint, which also becomes start_checkpoint, the
    one from which the current run started.
    """
    steps = job.spec.steps
    if record.step >= len(steps):
        return
    step: StepSpec = steps[record.step]
    unit_id = UnitId(job.spec.job_id, record.occurrence, record.step, record.index)
    unit = Unit(
        unit_id=unit_id,
        step=step,
        lifecycle=state.unit_chart.resume(record.state),
        run=record.run,
        failures=record.failures,
        run_failed=record.run_failed,
        checkpoint=record.checkpoint,
        start_checkpoint=record.checkpoint,
        crashes=record.crashes,
        unknown_ends=record.unknown_ends,
        ready_at=now,
    )
    unit.members = [
        UnitMember(
            index=member.index,
            worker_ref=WorkerRef(
                worker_id=member.worker_id, incarnation=member.incarnation
            ),
            ended=member.ended,
            started_at=_started_at(member, state, now),
            broken=member.broken,
        )
        for member in record.members
    ]
    job.units[unit_id] = unit
    _index_members(unit, state)


def _started_at(record: MemberRecord, state: FleetState, now: float) -> float:
    """Return the time at which a recorded run was ordered, on this process's clock.

    The record has it on the store's clock, and store_offset is the store's clock minus
    this process's clock.
    """
    if not record.started_at:
        return now
    return min(record.started_at - state.store_offset, now)


def _relocate(
    decision: Decision,
    reason: str,
    event: LogEvent,
    extra_fields: dict[str, float],
    state: FleetState,
    now: float,
) -> list[Command]:
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state != ACTIVE:
        return []
    handle_unit_event(unit, UnitPreempted(reason=reason), state, now)
    fields = {"job": unit.unit_id.job_id, "unit": _unit_name(unit), "run": unit.run}
    return [WriteLog(number=event.number, fields=fields | extra_fields)]


def _end_job(
    job: Job, end_state: JobState, state: FleetState, now: float
) -> list[Command]:
    job.state = end_state
    job.ended_at = now + state.store_offset
    state.view.guarantees_changed = True
    state.dirty_jobs.add(job.spec.job_id)
    fields = {
        "job": job.spec.job_id,
        "queue": job.spec.queue,
        "organisation": job.spec.organisation,
        "state": end_state.value,
        "took": round(job.ended_at - job.spec.accepted_at, 3),
    }
    return [WriteLog(number=JOB_ENDED.number, fields=fields)]


def _cancel_units(job: Job, state: FleetState, now: float) -> None:
    for unit in job.units.values():
        if unit.state not in ENDED_STATES:
            handle_unit_event(unit, UnitCancelled(), state, now)


def _unblock_units(job: Job, state: FleetState, now: float) -> None:
    for unit in job.units.values():
        if unit.state == BLOCKED and _dependencies_completed(job, unit):
            handle_unit_event(unit, UnitReady(), state, now)


def _dependencies_completed(job: Job, unit: Unit) -> bool:
    wanted = set(unit.step.after)
    return all(
        other.state == COMPLETED
        for other in job.units.values()
        if other.unit_id.occurrence == unit.unit_id.occurrence
        and other.unit_id.step in wanted
    )


def _unindex_members(unit: Unit, state: FleetState) -> None:
    state.capacity_changed = True
    for member in unit.members:
        if not member.ended:
            worker_id = member.worker_ref.worker_id
            state.units_by_worker.get(worker_id, set()).discard(unit.unit_id)
            state.mark_worker(worker_id)


def _index_members(unit: Unit, state: FleetState) -> None:
    state.view.changed_units.add(unit.unit_id)
    if unit.state == WAITING:
        state.waiting.add(unit.unit_id)
    else:
        state.waiting.discard(unit.unit_id)
    if unit.unknown_ends and unit.state not in ENDED_STATES:
        state.units_with_unknown_ends.add(unit.unit_id)
    else:
        state.units_with_unknown_ends.discard(unit.unit_id)
    for member in unit.members:
        if not member.ended:
            worker_id = member.worker_ref.worker_id
            state.units_by_worker.setdefault(worker_id, set()).add(unit.unit_id)
            state.mark_worker(worker_id)


def _unit_name(unit: Unit) -> str:
    return ".".join(str(part) for part in unit.unit_id[1:])
