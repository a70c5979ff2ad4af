"""Log which share of a service's capacity the owner counts as used, and why.

While a unit waits, this tells a full service from one whose resources the owner takes
for used: by runs on silent workers, by ends that it has yet to learn of, by workers
that get no units.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import CAPACITY_ALLOCATED
from .fleet_state import FleetState, Worker
from .plan import Trust
from .snapshot import is_fresh
from .spec import NO_RESOURCES, Resources
from .unit import ACTIVE, Unit, UnitId
from .worker import WorkerState

Shares = dict[str, Resources]

ACTIVE_RUNS = "active"
ORDERED_RUNS = "ordered"
STOPPING_RUNS = "stopping"
UNKNOWN_RUNS = "unknown"
SILENT = "silent"
NOT_READY = "not_ready"
CLOSED = "closed"
NO_TRUST = "no_trust"
TRIAL = "trial"
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
        "capacity": _amounts(capacity),
        "allocated": {cause: _amounts(used) for cause, used in allocated.items()},
        "unused": {cause: _amounts(left) for cause, left in unused.items()},
        "reserved": _amounts(_reserved(terms.service, state)),
    }
    return [WriteLog(number=CAPACITY_ALLOCATED.number, fields=fields)]


def allocation(
    service: str, state: FleetState, now: float
) -> tuple[Shares, Shares, Resources]:
    """Return the allocated and the unused resources by cause, and the capacity.

    The first two sum up to the capacity.
    """
    allocated: Shares = {}
    unused: Shares = {}
    capacity = NO_RESOURCES
    for worker in state.workers.values():
        if worker.info.service != service:
            continue
        capacity += worker.info.capacity
        used = NO_RESOURCES
        for cause, demand in _allocated_on(worker, state, now):
            _add(allocated, cause, demand)
            used += demand
        _add(unused, _unused_cause(worker, state, now), worker.info.capacity - used)
    return allocated, unused, capacity


def _allocated_on(
    worker: Worker, state: FleetState, now: float
) -> list[tuple[str, Resources]]:
    """Return the demands of the runs on a worker, with the causes to count them."""
    found: list[tuple[str, Resources]] = []
    cause = _worker_cause(worker, now)
    for unit_id in state.units_by_worker.get(worker.worker_id, ()):
        unit = state.unit(unit_id)
        if unit is None:
            continue
        members = unit.open_members_on(worker.worker_id)
        listed = sum(one.progress.listed_at is not None for one in members)
        if cause or unit.state != ACTIVE:
            demand = unit.demand.times(len(members))
            found.append((cause or STOPPING_RUNS, demand))
            continue
        found.append((ACTIVE_RUNS, unit.demand.times(listed)))
        found.append((ORDERED_RUNS, unit.demand.times(len(members) - listed)))
    unknown = state.allocated_to_unknown_runs(worker)
    return [*found, (cause or UNKNOWN_RUNS, unknown)]


def _worker_cause(worker: Worker, now: float) -> str:
    """Return why a worker gets no units whatever is free there, or an empty string."""
    if worker.info.state is not WorkerState.READY:
        return NOT_READY
    return "" if is_fresh(worker, now) else SILENT


def _unused_cause(worker: Worker, state: FleetState, now: float) -> str:
    """Return why a worker's unused resources are not free, or that they are."""
    cause = _worker_cause(worker, now)
    known = state.view.workers.get(worker.worker_id)
    if cause or known is None:
        return cause or SILENT
    if known.closed:
        return CLOSED
    causes = {Trust.NONE: NO_TRUST, Trust.TRIAL: TRIAL}
    return causes.get(known.trust, FREE)


def _reserved(service: str, state: FleetState) -> Resources:
    """Return the resources that are kept for units while others stop for them."""
    reserved = NO_RESOURCES
    for unit_id, workers in state.planner.reservations.items():
        unit = _unit_of_service(unit_id, service, state)
        if unit is not None:
            reserved += unit.demand.times(len(workers))
    return reserved


def _unit_of_service(unit_id: UnitId, service: str, state: FleetState) -> Unit | None:
    unit = state.unit(unit_id)
    if unit is None:
        return None
    terms = state.terms(state.jobs[unit_id.job_id])
    return unit if terms is not None and terms.service == service else None


def _add(shares: Shares, cause: str, amount: Resources) -> None:
    if amount != NO_RESOURCES:
        shares[cause] = shares.get(cause, NO_RESOURCES) + amount


def _amounts(amount: Resources) -> list[int]:
    """Return thousandths of a core, MB and accelerators, as log records have them."""
    return [amount.cpu, amount.memory, amount.accelerators]
