"""Derive the planner's input from the state of the shard's owner.

The snapshot contains the free capacity of the workers, the waiting units with their
objectives, and the running units with the work that a stop would lose.
"""

from __future__ import annotations

from math import inf

from ..jobs.guaranteed_jobs import guaranteed_jobs
from ..jobs.job import Job
from ..jobs.spec import QueueTerms
from ..jobs.unit import ACTIVE, CANCELLING, STOPPING, Unit, UnitId, WAITING, WorkerRef
from ..owner.fleet_state import FleetState
from ..run_times.remote_run import remote_factor
from ..run_times.run_forecast import (
    job_forecast,
    objective_path,
    observed_remaining,
    refresh_forecasts,
    saved_work,
    step_forecast,
)
from ..run_times.run_time_fit import Forecast
from ..run_times.speed_sample import slowest_factor
from ..workers.orders import order_size, RUN_ORDER_BYTES, UNKNOWN_RUNS_LIMIT
from ..workers.reported_worker import Worker
from ..workers.worker import WorkerState
from ..workers.worker_trust import stalled_for, trust_level
from .plan import ON_TRIAL, RunningUnit, Snapshot, WaitingUnit, WorkerSnapshot
from .unit_placement import has_job
from .use_update import configure_use, update_use

REPORT_AGE_LIMIT = 3.0
"""Seconds after its last report for which a worker still gets new runs."""

RACK_WAIT_TIME = 1.5
"""Seconds for which a unit waits for a rack whose workers have yet to report.

Its tasks take several times as long away from their data or over several racks.
"""

REPORT_WAIT_TIME = 1.2
"""Seconds in which all workers report once after a takeover or an outage."""

ISOLATION_WAIT_TIME = 2.5
"""Seconds for which a dangerous unit waits for workers that run nothing else.

In a fleet that is never idle it would wait forever.
"""

ISOLATION_TIME = 2.0
"""Seconds of a dangerous unit's run during which its workers get no other unit."""


REFUSAL_LIMIT = 2
"""Runs of a unit that a worker refuses in succession before others are preferred.

The first refusal often comes from a report that was behind.
"""


def take_snapshot(state: FleetState, now: float) -> Snapshot:
    """Return the input of a planning pass, derived from what changed since the last."""
    view = state.view
    refresh_forecasts(state, now)
    changed_workers = _update_workers(state, now)
    _update_guarantees(state)
    if state.fair_shares and (changed_workers is None or view.policy_changed):
        configure_use(state)
    if view.policy_changed:
        view.policy_changed = False
        for job in state.jobs.values():
            view.changed_units.update(job.units)
    cheaper: set[str] = set()
    for unit_id in view.changed_units | view.aging_units:
        known = view.running.get(unit_id)
        cheaper |= _update_unit(unit_id, state, now)
        if state.fair_shares:
            update_use(view.use, known, view.running.get(unit_id))
    view.changed_units.clear()
    return Snapshot(
        now=now,
        workers=tuple(view.workers.values()),
        waiting=tuple(view.waiting.values()),
        running=tuple(view.running.values()),
        changed=None if changed_workers is None else changed_workers | cheaper,
        settling=now - state.reports_since < REPORT_WAIT_TIME
        and any(worker.awaiting_report for worker in view.workers.values()),
        remote_factor=state.remote_factor,
        use=view.use if state.fair_shares else None,
    )


def _update_workers(state: FleetState, now: float) -> frozenset[str] | None:
    """Derive the changed workers, and return their ids.

    Returns None if a worker was added or removed, or may host other units than before.
    """
    view = state.view
    same_hosts = True
    for worker_id in view.workers.keys() - state.workers.keys():
        del view.workers[worker_id]
        same_hosts = False
    changed: set[str] = set()
    for worker_id, worker in state.workers.items():
        known = view.workers.get(worker_id)
        if (
            known is not None
            and worker_id not in view.changed_workers
            and known.ready is is_ready(worker, state, now)
            and known.cold is is_cold(worker, now)
            and known.trust is trust_level(worker, now)
            and not (known.closed and not _is_closed(worker, state, now))
        ):
            continue
        derived = view.workers[worker_id] = _worker_snapshot(worker, state, now)
        changed.add(worker_id)
        same_hosts &= known is not None and _hosting(known) == _hosting(derived)
        if worker.info.state is WorkerState.DRAINING:
            view.changed_units.update(state.units_by_worker.get(worker_id, ()))
    view.changed_workers.clear()
    return frozenset(changed) if same_hosts else None


def _hosting(worker: WorkerSnapshot) -> tuple[object, ...]:
    """Return what decides which units the worker may host, loaded or not."""
    return (
        worker.service,
        worker.rack,
        worker.labels,
        worker.capacity,
        worker.ready,
        worker.awaiting_report,
        worker.cordoned,
        worker.trust,
        # A worker on trial hosts a unit only while it has no other one.
        worker.trust in ON_TRIAL and bool(worker.tasks_of_step),
    )


