"""Schedule the planning passes of the shard's owner."""

from __future__ import annotations

from ...command import Command, SetTimer
from ..workers.worker import WorkerState
from .fleet_message import PlanningPassDue
from .fleet_state import FleetState

PASS_DELAY = 0.005
"""Seconds by which a planning pass is delayed to combine several changes."""

PASS_TIMER = "fleet-pass"


def schedule_pass(state: FleetState) -> list[Command]:
    """Return the timer of the next pass, if another one may decide otherwise."""
    held_back = state.planning_lease.held_back
    if state.pass_scheduled or held_back or not state.capacity_changed:
        return []
    if not state.waiting and not _relocation_possible(state):
        return []
    state.pass_scheduled = True
    return [SetTimer(timer_id=PASS_TIMER, delay=PASS_DELAY, message=PlanningPassDue())]


def _relocation_possible(state: FleetState) -> bool:
    return any(
        state.units_by_worker.get(worker.worker_id)
        for worker in state.workers.values()
        if worker.info.state is WorkerState.DRAINING
        or worker.suspected_until > state.ticked_at
    )
