"""Follow how far the steps of a job's occurrences have come.

The units of a step (gangs or single tasks) are created when the step may start, and
dropped when they are completed, so that a job of many tasks takes little memory. Their
records are stored in pages, because the store limits the size of a row.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .spec import StepSpec

PAGE_UNITS = 64
"""Units, and members of one gang, whose records share a row."""

OPEN_UNITS_LIMIT = 10_000
"""Units of one job that exist at a time, more than a fleet runs tasks."""

UNPLACED_UNITS_LIMIT = 250
"""Units of one step that exist and have never been placed.

A step for which there is no room takes nothing from the limit of the others.
"""

OPEN_OCCURRENCES_LIMIT = 1_000
"""Occurrences of one job that are in progress at a time."""

NEW_UNITS_LIMIT = 200
NEW_OCCURRENCES_LIMIT = 50
"""Units of a job that are created, and occurrences that begin, with one message.

The others follow with the next tick, so that the owner's event loop is not held up.
"""


class PageId(NamedTuple):
    """Identify a page of the units of one step of an occurrence."""

    occurrence: int
    step: int
    number: int


def page_of(occurrence: int, step: int, position: int) -> PageId:
    """Return the page with the unit, or the member of a gang, at a position."""
    return PageId(occurrence, step, position // PAGE_UNITS)


def unit_count(step: StepSpec) -> int:
    """Return the number of units of the step; a gang is a single one."""
    return 1 if step.gang else step.count


def page_count(step: StepSpec) -> int:
    """Return the number of pages for the units or members of the step."""
    return -(-step.count // PAGE_UNITS)


@dataclass(slots=True, kw_only=True)
class StepState:
    """Represent one step of an occurrence that has begun.

    created is the position up to which units were created, unplaced the number of them
    that have never run, completed the number of completed ones, and masks their
    positions by page, as in UnitPage.
    """

    created: int = 0
    unplaced: int = 0
    completed: int = 0
    masks: dict[int, int] = field(default_factory=dict)

    def complete(self, position: int) -> None:
        """Record that the unit at a position is completed."""
        number, bit = divmod(position, PAGE_UNITS)
        self.masks[number] = self.masks.get(number, 0) | 1 << bit
        self.completed += 1

    def is_completed(self, position: int) -> bool:
        """Return whether the unit at a position is completed."""
        number, bit = divmod(position, PAGE_UNITS)
        return bool(self.masks.get(number, 0) >> bit & 1)


@dataclass(slots=True, kw_only=True)
class Occurrence:
    """Represent one occurrence of a job: the steps that have begun or are completed."""

    steps: dict[int, StepState] = field(default_factory=dict)
    completed_steps: set[int] = field(default_factory=set)


def open_tasks(step: StepSpec, begun: StepState | None) -> int:
    """Return the number of tasks of a step that are not completed."""
    completed = begun.completed if begun else 0
    if step.gang:
        return 0 if completed else step.count
    return step.count - completed
