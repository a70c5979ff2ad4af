"""Sum up the capacity of the services' usable workers."""

from __future__ import annotations

from ..admission.work import NO_WORK, Work, work_of
from ..owner.fleet_state import FleetState
from .worker import WorkerState

USABLE_STATES = frozenset((WorkerState.READY, WorkerState.UNREACHABLE))
"""States of workers that count as capacity.

One that can't be reached for the moment is lost only once its report is removed.
"""


def service_capacities(state: FleetState) -> dict[str, Work]:
    """Return the capacity by service, without cordoned and draining workers."""
    capacities: dict[str, Work] = {}
    for worker in state.workers.values():
        if worker.info.state in USABLE_STATES and not state.is_cordoned(worker):
            known = capacities.get(worker.info.service, NO_WORK)
            capacities[worker.info.service] = known.plus(work_of(worker.info.capacity))
    return capacities
