"""Define what a waiting unit prefers, and how it is placed without that.

A preference differs from a constraint in that it may be dropped: a task away from the
rack of its data takes several times as long, but it runs.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch

from .plan import WaitingUnit
from .unit_placement import tried_in_vain


@dataclass(frozen=True, slots=True)
class Preference:
    """Define the base of a unit's preferences for workers."""


@dataclass(frozen=True, slots=True)
class DataRack(Preference):
    """Prefer the workers in the rack of the unit's data."""


@dataclass(frozen=True, slots=True)
class SingleRack(Preference):
    """Prefer workers that are all in one rack."""


@dataclass(frozen=True, slots=True)
class Caution(Preference):
    """Define the base of preferences that save the unit's attempts."""


@dataclass(frozen=True, slots=True)
class OtherWorkers(Caution):
    """Prefer workers on which no run of the unit has failed."""


@dataclass(frozen=True, slots=True)
class TrustedWorkers(Caution):
    """Prefer workers that are not on trial, but for one unit with attempts left."""


@dataclass(frozen=True, slots=True)
class HealthyWorkers(Preference):
    """Prefer workers whose health is not in doubt, but for single tasks on trial.

    A unit that would fit without that waits before it is placed.
    """


@dataclass(frozen=True, slots=True)
class AcceptingWorkers(Caution):
    """Prefer workers that have not refused the unit several times in succession."""


@dataclass(frozen=True, slots=True)
class UnsuspectedWorkers(Caution):
    """Prefer workers that are not suspected, whatever runs there."""


def preferences(
    unit: WaitingUnit, doubts: bool = False, suspicions: bool = False
) -> list[Preference]:
    """Return the unit's preferences in the order in which they are dropped.

    doubts is set if the health of some workers is in doubt, and suspicions if some are
    suspected. Preferences that save
    attempts come last: a run away from its rack only takes longer, and a worker that
    refuses uses up no attempt.
    """
    found: list[Preference] = []
    if unit.data_rack:
        found.append(DataRack())
    if unit.same_rack and unit.size > 1:
        found.append(SingleRack())
    if unit.refused_by:
        found.append(AcceptingWorkers())
    if tried_in_vain(unit):
        found.append(OtherWorkers())
    if doubts and not unit.accepts_doubt:
        found.append(HealthyWorkers())
    if not unit.accepts_trial:
        found.append(TrustedWorkers())
    if suspicions and not unit.accepts_suspicion:
        found.append(UnsuspectedWorkers())
    return found


@singledispatch
def drop(preference: Preference, unit: WaitingUnit) -> WaitingUnit:
    """Return the unit without one of its preferences."""
    raise TypeError(f"{type(preference).__name__} is no preference; register drop()")


@drop.register
def _(preference: DataRack, unit: WaitingUnit) -> WaitingUnit:
    return replace(unit, data_rack="", waits_for_rack=False, relaxed=True)


@drop.register
def _(preference: SingleRack, unit: WaitingUnit) -> WaitingUnit:
    return replace(unit, same_rack=False, waits_for_rack=False, relaxed=True)


@drop.register
def _(preference: OtherWorkers, unit: WaitingUnit) -> WaitingUnit:
    # The workers on which the unit failed are still used last.
    avoided = unit.avoided_workers | unit.failed_on
    return replace(unit, failed_on=frozenset(), avoided_workers=avoided)


@drop.register
def _(preference: TrustedWorkers, unit: WaitingUnit) -> WaitingUnit:
    return replace(unit, accepts_trial=True)


@drop.register
def _(preference: UnsuspectedWorkers, unit: WaitingUnit) -> WaitingUnit:
    return replace(unit, accepts_suspicion=True)


@drop.register
def _(preference: HealthyWorkers, unit: WaitingUnit) -> WaitingUnit:
    return replace(unit, accepts_doubt=True)


@drop.register
def _(preference: AcceptingWorkers, unit: WaitingUnit) -> WaitingUnit:
    avoided = unit.avoided_workers | unit.refused_by
    return replace(unit, refused_by=frozenset(), avoided_workers=avoided)


def relaxed_units(
    unit: WaitingUnit, doubts: bool = False, suspicions: bool = False
) -> list[WaitingUnit]:
    """Return the unit with one preference less after the other."""
    relaxed: list[WaitingUnit] = []
    for preference in preferences(unit, doubts, suspicions):
        unit = drop(preference, unit)
        relaxed.append(unit)
    return relaxed
