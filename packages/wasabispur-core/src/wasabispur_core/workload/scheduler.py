"""Decide, as the owner, which tasks run where."""

from __future__ import annotations

from functools import singledispatch
from math import inf

from ..chart import ChartCatalogue
from ..command import Command, SetTimer, WriteLog
from ..error import UnhandledMessageError
from ..feed import FeedHealth
from ..log_event import CANCELLATION_READ_BY_OWNER, FLEET_LOADED, JOB_READ_BY_OWNER
from ..message import Message
from ..ownership import RowCommitted, ShardAcquired, ShardLost
from .fleet_state import (
    CancelArrived,
    ClocksRead,
    FleetState,
    FleetTick,
    Job,
    JobArrived,
    PassDue,
    ProgressArrived,
    ReportRemoved,
    TableReady,
)
from .fleet_write import flush, remove_ended, write_counts
from .plan import Decision, Evacuate, Move, Place, Preempt
from .planner import plan
from .policy import PolicyChanged
from .report_flow import (
    drop_silent_workers,
    lose_runs,
    settle_workers,
    take_report,
)
from .rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    REPORT_TABLE,
)
from .snapshot import take_snapshot
from .unit import WAITING
from .unit_action import unit_chart
from .unit_flow import (
    add_occurrence,
    cancel,
    evacuate,
    move,
    occurrences_of,
    place,
    preempt,
    restore_unit,
    settle,
)
from .watch import StopWatching, WatchTables
from .worker import ReportArrived, WorkerState

PASS_DELAY = 0.005
"""Seconds in which changes gather before the queue is looked at."""

OCCURRENCE_MARGIN = 0.05
"""Seconds after its due time at which an occurrence may start; clocks differ."""

PAUSE_LIMIT = 1.0
"""Seconds between two ticks after which the process counts as paused."""

PASS_TIMER = "fleet-pass"
LOADED_TABLES = (JOB_TABLE, PROGRESS_TABLE, REPORT_TABLE)


def new_fleet_state(catalogue: ChartCatalogue, horizon: float) -> FleetState:
    """Return the state of an entry that owns nothing; horizon is in seconds."""
    return FleetState(unit_chart=unit_chart(catalogue), horizon=horizon)


def decide(message: Message, state: FleetState, now: float) -> list[Command]:
    """Return the commands that a message to the scheduler causes."""
    commands = take(message, state, now)
    if not state.active:
        return commands
    return [*commands, *flush(state), *_arm_pass(state)]


