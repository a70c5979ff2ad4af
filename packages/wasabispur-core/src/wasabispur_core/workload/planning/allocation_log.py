"""Log which share of a service's capacity the owner counts as used, and why.

While a unit waits, this distinguishes a full service from one whose resources the owner
takes for used: by runs on silent workers, by ends that have yet to be reported, by
workers that get no units.
"""

from __future__ import annotations

from collections.abc import Iterator

from ...command import Command, WriteLog
from ...log_event import CAPACITY_ALLOCATED
from ..jobs.spec import NO_RESOURCES, Resources
from ..jobs.unit import ACTIVE, Unit, UnitId
from ..owner.fleet_state import FleetState
from ..policies.cordon import CORDONED
from ..workers.reported_worker import Worker
from ..workers.worker import WorkerState
from .plan import IN_DOUBT, Trust
from .snapshot import is_fresh

Shares = dict[str, list[int]]
"""Thousandths of a core, MB and accelerators by cause, as log records have them."""

ACTIVE_RUNS = "active"
ORDERED_RUNS = "ordered"
STOPPING_RUNS = "stopping"
UNKNOWN_RUNS = "unknown"
SILENT = "silent"
NOT_READY = "not_ready"
CLOSED = "closed"
NO_TRUST = "no_trust"
TRIAL = "trial"
DOUBTFUL = "doubtful"
FREE = "free"


def log_allocation(state: FleetState, now: float) -> list[Command]:
    """Log the capacity by cause of the service for which a unit waits longest."""
    waiting = [unit for unit in map(state.unit, state.waiting) if unit is not None]
    first = min(waiting, key=lambda unit: unit.ready_at, default=None)
    terms = state.terms(state.jobs[first.unit_id.job_id]) if first is not None else None
    if terms is None:
        return []
    allocated, unused, capacity = allocation(terms.service, state, now)
    fields: dict[str, object] = {
        "service": terms.service,
        "capacity": capacity,
        "allocated": allocated,
        "unused": unused,
        "reserved": _reserved(terms.service, state),
    }
    return [WriteLog(number=CAPACITY_ALLOCATED.number, fields=fields)]


def allocation(
    service: str, state: FleetState, now: float
) -> tuple[Shares, Shares, list[int]]:
    """Return the allocated and the unused resources by cause, and the capacity.

    The first two sum up to the capacity.
    """
    allocated: Shares = {}
    unused: Shares = {}
    capacity: Shares = {}
    for worker in state.workers.values():
        if worker.info.service != service:
            continue
        unused_cause = _unused_cause(worker, state, now)
        _add(capacity, service, worker.info.capacity, 1)
        _add(unused, unused_cause, worker.info.capacity, 1)
        for cause, demand, count in _allocated_on(worker, state, now):
            _add(allocated, cause, demand, count)
            _add(unused, unused_cause, demand, -count)
    return allocated, unused, capacity.get(service, [0, 0, 0])


def _allocated_on(
    worker: Worker, state: FleetState, now: float
) -> Iterator[tuple[str, Resources, int]]:
    """Yield the demands and numbers of a worker's runs, with the cause of each."""
    cause = _worker_cause(worker, state, now)
    for unit in state.units_on(worker.worker_id):
        members = unit.open_members_on(worker.worker_id)
        if cause or unit.state != ACTIVE:
            yield cause or STOPPING_RUNS, unit.demand, len(members)
            continue
        listed = sum(one.progress.listed_at is not None for one in members)
        if listed:
            yield ACTIVE_RUNS, unit.demand, listed
        if listed < len(members):
            yield ORDERED_RUNS, unit.demand, len(members) - listed
    unknown = state.allocated_to_unknown_runs(worker)
    if unknown != NO_RESOURCES:
        yield cause or UNKNOWN_RUNS, unknown, 1


def _worker_cause(worker: Worker, state: FleetState, now: float) -> str:
    """Return why a worker gets no units whatever is free there, or an empty string."""
    if worker.info.state is not WorkerState.READY:
        return NOT_READY
    if state.is_cordoned(worker):
        return CORDONED
    return "" if is_fresh(worker, now) else SILENT


def _unused_cause(worker: Worker, state: FleetState, now: float) -> str:
    """Return why a worker's unused resources are not free, or that they are."""
    cause = _worker_cause(worker, state, now)
    known = state.view.workers.get(worker.worker_id)
    if cause or known is None:
        return cause or SILENT
    if known.closed:
        return CLOSED
    causes = {Trust.NONE: NO_TRUST, Trust.TRIAL: TRIAL} | dict.fromkeys(
        IN_DOUBT, DOUBTFUL
    )
    return causes.get(known.trust, FREE)


def _reserved(service: str, state: FleetState) -> list[int]:
    """Return the resources that are kept for units while others stop for them."""
    reserved: Shares = {}
    for unit_id, workers in state.planner.reservations.items():
        unit = _unit_of_service(unit_id, service, state)
        if unit is not None:
            _add(reserved, service, unit.demand, len(workers))
    return reserved.get(service, [0, 0, 0])


def _unit_of_service(unit_id: UnitId, service: str, state: FleetState) -> Unit | None:
    unit = state.unit(unit_id)
    if unit is None:
        return None
    terms = state.terms(state.jobs[unit_id.job_id])
    return unit if terms is not None and terms.service == service else None


def _add(shares: Shares, cause: str, demand: Resources, count: int) -> None:
    share = shares.setdefault(cause, [0, 0, 0])
    share[0] += count * demand.cpu
    share[1] += count * demand.memory
    share[2] += count * demand.accelerators
