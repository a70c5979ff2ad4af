"""Compare what organisations occupy of a service with their fair shares of it.

This addresses an organisation that submits many times as much as the others: within a
priority, its units come after those of organisations that use less than their share.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from ..admission.work import NO_WORK, Work, work_of
from ..jobs.spec import NO_RESOURCES, Resources

EQUAL_SHARE = 0.1
"""Difference, as a part of a fair share, below which shares count as equal.

It prevents that the order alternates with each placement.
"""

DEFAULT_WEIGHT = 1.0
"""Weight of an organisation for which the configuration has none."""


class Level(NamedTuple):
    """Identify the units that compete by share: those of a service and a priority."""

    service: str
    priority: int


@dataclass(slots=True, kw_only=True)
class OrganisationUse:
    """Represent what the placed units of each organisation occupy, by level.

    shares contains the dominant shares of used in the capacities of the services.
    Resources are whole numbers, so that the sums stay exact while units come and go.
    weights contains the weights of organisations for which the configuration has one.
    """

    used: dict[Level, dict[str, Resources]] = field(default_factory=dict)
    shares: dict[Level, dict[str, float]] = field(default_factory=dict)
    capacities: Mapping[str, Work] = field(default_factory=dict)
    weights: Mapping[str, float] = field(default_factory=dict)

    def add(self, level: Level, organisation: str, resources: Resources) -> None:
        """Count resources that an organisation occupies, or releases if negative."""
        used = self.used.setdefault(level, {})
        shares = self.shares.setdefault(level, {})
        total = used.get(organisation, NO_RESOURCES) + resources
        if total == NO_RESOURCES:
            used.pop(organisation, None)
            shares.pop(organisation, None)
        else:
            used[organisation] = total
            shares[organisation] = self.dominant_share(level, total)

    def configure(
        self, capacities: Mapping[str, Work], weights: Mapping[str, float]
    ) -> None:
        """Use other capacities of services, and other weights of organisations."""
        self.capacities, self.weights = capacities, weights
        for level, used in self.used.items():
            self.shares[level] = {
                name: self.dominant_share(level, resources)
                for name, resources in used.items()
            }

    def dominant_share(self, level: Level, resources: Resources) -> float:
        """Return the largest part that resources take of any of the service's capacities.

        A resource of which the service has none is left out.
        """
        capacity = self.capacities.get(level.service, NO_WORK)
        # The work of one second over the capacity: its seconds are the share.
        return work_of(resources).seconds(capacity)

    def weight(self, organisation: str) -> float:
        """Return the weight of an organisation, which is never negative."""
        return max(self.weights.get(organisation, DEFAULT_WEIGHT), 0.0)


@dataclass(slots=True)
class LevelShares:
    """Represent the shares of the organisations that compete at one level.

    shares contains the dominant shares of all that have placed or waiting units.
    """

    shares: dict[str, float]
    weights: dict[str, float]
    total: float
    total_weight: float

    @classmethod
    def of(
        cls, use: OrganisationUse, level: Level, waiting: Iterable[str]
    ) -> LevelShares:
        """Return the shares at a level, with the organisations that have waiting units."""
        shares = dict.fromkeys(waiting, 0.0) | use.shares.get(level, {})
        weights = {name: use.weight(name) for name in shares}
        return cls(shares, weights, sum(shares.values()), sum(weights.values()))

    def fair_share(self, organisation: str) -> float:
        """Return the organisation's part, by weight, of what all of them use.

        It is a part of the present use, not of the capacity, so that nothing is kept
        idle.
        """
        if not self.total_weight:
            # With weights of zero only, all organisations count alike.
            return self.total / len(self.shares)
        return self.total * self.weights[organisation] / self.total_weight

    def excess(self, organisation: str) -> float:
        """Return by how much an organisation uses more than its fair share."""
        return self.shares[organisation] - self.fair_share(organisation)

    def add(self, organisation: str, share: float) -> None:
        """Count a share that an organisation occupies in addition."""
        self.shares[organisation] += share
        self.total += share

    def largest_ratio(self) -> tuple[float, str]:
        """Return the largest ratio of a use to the fair share, and the organisation.

        An organisation without a fair share has no ratio.
        """
        ratios = (
            (share / fair, name)
            for name, share in self.shares.items()
            if (fair := self.fair_share(name))
        )
        return max(ratios, default=(0.0, ""))


@dataclass(slots=True)
class LoggedShares:
    """Remember what the log last told of the shares, and when it was computed."""

    ratio: float = 0.0
    computed_at: float = -inf
