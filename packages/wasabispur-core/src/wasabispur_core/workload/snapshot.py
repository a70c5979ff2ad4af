"""Derive the planner's input from the state of the shard's owner.

The snapshot contains the free capacity of the workers, the waiting units with their
objectives, and the running units with the work that a stop would lose.
"""

from __future__ import annotations

from math import inf

from .fleet_state import FleetState, Job, Worker
from .plan import RunningUnit, Snapshot, WaitingUnit, WorkerSnapshot
from .policy import Queue
from .spec import StepSpec
from .unit import (
    ACTIVE,
    CANCELLING,
    ENDED_STATES,
    STOPPING,
    Unit,
    WAITING,
    WorkerRef,
)
from .worker import WorkerState
from .worker_trust import stalled_for, trust_level

REPORT_AGE_LIMIT = 3.0
"""Seconds after its last report for which a worker still gets new runs."""

RACK_WAIT_TIME = 1.5
"""Seconds for which a unit waits for a rack whose workers have yet to report.

Its tasks take several times as long away from their data or over several racks.
"""

DEFAULT_ESTIMATE = 5.0
"""Seconds that a task is assumed to run if its caller gave no estimate."""


OVERRUN_SHARE = 0.25
"""Least remaining time of a run, as a share of the time it has run so far."""


def take_snapshot(state: FleetState, now: float) -> Snapshot:
    """Return the input of a planning pass."""
    covered = _guaranteed_jobs(state)
    waiting: list[WaitingUnit] = []
    running: list[RunningUnit] = []
    for job in state.jobs.values():
        queue = state.queue(job)
        for unit in _open_units(job):
            if unit.state in (ACTIVE, STOPPING, CANCELLING):
                running.append(_running(unit, job, queue, state, covered, now))
            elif unit.state == WAITING and queue and unit.backoff_until <= now:
                waiting.append(_waiting(unit, job, queue, state, covered, now))
    workers = tuple(
        _worker_snapshot(worker, state, now) for worker in state.workers.values()
    )
    return Snapshot(
        now=now, workers=workers, waiting=tuple(waiting), running=tuple(running)
    )


def _open_units(job: Job) -> list[Unit]:
    units = job.units.values()
    if not job.state.ended:
        return list(units)
    return [unit for unit in units if unit.may_be_running]


def run_estimate(step: StepSpec) -> float:
    """Return the estimated run time of one task of the step in seconds."""
    return step.estimate or DEFAULT_ESTIMATE


def critical_path(job: Job, step: int) -> float:
    """Return the estimated seconds of a step and its longest chain of dependents."""
    steps = job.spec.steps
    dependent_paths = [
        critical_path(job, number)
        for number, other in enumerate(steps)
        if step in other.after and number > step
    ]
    return run_estimate(steps[step]) + max(dependent_paths, default=0.0)


def _worker_snapshot(worker: Worker, state: FleetState, now: float) -> WorkerSnapshot:
    info = worker.info
    fresh = worker.confirmed and now - worker.seen_at <= REPORT_AGE_LIMIT
    snapshot = WorkerSnapshot(
        worker_ref=WorkerRef(worker_id=info.worker_id, incarnation=info.incarnation),
        service=info.service,
        data_centre=info.data_centre,
        rack=info.rack,
        labels=info.labels,
        capacity=info.capacity,
        free=info.capacity - state.allocated(worker),
        ready=fresh and info.state is WorkerState.READY,
        awaiting_report=not fresh and info.state is WorkerState.READY,
        trust=trust_level(worker, now),
    )
    for unit_id in state.units_by_worker.get(worker.worker_id, ()):
        unit = state.unit(unit_id)
        if unit is None:
            continue
        step = unit_id[:3]
        count = sum(
            not member.ended and member.worker_ref.worker_id == worker.worker_id
            for member in unit.members
        )
        snapshot.tasks_of_step[step] = snapshot.tasks_of_step.get(step, 0) + count
        snapshot.payload_bytes += len(state.jobs[unit_id.job_id].spec.payload)
    return snapshot