@singledispatch
def take(message: Message, state: FleetState, now: float) -> list[Command]:
    """Apply one message to the state."""
    raise UnhandledMessageError(
        f"the scheduler does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@take.register
def _(message: ShardAcquired, state: FleetState, now: float) -> list[Command]:
    _forget(state)
    state.owning = True
    state.epoch = message.epoch
    state.loading = set(LOADED_TABLES)
    return [WatchTables(watched=(JOB_TABLE, REPORT_TABLE), read=(PROGRESS_TABLE,))]


@take.register
def _(message: ShardLost, state: FleetState, now: float) -> list[Command]:
    _forget(state)
    state.owning = False
    return [StopWatching()]


@take.register
def _(message: TableReady, state: FleetState, now: float) -> list[Command]:
    if message.table not in state.loading:
        return []
    state.loading.discard(message.table)
    if message.table == REPORT_TABLE:
        state.reports_since = now
    if state.loading or not state.owning:
        return []
    commands: list[Command] = []
    for job in list(state.jobs.values()):
        commands += _begin_job(job, state, now)
    commands += settle_workers(state, now)
    state.dirty_workers.update(state.workers, state.seated)
    fields = {
        "epoch": state.epoch,
        "jobs": len(state.jobs),
        "workers": len(state.workers),
    }
    return [WriteLog(number=FLEET_LOADED.number, fields=fields), *commands]


@take.register
def _(message: JobArrived, state: FleetState, now: float) -> list[Command]:
    spec = message.spec
    if spec.job_id in state.jobs:
        return []
    job = state.jobs[spec.job_id] = Job(spec=spec, arrived_at=now)
    if not state.active:
        return []
    fields = {
        "job": spec.job_id,
        "queue": spec.queue,
        "organisation": spec.organisation,
        "steps": len(spec.steps),
        "tasks": sum(step.count for step in spec.steps),
        "age": round(now + state.store_offset - spec.accepted_at, 3),
    }
    return [
        WriteLog(number=JOB_READ_BY_OWNER.number, fields=fields),
        *_begin_job(job, state, now),
    ]


@take.register
def _(message: CancelArrived, state: FleetState, now: float) -> list[Command]:
    job = state.jobs.get(message.job_id)
    if job is None or not state.active:
        # A cancellation read before its job counts once the job is there.
        state.early_cancels.add(message.job_id)
        return []
    if job.state.ended:
        return []
    log = WriteLog(
        number=CANCELLATION_READ_BY_OWNER.number, fields={"job": message.job_id}
    )
    return [log, *cancel(job, state, now)]


@take.register
def _(message: ProgressArrived, state: FleetState, now: float) -> list[Command]:
    if state.active:
        return []
    # Jobs and progress are read at the same time; the job's row may come later.
    state.progress[message.job_id] = message.progress
    return []


@take.register
def _(message: ReportArrived, state: FleetState, now: float) -> list[Command]:
    return take_report(message.report, state, now)


@take.register
def _(message: ReportRemoved, state: FleetState, now: float) -> list[Command]:
    worker = state.workers.pop(message.worker_id, None)
    if worker is None:
        return []
    state.dirty_workers.discard(message.worker_id)
    return lose_runs(worker.worker_id, state, now) if state.active else []


@take.register
def _(message: PolicyChanged, state: FleetState, now: float) -> list[Command]:
    if message.policy.version > state.policy.version:
        state.policy = message.policy
    return []


@take.register
def _(message: ClocksRead, state: FleetState, now: float) -> list[Command]:
    state.store_offset = message.store_time - now
    state.wall_offset = message.wall_time - now
    return []


@take.register
def _(message: RowCommitted, state: FleetState, now: float) -> list[Command]:
    return []


@take.register
def _(message: FeedHealth, state: FleetState, now: float) -> list[Command]:
    state.reports_since = now if message.healthy else inf
    return []


@take.register
def _(message: FleetTick, state: FleetState, now: float) -> list[Command]:
    if now - state.ticked_at > PAUSE_LIMIT and state.reports_since < now:
        # The process stood still; reports that came meanwhile are still to be read.
        state.reports_since = now
    state.ticked_at = now
    if not state.active:
        return []
    state.room_changed = True
    commands = drop_silent_workers(state, now)
    for job in list(state.jobs.values()):
        commands += _advance(job, state, now)
    return [*commands, *write_counts(state), *remove_ended(state, now)]


@take.register
def _(message: PassDue, state: FleetState, now: float) -> list[Command]:
    state.pass_due = False
    state.room_changed = False
    if not state.active:
        return []
    commands: list[Command] = []
    for decision in plan(take_snapshot(state, now)):
        commands += apply(decision, state, now)
    return commands


@singledispatch
def apply(decision: Decision, state: FleetState, now: float) -> list[Command]:
    """Carry out one decision of the planner."""
    return []


@apply.register
def _(decision: Place, state: FleetState, now: float) -> list[Command]:
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state != WAITING:
        return []
    commands = place(unit, decision.seats, state, now)
    return commands + settle(state.jobs[unit.unit_id.job_id], state, now)


@apply.register
def _(decision: Preempt, state: FleetState, now: float) -> list[Command]:
    return preempt(decision, state, now)


@apply.register
def _(decision: Evacuate, state: FleetState, now: float) -> list[Command]:
    return evacuate(decision, state, now)


@apply.register
def _(decision: Move, state: FleetState, now: float) -> list[Command]:
    return move(decision, state, now)


def _arm_pass(state: FleetState) -> list[Command]:
    idle = not state.waiting and not _someone_may_move(state)
    if state.pass_due or idle or not state.room_changed:
        return []
    state.pass_due = True
    return [SetTimer(timer_id=PASS_TIMER, delay=PASS_DELAY, message=PassDue())]


def _someone_may_move(state: FleetState) -> bool:
    return any(
        state.seated.get(worker.worker_id)
        for worker in state.workers.values()
        if worker.info.state is WorkerState.DRAINING
        or worker.suspected_until > state.ticked_at
    )


def _begin_job(job: Job, state: FleetState, now: float) -> list[Command]:
    """Create the job's units, or continue those that a former owner recorded."""
    progress = state.progress.pop(job.spec.job_id, None)
    if progress is not None:
        job.state = progress.state
        job.ended_at = progress.ended_at
        for record in progress.units:
            restore_unit(job, record, state, now)
            job.occurrences = max(job.occurrences, record.occurrence + 1)
    cancelled = job.spec.job_id in state.early_cancels
    state.early_cancels.discard(job.spec.job_id)
    if cancelled:
        return cancel(job, state, now)
    return _advance(job, state, now)


def _advance(job: Job, state: FleetState, now: float) -> list[Command]:
    """Begin the occurrences that are due."""
    if job.state.ended:
        return []
    begun = False
    while job.occurrences < occurrences_of(job) and _due(job, state, now):
        add_occurrence(job, state)
        begun = True
    return settle(job, state, now) if begun else []


def _due(job: Job, state: FleetState, now: float) -> bool:
    if not job.spec.repeats:
        return True
    due = job.spec.start_at + job.occurrences * job.spec.repeat_interval
    return now + state.wall_offset >= due + OCCURRENCE_MARGIN


def _forget(state: FleetState) -> None:
    """Drop all that is only true while this entry is the owner."""
    for collection in (
        state.jobs,
        state.workers,
        state.seated,
        state.dirty_jobs,
        state.dirty_workers,
        state.early_cancels,
        state.progress,
        state.queue_counts,
        state.waiting,
    ):
        collection.clear()
    state.loading = set()
    state.pass_due = False
    state.reports_since = inf
