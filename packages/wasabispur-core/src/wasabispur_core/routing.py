"""Choose the endpoint that gets a request."""

from __future__ import annotations

from collections.abc import Iterable, Set
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
    leaving: bool = False

    @property
    def load(self) -> float:
        """Return the share of slots that this entry's requests fill."""
        return self.in_flight / max(self.slots, 1)

    @property
    def can_take(self) -> bool:
        """Return whether the endpoint may get another request."""
        return not self.leaving and self.load < 1


def choose_endpoint(
    endpoints: Iterable[EndpointView],
    service: str,
    region: str,
    random: Random,
    avoided: Set[str] = frozenset(),
) -> EndpointView | None:
    """Return the less loaded of two random endpoints.

    Endpoints that are not avoided go first, then those of the local region.
    """
    serving = [endpoint for endpoint in endpoints if endpoint.service == service]
    free = [endpoint for endpoint in serving if endpoint.can_take]
    fresh = [endpoint for endpoint in free if endpoint.agent_id not in avoided]
    candidates = fresh or free
    local = [endpoint for endpoint in candidates if endpoint.region == region]
    candidates = local or candidates
    if not candidates:
        return None
    sample = random.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda endpoint: endpoint.load)