def _update_guarantees(state: FleetState) -> None:
    """Derive the guaranteed jobs, and mark the units of those that changed."""
    view = state.view
    if not view.guarantees_changed:
        return
    view.guarantees_changed = False
    covered = guaranteed_jobs(state)
    for job_id in covered ^ view.covered:
        job = state.jobs.get(job_id)
        if job is not None:
            view.changed_units.update(job.units)
    view.covered = covered


def _update_unit(unit_id: UnitId, state: FleetState, now: float) -> set[str]:
    """Derive a unit's entry, and return the workers on which it now costs less."""
    view = state.view
    view.aging_units.discard(unit_id)
    view.waiting.pop(unit_id, None)
    known = view.running.pop(unit_id, None)
    unit = state.unit(unit_id)
    if unit is None:
        return set()
    job = state.jobs[unit_id.job_id]
    terms = state.terms(job)
    if unit.state == WAITING and terms and not job.state.ended:
        if unit.must_learn_ends(terms.max_attempts):
            # The unit is marked as changed once the worker lists an end or is removed.
            return set()
        _update_waiting(unit, job, terms, state, now)
    elif unit.state in (ACTIVE, STOPPING, CANCELLING) and unit.may_be_running:
        running = view.running[unit_id] = _running(unit, job, terms, state, now)
        if running.stalled_for or running.leaves_in < inf:
            view.aging_units.add(unit_id)
        if known is not None and _costs_less(running, known, now):
            return {worker_ref.worker_id for worker_ref in running.placement}
    return set()


def _update_waiting(
    unit: Unit, job: Job, terms: QueueTerms, state: FleetState, now: float
) -> None:
    view = state.view
    if unit.backoff_until > now:
        view.aging_units.add(unit.unit_id)
        return
    waiting = view.waiting[unit.unit_id] = _waiting(unit, job, terms, state, now)
    if waiting.waits_for_rack or waiting.isolated or waiting.excluded:
        view.aging_units.add(unit.unit_id)


def _costs_less(running: RunningUnit, known: RunningUnit, now: float) -> bool:
    """Return whether stopping a unit costs less than the last snapshot showed."""
    if known.guaranteed and not running.guaranteed:
        return True
    return running.lost_work_at(now) < known.lost_work_at(now)


def is_ready(worker: Worker, state: FleetState, now: float) -> bool:
    """Return whether a worker accepts new runs and has reported recently."""
    ready = worker.info.state is WorkerState.READY and not state.is_cordoned(worker)
    return ready and is_fresh(worker, now)


def is_cold(worker: Worker, now: float) -> bool:
    """Return whether a worker is slow because it has just started."""
    return now < worker.cold_until


def is_fresh(worker: Worker, now: float) -> bool:
    """Return whether a worker has reported to this owner recently."""
    return worker.confirmed and now - worker.seen_at <= REPORT_AGE_LIMIT


def _worker_snapshot(worker: Worker, state: FleetState, now: float) -> WorkerSnapshot:
    info = worker.info
    ready, cordoned = is_ready(worker, state, now), state.is_cordoned(worker)
    snapshot = WorkerSnapshot(
        worker_ref=WorkerRef(worker_id=info.worker_id, incarnation=info.incarnation),
        service=info.service,
        data_centre=info.data_centre,
        rack=info.rack,
        labels=info.labels,
        capacity=info.capacity,
        free=info.capacity - state.allocated(worker),
        ready=ready,
        awaiting_report=not (ready or cordoned) and info.state is WorkerState.READY,
        cordoned=cordoned,
        cold=is_cold(worker, now),
        cold_until=worker.cold_until,
        trust=trust_level(worker, now),
        closed=_is_closed(worker, state, now),
        run_time_factor=state.worker_speeds.factor(info.worker_id),
    )
    unknown_runs = min(len(worker.unknown_runs), UNKNOWN_RUNS_LIMIT)
    snapshot.orders_bytes = unknown_runs * RUN_ORDER_BYTES
    for unit_id in state.units_by_worker.get(worker.worker_id, ()):
        unit = state.unit(unit_id)
        if unit is None:
            continue
        step = unit_id[:3]
        count = len(unit.open_members_on(worker.worker_id))
        if not has_job(snapshot, unit_id.job_id):
            snapshot.orders_bytes += state.jobs[unit_id.job_id].payload_bytes
        snapshot.orders_bytes += count * order_size(unit.start_checkpoint)
        snapshot.tasks_of_step[step] = snapshot.tasks_of_step.get(step, 0) + count
        snapshot.suspects += unit.crashes.most > 0
    return snapshot


def _is_closed(worker: Worker, state: FleetState, now: float) -> bool:
    """Return whether a dangerous unit has just begun on the worker."""
    return any(
        unit.crashes.dangerous
        and now - min(one.started_at for one in unit.members) < ISOLATION_TIME
        for unit in state.units_on(worker.worker_id)
    )


