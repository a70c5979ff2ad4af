"""Choose the endpoint that gets a request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """Hold what an entry knows of one endpoint."""

    agent_id: str
    service: str
    region: str
    slots: int
    in_flight: int = 0

    @property
    def load(self) -> float:
        """Return the share of slots that this entry's requests fill."""
        return self.in_flight / max(self.slots, 1)


def choose_endpoint(
    endpoints: Iterable[EndpointView], service: str, region: str, random: Random
) -> EndpointView | None:
    """Return the less loaded of two random endpoints, local region first."""
    serving = [endpoint for endpoint in endpoints if endpoint.service == service]
    free = [endpoint for endpoint in serving if endpoint.load < 1]
    local = [endpoint for endpoint in free if endpoint.region == region]
    candidates = local or free
    if not candidates:
        return None
    sample = random.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda endpoint: endpoint.load)
