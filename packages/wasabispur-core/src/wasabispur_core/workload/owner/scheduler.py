"""Handle the messages to the scheduler, which decides where tasks run.

Every entry instance has a scheduler, but only the owner of the shard decides. After it
has acquired the shard, it reads all jobs, their progress, the reports on workers and
the operators' configuration before its first decision.
"""

from __future__ import annotations

from math import inf

from ...chart import ChartCatalogue
from ...command import Command
from ...message import Message
from ...sharding.ownership import (
    OwnershipConfirmed,
    RowCommitted,
    ShardAcquired,
    ShardLease,
    ShardLost,
)
from ...storage.feed import FeedHealth
from ..admission.load_publication import write_load
from ..admission.published_load import PublishedLoad
from ..jobs.job_lifecycle import learn_terms
from ..jobs.job_start import start_due_occurrences
from ..jobs.stop_times import DEFAULT_STOP_TIMES, StopTimes
from ..jobs.unit_action import unit_chart
from ..jobs.unit_list import log_lists
from ..planning.plan import DEFAULT_REMOTE_FACTOR
from ..planning.share_log import log_shares
from ..planning.snapshot import take_snapshot
from ..policies.cordon import cordon_chart, CordonsChanged, OwnerCordons
from ..policies.policy import PolicyChanged, PolicyHealth
from ..rows import JOB_TABLE, PROGRESS_TABLE, REPORT_TABLE, UNIT_TABLE
from ..run_times.run_time import EstimateUse, RunTimeModel
from ..run_times.run_time_row import ESTIMATE_TABLE
from ..run_times.speed_update import follow_speeds
from ..run_times.worker_speed import WorkerSpeeds
from ..watch import StopWatching, WatchTables
from ..workers.cordon_control import apply_cordons, follow_cordons
from ..workers.fleet_health import check_fleet
from ..workers.lost_run import end_broken_gangs, remove_silent_workers
from . import row_arrival as row_arrival
from .decision_effect import apply_decision
from .fleet_handler import handle_message
from .fleet_message import (
    ClocksRead,
    FleetTick,
    PlanningPassDue,
    TableReady,
)
from .fleet_reset import reset_state
from .fleet_restore import continue_takeover
from .fleet_state import FleetState
from .fleet_write import (
    flush,
    remove_ended,
    remove_obsolete_rows,
    write_queue_counts,
    write_run_times,
)
from .pass_schedule import schedule_pass
from .planning_lease import PlanningLease
from .takeover import begin_takeover, log_first_pass, log_pending

PAUSE_LIMIT = 1.0
"""Seconds between two ticks above which the process is assumed to have paused."""

LOADED_TABLES = (JOB_TABLE, PROGRESS_TABLE, UNIT_TABLE, REPORT_TABLE)
POLICY = "policy"
"""Name of the configuration among what an owner has yet to read."""


def new_fleet_state(
    catalogue: ChartCatalogue,
    horizon: float,
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
    estimate_use: EstimateUse = EstimateUse.ALL,
    stop_times: StopTimes = DEFAULT_STOP_TIMES,
    lease: ShardLease | None = None,
    publishes_load: bool = False,
    fair_shares: bool = False,
    worker_speeds: bool = True,
) -> FleetState:
    """Return the state of an entry that is not the owner.

    horizon is the lease horizon in seconds, and remote_factor how many times as long a
    task takes away from the rack that it prefers. estimate_use states for what learned
    run times are used, and stop_times how long stops take. lease is that of the shard.
    publishes_load is set if entries accept jobs by the load, and fair_shares if units
    wait by the shares of their organisations. With worker_speeds, the owner learns how
    fast workers are, if it learns run times.
    """
    return FleetState(
        unit_chart=unit_chart(catalogue),
        cordons=OwnerCordons(chart=cordon_chart(catalogue)),
        horizon=horizon,
        remote_factor=remote_factor,
        run_times=RunTimeModel(use=estimate_use),
        worker_speeds=WorkerSpeeds(
            enabled=worker_speeds and estimate_use is not EstimateUse.NOTHING
        ),
        stop_times=stop_times,
        planning_lease=PlanningLease(lease),
        published_load=PublishedLoad(enabled=publishes_load),
        fair_shares=fair_shares,
    )


def decide(message: Message, state: FleetState, now: float) -> list[Command]:
    """Handle one message, write changed rows and schedule a planning pass."""
    state.message_number += 1
    commands = handle_message(message, state, now)
    if not state.active:
        return commands
    return [*commands, *flush(state), *schedule_pass(state)]