def _waiting(
    unit: Unit, job: Job, terms: QueueTerms, state: FleetState, now: float
) -> WaitingUnit:
    step = unit.step
    span = terms.stretch * objective_path(job, state) + terms.target
    forecast = job_forecast(job, state)
    saved = saved_work(unit) * forecast.steps[unit.unit_id.step].median
    needs_rack = bool(step.data_rack) or (step.same_rack and unit.size > 1)
    return WaitingUnit(
        unit_id=unit.unit_id,
        service=terms.service,
        organisation=job.spec.organisation,
        priority=terms.priority,
        guaranteed=job.spec.job_id in state.view.covered,
        demand=unit.demand,
        size=unit.size,
        label=step.label,
        data_rack=step.data_rack,
        same_rack=step.same_rack and step.gang,
        tasks_per_worker=step.tasks_per_worker,
        payload_bytes=job.payload_bytes,
        order_bytes=order_size(unit.checkpoint),
        ready_at=unit.ready_at,
        objective=_objective_start(unit, job, state) + span,
        target_span=span,
        remaining=forecast.paths[unit.unit_id.step] - saved,
        run_time=forecast.steps[unit.unit_id.step].median - saved,
        long_running=step.long_running,
        avoided_workers=frozenset(unit.avoided_workers),
        failed_on=frozenset(unit.failed_on),
        last_crash_on=unit.last_crash_on,
        excluded=_excluded(unit, now) if unit.crashed_on else frozenset(),
        refused_by=_refused_by(unit),
        waits_for_rack=needs_rack and now - unit.ready_at < RACK_WAIT_TIME,
        attempts_left=terms.max_attempts - unit.failures,
        suspected=unit.crashes.most > 0,
        dangerous=unit.crashes.dangerous,
        isolated=unit.crashes.dangerous and now - unit.ready_at < ISOLATION_WAIT_TIME,
    )


def _excluded(unit: Unit, now: float) -> frozenset[str]:
    """Return the workers that crashed under the unit a moment ago."""
    return frozenset(
        worker_id for worker_id, until in unit.crashed_on.items() if now < until
    )


def _refused_by(unit: Unit) -> frozenset[str]:
    return frozenset(
        worker_id
        for worker_id, count in unit.refusals.items()
        if count >= REFUSAL_LIMIT
    )


def _running(
    unit: Unit, job: Job, terms: QueueTerms | None, state: FleetState, now: float
) -> RunningUnit:
    placement = tuple(member.worker_ref for member in unit.members if not member.ended)
    begun = min((member.started_at for member in unit.members), default=now)
    stalled = stalled_for(unit)
    weight = len(placement) * unit.step.demand.weight
    saves_work = unit.step.checkpointing
    worked = now - begun - stalled
    priority = terms.priority if terms else 0
    forecast = step_forecast(job, unit.unit_id.step, state)
    slowness = slowest_factor(unit, state)
    if slowness != 1.0:
        forecast = Forecast(forecast.median * slowness, forecast.spread)
    rest = observed_remaining(unit, now)
    return RunningUnit(
        unit_id=unit.unit_id,
        service=terms.service if terms else "",
        priority=priority,
        organisation=job.spec.organisation,
        guaranteed=job.spec.job_id in state.view.covered,
        demand=unit.demand,
        placement=placement,
        lost_work=worked * weight if stalled and not saves_work else 0.0,
        loss_rate=0.0 if stalled or saves_work else weight,
        measured_at=begun,
        stopping=unit.state != ACTIVE,
        stopping_since=unit.state_since,
        preemptions=unit.preemptions,
        ends_in=forecast.remaining_median(now - begun) if rest is None else rest,
        observed_end=unit.observed_end,
        run_time=_run_time(unit, forecast, state),
        run_time_spread=forecast.spread,
        checkpointing=unit.step.checkpointing,
        stalled_for=stalled,
        leaves_in=min(
            (_leaves_in(worker_ref, state, now) for worker_ref in placement),
            default=inf,
        ),
    )


def _run_time(unit: Unit, forecast: Forecast, state: FleetState) -> float:
    """Return the expected time of the current run, also away from its rack."""
    if unit.step.long_running:
        return inf
    return forecast.median * remote_factor(unit, state)


def _leaves_in(worker_ref: WorkerRef, state: FleetState, now: float) -> float:
    """Return the seconds until a draining worker leaves, or infinity."""
    worker = state.workers.get(worker_ref.worker_id)
    if worker is None or worker.info.state is not WorkerState.DRAINING:
        return inf
    return max(worker.info.remaining - (now - worker.seen_at), 0.0)


def _objective_start(unit: Unit, job: Job, state: FleetState) -> float:
    """Return the start of the job's objective, on this process's clock."""
    if job.spec.repeats:
        due = job.spec.start_at + unit.unit_id.occurrence * job.spec.repeat_interval
        return due - state.wall_offset
    return job.spec.accepted_at - state.store_offset
