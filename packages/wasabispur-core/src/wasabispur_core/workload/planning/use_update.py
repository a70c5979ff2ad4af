"""Keep what organisations occupy up to date with the planner's view of the fleet."""

from __future__ import annotations

from ..owner.fleet_state import FleetState
from ..workers.service_capacity import service_capacities
from .organisation_share import OrganisationUse
from .plan import RunningUnit


def configure_use(state: FleetState) -> None:
    """Apply the capacities of the services, and the weights of the configuration."""
    weights = {one.name: one.weight for one in state.policy.organisations.values()}
    state.view.use.configure(service_capacities(state), weights)


def update_use(
    use: OrganisationUse, known: RunningUnit | None, running: RunningUnit | None
) -> None:
    """Count what a unit occupies, and no longer what it occupied before."""
    if known is not None and running is not None:
        same_size = len(known.placement) == len(running.placement)
        if same_size and known.level == running.level:
            return
    if known is not None:
        use.add(known.level, known.organisation, known.occupied.times(-1))
    if running is not None:
        use.add(running.level, running.organisation, running.occupied)