@handle_message.register
def _(message: ShardAcquired, state: FleetState, now: float) -> list[Command]:
    reset_state(state)
    state.owning = True
    state.epoch = message.epoch
    state.takeover = begin_takeover(message.epoch, message.claim_time, now)
    state.loading = set(LOADED_TABLES)
    if not state.policy.version:
        # Without the queues, one failure would end a job, whatever its attempts.
        state.loading.add(POLICY)
    read: tuple[str, ...] = (PROGRESS_TABLE, UNIT_TABLE)
    if state.run_times.use is not EstimateUse.NOTHING:
        # The takeover doesn't wait for what only improves decisions.
        read = (*read, ESTIMATE_TABLE)
    return [WatchTables(watched=(JOB_TABLE, REPORT_TABLE), read=read)]


@handle_message.register
def _(message: ShardLost, state: FleetState, now: float) -> list[Command]:
    reset_state(state)
    state.owning = False
    return [StopWatching()]


@handle_message.register
def _(message: TableReady, state: FleetState, now: float) -> list[Command]:
    if message.table == ESTIMATE_TABLE:
        state.run_times.stored_known = True
        state.worker_speeds.stored_known = True
    if message.table == JOB_TABLE:
        state.pending_cancellations.drop_removed()
    if message.table not in state.loading:
        return []
    state.loading.discard(message.table)
    if message.table == REPORT_TABLE:
        state.reports_since = now
    return continue_takeover(message.table, message.rows, state, now)


@handle_message.register
def _(message: PolicyChanged, state: FleetState, now: float) -> list[Command]:
    if message.policy.version <= state.policy.version:
        return []
    state.policy = message.policy
    state.view.policy_changed = True
    state.view.guarantees_changed = True
    state.capacity_changed = True
    if POLICY in state.loading:
        state.loading.discard(POLICY)
        return continue_takeover(POLICY, 1, state, now)
    commands: list[Command] = []
    for job in state.jobs.values():
        commands += learn_terms(job, state, now)
    return commands


@handle_message.register
def _(message: CordonsChanged, state: FleetState, now: float) -> list[Command]:
    return apply_cordons(message, state, now)


@handle_message.register
def _(message: PolicyHealth, state: FleetState, now: float) -> list[Command]:
    # Accepted jobs go on under the last known configuration.
    return []


@handle_message.register
def _(message: ClocksRead, state: FleetState, now: float) -> list[Command]:
    state.store_offset = message.store_time - now
    state.wall_offset = message.wall_time - now
    return []


@handle_message.register
def _(message: RowCommitted, state: FleetState, now: float) -> list[Command]:
    return []


@handle_message.register
def _(message: FeedHealth, state: FleetState, now: float) -> list[Command]:
    state.reports_since = now if message.healthy else inf
    return []


@handle_message.register
def _(message: FleetTick, state: FleetState, now: float) -> list[Command]:
    if now - state.ticked_at > PAUSE_LIMIT and state.reports_since < now:
        # The process was paused; reports written in the meantime are still unread.
        state.reports_since = now
    state.ticked_at = now
    if not state.active:
        if state.takeover is None:
            return []
        return [*log_pending(state.takeover, state.loading, now)]
    state.capacity_changed = True
    commands = remove_obsolete_rows(state)
    commands += [*remove_silent_workers(state, now), *end_broken_gangs(state, now)]
    for job in list(state.jobs.values()):
        commands += start_due_occurrences(job, state, now)
    commands += [
        *follow_cordons(state, now),
        *check_fleet(state, now),
        *log_lists(state, now),
        *write_queue_counts(state),
        *write_run_times(state, now),
        *follow_speeds(state, now),
        *write_load(state, now),
        *log_shares(state, now),
        *state.pending_cancellations.remove_due(state.epoch, now),
    ]
    return [*commands, *remove_ended(state, now)]


@handle_message.register
def _(message: PlanningPassDue, state: FleetState, now: float) -> list[Command]:
    state.pass_scheduled = False
    if not state.active:
        state.capacity_changed = False
        return []
    if not state.planning_lease.may_plan(now):
        return state.planning_lease.hold_back(now)
    return _make_pass(state, now)


@handle_message.register
def _(message: OwnershipConfirmed, state: FleetState, now: float) -> list[Command]:
    if not state.planning_lease.release() or not state.active:
        return []
    return _make_pass(state, now)


def _make_pass(state: FleetState, now: float) -> list[Command]:
    """Decide about the waiting units, and apply the decisions."""
    state.capacity_changed = False
    commands: list[Command] = []
    if state.takeover is not None:
        commands += log_first_pass(state.takeover, len(state.waiting), now)
    for decision in state.planner.decide(take_snapshot(state, now)):
        commands += apply_decision(decision, state, now)
    state.capacity_changed |= state.planner.unfinished
    return commands
