"""Apply the decisions of a planning pass to the units of the shard's owner."""

from __future__ import annotations

from functools import singledispatch

from ...command import Command
from ..jobs.job_lifecycle import update_job
from ..jobs.unit import WAITING
from ..jobs.unit_lifecycle import evacuate, move, place, preempt
from ..planning.plan import Decision, Evacuate, Move, Place, Preempt, Wait
from ..planning.wait_log import log_wait
from .fleet_state import FleetState


@singledispatch
def apply_decision(decision: Decision, state: FleetState, now: float) -> list[Command]:
    """Apply one decision of the planner, and return the resulting commands."""
    return []


@apply_decision.register
def _(decision: Place, state: FleetState, now: float) -> list[Command]:
    unit = state.unit(decision.unit_id)
    if unit is None or unit.state != WAITING:
        return []
    commands = place(unit, decision.placement, state, now)
    return commands + update_job(state.jobs[unit.unit_id.job_id], state, now)


@apply_decision.register
def _(decision: Preempt, state: FleetState, now: float) -> list[Command]:
    return preempt(decision, state, now)


@apply_decision.register
def _(decision: Evacuate, state: FleetState, now: float) -> list[Command]:
    return evacuate(decision, state, now)


@apply_decision.register
def _(decision: Wait, state: FleetState, now: float) -> list[Command]:
    return log_wait(decision, state, now)


@apply_decision.register
def _(decision: Move, state: FleetState, now: float) -> list[Command]:
    return move(decision, state, now)
