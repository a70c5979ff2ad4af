"""Tell which runs take longer because of the racks in which they run."""

from __future__ import annotations

from ..jobs.unit import Unit
from ..owner.fleet_state import FleetState


def remote_factor(unit: Unit, state: FleetState) -> float:
    """Return how many times as long a unit's run takes because of its racks."""
    return state.remote_factor if is_remote(unit, state) else 1.0


def is_remote(unit: Unit, state: FleetState) -> bool:
    """Return whether a unit runs away from its preferred rack, or over several."""
    racks = {
        worker.info.rack
        for member in unit.members
        if (worker := state.workers.get(member.worker_ref.worker_id)) is not None
    }
    wanted = {unit.step.data_rack} if unit.step.data_rack else racks
    spread = unit.step.gang and unit.step.same_rack and len(racks) > 1
    return spread or not racks <= wanted