def _waiting(
    unit: Unit,
    job: Job,
    queue: Queue,
    state: FleetState,
    covered: set[str],
    now: float,
) -> WaitingUnit:
    step = unit.step
    chain = critical_path(job, unit.unit_id.step)
    longest_path = max(
        (critical_path(job, number) for number in range(len(job.spec.steps))),
        default=0.0,
    )
    span = queue.stretch * longest_path + queue.target
    return WaitingUnit(
        unit_id=unit.unit_id,
        service=queue.service,
        organisation=job.spec.organisation,
        priority=queue.priority,
        guaranteed=job.spec.job_id in covered,
        demand=unit.demand,
        size=unit.size,
        label=step.label,
        data_rack=step.data_rack,
        same_rack=step.same_rack and step.gang,
        tasks_per_worker=step.tasks_per_worker,
        payload_bytes=len(job.spec.payload),
        ready_at=unit.ready_at,
        objective=_objective_start(unit, job, state) + span,
        target_span=span,
        remaining=chain,
        avoided_workers=frozenset(unit.avoided_workers),
        failed_on=frozenset(unit.failed_on),
        waits_for_rack=now - unit.ready_at < RACK_WAIT_TIME,
        attempts_left=queue.max_attempts - unit.failures,
    )


def _running(
    unit: Unit,
    job: Job,
    queue: Queue | None,
    state: FleetState,
    covered: set[str],
    now: float,
) -> RunningUnit:
    placement = tuple(member.worker_ref for member in unit.members if not member.ended)
    begun = min((member.started_at for member in unit.members), default=now)
    stalled = stalled_for(unit)
    worked = 0.0 if unit.step.checkpointing else now - begun - stalled
    priority = queue.priority if queue else 0
    return RunningUnit(
        unit_id=unit.unit_id,
        priority=priority,
        organisation=job.spec.organisation,
        guaranteed=job.spec.job_id in covered,
        demand=unit.demand,
        placement=placement,
        lost_work=worked * len(placement) * unit.step.demand.weight,
        stopping=unit.state != ACTIVE,
        preemptions=unit.preemptions,
        ends_in=_ends_in(unit, now - begun, now),
        checkpointing=unit.step.checkpointing,
        stalled_for=stalled,
        leaves_in=min(
            (_leaves_in(worker_ref, state, now) for worker_ref in placement),
            default=inf,
        ),
    )


def _ends_in(unit: Unit, elapsed: float, now: float) -> float:
    """Return the seconds until the last run of the unit ends.

    Uses the observed rates if they are known for all runs, otherwise the estimate.
    """
    known = [
        member.progress.remaining(now) for member in unit.members if not member.ended
    ]
    remaining_times = [remaining for remaining in known if remaining is not None]
    if not remaining_times or len(remaining_times) < len(known):
        return _estimated_remaining(unit.step, elapsed)
    return max(remaining_times)


def _estimated_remaining(step: StepSpec, elapsed: float) -> float:
    """Return the remaining seconds by the estimate, which may be far too low."""
    return max(run_estimate(step) - elapsed, OVERRUN_SHARE * elapsed)


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


def _guaranteed_jobs(state: FleetState) -> set[str]:
    """Return the ids of the urgent jobs that their organisation's guarantee covers.

    A guarantee covers whole jobs in the order of their acceptance, as long as their
    total demand does not exceed the guaranteed accelerators.
    """
    needed: dict[str, int] = {}
    covered: set[str] = set()
    for job in sorted(state.jobs.values(), key=lambda job: job.spec.accepted_at):
        queue = state.queue(job)
        if queue is None or queue.priority != 0 or job.state.ended:
            continue
        name = job.spec.organisation
        total = needed.get(name, 0) + _accelerators_needed(job)
        if total <= _guarantee(name, state):
            needed[name] = total
            covered.add(job.spec.job_id)
    return covered


def _accelerators_needed(job: Job) -> int:
    """Return the maximum number of accelerators that the job needs at a time."""
    by_occurrence: dict[int, dict[int, int]] = {}
    for unit in job.units.values():
        if unit.state in ENDED_STATES:
            continue
        steps = by_occurrence.setdefault(unit.unit_id.occurrence, {})
        step = unit.unit_id.step
        need = unit.size * unit.demand.accelerators
        steps[step] = steps.get(step, 0) + need
    return sum(max(steps.values()) for steps in by_occurrence.values())


def _guarantee(organisation: str, state: FleetState) -> int:
    known = state.policy.organisations.get(organisation)
    return known.guaranteed_accelerators if known else 0
