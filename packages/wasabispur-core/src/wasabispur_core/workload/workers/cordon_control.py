"""Apply the operators' cordons at the entry instance that owns the shard.

The planner leaves out the workers of cordoned data centres. This follows each cordon
until all agents there show it, and withdraws orders that they have not carried out.
"""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import CORDON_REQUESTED, CORDON_RUNS, ORDER_WITHDRAWN
from ..jobs.stop_account import begin_stop
from ..jobs.unit import ACTIVE, Unit, unit_name, UnitPreempted
from ..jobs.unit_event import handle_unit_event
from ..jobs.unit_stop import WasteCause
from ..owner.fleet_state import FleetState
from ..planning.snapshot import is_fresh, REPORT_AGE_LIMIT
from ..policies.cordon import (
    Cordon,
    cordon_fields,
    CORDONED,
    CordonRemoved,
    CordonsChanged,
    CordonShown,
)
from .reported_worker import Worker
from .worker import listed_keys

ORDER_WITHDRAWAL_TIME = 2.5
"""Seconds after an order within which a run is listed, if its agent carries it out.

A worker's lists are up to 1 s old, and so is the report on them.
"""

RUNS_LOG_INTERVAL = 2.0
"""Seconds between two log records on the active runs of a cordoned data centre."""


def apply_cordons(
    message: CordonsChanged, state: FleetState, now: float
) -> list[Command]:
    """Apply the set of cordoned data centres that was read last."""
    cordons = state.cordons
    changed = cordons.cordoned ^ message.data_centres
    cordons.cordoned = message.data_centres
    cordons.read_at = {
        name: cordons.read_at.get(name, now) for name in message.data_centres
    }
    for worker in state.workers.values():
        if worker.info.data_centre in changed:
            state.view.changed_workers.add(worker.worker_id)
    state.capacity_changed = True
    return follow_cordons(state, now) if state.active else []


def follow_cordons(state: FleetState, now: float) -> list[Command]:
    """Advance the cordons' state charts, and withdraw orders there."""
    cordons = state.cordons
    commands: list[Command] = []
    for name in sorted(cordons.cordoned - cordons.tracked.keys()):
        cordon = cordons.tracked[name] = Cordon(
            data_centre=name,
            lifecycle=cordons.chart.start(),
            read_at=cordons.read_at.get(name, now),
        )
        _count(cordon, state)
        fields = cordon_fields(cordon, now)
        commands.append(WriteLog(number=CORDON_REQUESTED.number, fields=fields))
    for name, cordon in list(cordons.tracked.items()):
        _count(cordon, state)
        if name not in cordons.cordoned:
            commands += cordon.lifecycle.handle(CordonRemoved(), None, cordon, now)
            del cordons.tracked[name]
            continue
        if not _unshown(name, state, now):
            commands += cordon.lifecycle.handle(CordonShown(), None, cordon, now)
        commands += _log_runs(cordon, now)
        for worker in _workers_in(name, state):
            commands += _withdraw_orders(worker, state, now)
    return commands


def _workers_in(data_centre: str, state: FleetState) -> list[Worker]:
    return [
        one for one in state.workers.values() if one.info.data_centre == data_centre
    ]


def _unshown(data_centre: str, state: FleetState, now: float) -> bool:
    """Return whether a report that is not too old lacks the cordon."""
    return any(
        not worker.cordoned and now - worker.seen_at <= REPORT_AGE_LIMIT
        for worker in _workers_in(data_centre, state)
    )


def _count(cordon: Cordon, state: FleetState) -> None:
    workers = _workers_in(cordon.data_centre, state)
    cordon.workers = len(workers)
    cordon.runs = sum(
        len(unit.open_members_on(worker.worker_id))
        for worker in workers
        for unit in state.units_on(worker.worker_id)
    )


def _log_runs(cordon: Cordon, now: float) -> list[Command]:
    if cordon.runs == cordon.logged_runs or now - cordon.logged_at < RUNS_LOG_INTERVAL:
        return []
    cordon.logged_runs, cordon.logged_at = cordon.runs, now
    return [WriteLog(number=CORDON_RUNS.number, fields=cordon_fields(cordon, now))]


def _withdraw_orders(worker: Worker, state: FleetState, now: float) -> list[Command]:
    """Withdraw the units of which a run there was ordered and is not listed.

    An agent refuses such orders by itself once it has read the cordon. It may be unable
    to read the operators' rows.
    """
    if not is_fresh(worker, now):
        return []
    listed = listed_keys(worker.runs)
    commands: list[Command] = []
    for unit in state.units_on(worker.worker_id):
        if unit.state != ACTIVE or not _is_unstarted(unit, worker, listed, now):
            continue
        begin_stop(unit, WasteCause.CORDONED, state, now)
        handle_unit_event(unit, UnitPreempted(reason=CORDONED), state, now)
        fields = {
            "job": unit.unit_id.job_id,
            "unit": unit_name(unit.unit_id),
            "run": unit.run,
            "worker": worker.worker_id,
        }
        commands.append(WriteLog(number=ORDER_WITHDRAWN.number, fields=fields))
    return commands


def _is_unstarted(
    unit: Unit, worker: Worker, listed: set[tuple[str, int]], now: float
) -> bool:
    return any(
        member.progress.listed_at is None
        and now - member.started_at >= ORDER_WITHDRAWAL_TIME
        and (str(unit.task_id(member.index)), unit.run) not in listed
        for member in unit.open_members_on(worker.worker_id)
    )
