"""Keep the shares of organisations during one planning pass."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from .organisation_share import EQUAL_SHARE, Level, LevelShares, OrganisationUse
from .plan import RunningUnit, WaitingUnit

Protected = frozenset[tuple[Level, str]]
"""Organisations whose units at a level others may not preempt for their own gain."""


class PassShares:
    """Represent the shares during one planning pass, with the units that it places.

    protected contains the organisations that used less than their fair share when the
    pass began, by level, and released those that did so only in the last pass.
    """

    def __init__(
        self,
        use: OrganisationUse,
        waiting: Iterable[WaitingUnit],
        last_protected: Protected,
    ) -> None:
        self.use = use
        self.levels = level_shares(use, waiting)
        self.protected: Protected = frozenset(
            (level, name)
            for level, shares in self.levels.items()
            for name in use.shares.get(level, ())
            if -shares.excess(name) > EQUAL_SHARE * shares.fair_share(name)
        )
        self.released = last_protected - self.protected

    def may_stop(self, victim: RunningUnit) -> bool:
        """Return whether an organisation over its share may preempt a unit."""
        return (victim.level, victim.organisation) not in self.protected

    def newly_exposed(self, running: Iterable[RunningUnit]) -> set[str]:
        """Return the workers on which more units may be preempted than before."""
        if not self.released:
            return set()
        names = {name for _, name in self.released}
        return {
            worker_ref.worker_id
            for unit in running
            if unit.organisation in names
            and (unit.level, unit.organisation) in self.released
            for worker_ref in unit.placement
        }

    def is_over(self, unit: WaitingUnit) -> bool:
        """Return whether the unit's organisation uses more than its fair share.

        A difference of less than a tenth of the share, or than the unit's demand, does
        not count.
        """
        shares = self.levels[unit.level]
        excess = shares.excess(unit.organisation)
        if excess <= EQUAL_SHARE * shares.fair_share(unit.organisation):
            return False
        return excess > self._share_of(unit)

    def limited(self, unit: WaitingUnit) -> WaitingUnit:
        """Return the unit, marked if its share limits which units it may preempt."""
        if unit.guaranteed or not self.is_over(unit):
            return unit
        return replace(unit, over_share=True)

    def place(self, unit: WaitingUnit) -> None:
        """Count a unit that the pass has placed, or for which it keeps room."""
        share = self._share_of(unit)
        self.levels[unit.level].add(unit.organisation, share)

    def share(self, unit: WaitingUnit) -> tuple[float, float]:
        """Return the share of the unit's organisation, and its fair share."""
        shares = self.levels[unit.level]
        name = unit.organisation
        return shares.shares[name], shares.fair_share(name)

    def _share_of(self, unit: WaitingUnit) -> float:
        return self.use.dominant_share(unit.level, unit.demand.times(unit.size))


def level_shares(
    use: OrganisationUse, waiting: Iterable[WaitingUnit]
) -> dict[Level, LevelShares]:
    """Return the shares at each level with placed or waiting units."""
    names: dict[Level, set[str]] = {level: set() for level in use.shares}
    for unit in waiting:
        names.setdefault(unit.level, set()).add(unit.organisation)
    return {
        level: LevelShares.of(use, level, waiting_names)
        for level, waiting_names in names.items()
    }
