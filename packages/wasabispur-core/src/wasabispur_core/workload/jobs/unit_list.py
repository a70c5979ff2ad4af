"""Sort the open units by whether they run, wait, or are kept from the planner.

A unit whose turn has come and that is in none of the lists is never placed. The owner
logs the lists while a unit waits, and the tests check them after each step of time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from ...command import Command, WriteLog
from ...log_event import UNITS_LISTED
from ..owner.fleet_state import FleetState
from ..planning.allocation_log import log_allocation
from .job import Job
from .occurrence import unit_count, UNPLACED_UNITS_LIMIT
from .unit import ACTIVE, CANCELLING, ENDED_STATES, STOPPING, Unit, UnitId, WAITING

LIST_INTERVAL = 1.0
"""Seconds between two lines with the lists, and wait above which they are logged."""


class UnitList(StrEnum):
    """Define where a unit of a job that has not ended stands.

    OFFERED: the planner decides on it in each pass. CHANGED: the next pass offers it.
    BACKOFF: a worker has refused it a moment ago. UNKNOWN_END: a former run may have
    been its last attempt, and its worker has yet to report how it ended. NO_TERMS: the
    job's queue has never been known. HELD: the job's stored progress can't be read.
    NOT_CREATED: it is created once others of its step or job have been placed or
    completed. UNLISTED: it is in no other list, which is a fault.
    """

    RUNNING = "running"
    OFFERED = "offered"
    CHANGED = "changed"
    BACKOFF = "backoff"
    UNKNOWN_END = "unknown_end"
    NO_TERMS = "no_terms"
    HELD = "held"
    NOT_CREATED = "not_created"
    UNLISTED = "unlisted"


@dataclass(slots=True, kw_only=True)
class UnitCounts:
    """Count the units by list, with the longest wait of each list in seconds.

    unlisted names some of the units in no list.
    """

    counts: Counter[UnitList] = field(default_factory=Counter)
    longest: dict[UnitList, float] = field(default_factory=dict)
    unlisted: list[str] = field(default_factory=list)

    def add(self, where: UnitList, name: str, waited: float, count: int = 1) -> None:
        """Count units with the longest of their waits."""
        self.counts[where] += count
        self.longest[where] = max(self.longest.get(where, 0.0), waited)
        if where is UnitList.UNLISTED and len(self.unlisted) < 3:
            self.unlisted.append(name)

    @property
    def longest_wait(self) -> float:
        """Return the longest wait in seconds of a unit that doesn't run."""
        return max(
            (
                waited
                for where, waited in self.longest.items()
                if where is not UnitList.RUNNING
            ),
            default=0.0,
        )


def count_units(state: FleetState, now: float) -> UnitCounts:
    """Return how many units of the jobs that have not ended are in each list."""
    found = UnitCounts()
    for job in state.jobs.values():
        if job.state.ended:
            continue
        if job.held:
            found.add(UnitList.HELD, job.spec.job_id, now - job.arrived_at)
            continue
        _count_known(job, state, now, found)
        for where, unit_id, count in _units_to_create(job):
            found.add(where, _name(unit_id), 0.0, count)
    return found


def _count_known(job: Job, state: FleetState, now: float, found: UnitCounts) -> None:
    """Count the units of a job that exist.

    Most units are as the last pass saw them; the lists of the others take longer.
    """
    view = state.view
    unchanged = view.waiting.keys() if not view.policy_changed else frozenset()
    offered, first_ready = 0, now
    for unit_id, unit in job.units.items():
        if (
            unit_id in unchanged
            and unit_id in state.waiting
            and unit.lifecycle.state == WAITING
        ):
            offered += 1
            first_ready = min(first_ready, unit.ready_at)
            continue
        where = list_of(unit, job, state)
        if where is not None:
            waited = 0.0 if where is UnitList.RUNNING else now - unit.ready_at
            found.add(where, _name(unit_id), waited)
    if offered:
        found.add(UnitList.OFFERED, job.spec.job_id, now - first_ready, offered)


def list_of(unit: Unit, job: Job, state: FleetState) -> UnitList | None:
    """Return the list of a unit, or None if it has ended."""
    if unit.state in ENDED_STATES:
        return None
    if unit.state in (ACTIVE, STOPPING, CANCELLING) and unit.may_be_running:
        return UnitList.RUNNING
    if unit.state != WAITING or unit.unit_id not in state.waiting:
        return UnitList.UNLISTED
    terms = state.terms(job)
    if terms is None:
        return UnitList.NO_TERMS
    if unit.unit_id in state.view.waiting:
        return UnitList.OFFERED
    if unit.unit_id in state.view.changed_units or state.view.policy_changed:
        return UnitList.CHANGED
    if unit.must_learn_ends(terms.max_attempts):
        return UnitList.UNKNOWN_END
    if unit.unit_id in state.view.aging_units:
        return UnitList.BACKOFF
    return UnitList.UNLISTED


def _units_to_create(job: Job) -> Iterator[tuple[UnitList, UnitId, int]]:
    """Yield the numbers of units that do not exist, of the steps that have begun."""
    steps = [
        step
        for occurrence in job.open_occurrences.values()
        for step in occurrence.steps.values()
    ]
    complete = len(job.units) == sum(one.created - one.completed for one in steps)
    existing = Counter(() if complete else [unit_id[1:3] for unit_id in job.units])
    unfilled = set(job.unfilled)
    for number, occurrence in job.open_occurrences.items():
        for step, step_state in occurrence.steps.items():
            unit_id = UnitId(job.spec.job_id, number, step, step_state.created)
            lacking = step_state.created - step_state.completed
            lacking -= existing[number, step]
            if lacking and not complete:
                yield UnitList.UNLISTED, unit_id, lacking
            remaining = unit_count(job.spec.steps[step]) - step_state.created
            if not remaining:
                continue
            limited = step_state.unplaced >= UNPLACED_UNITS_LIMIT
            known = limited or (number, step) in unfilled
            where = UnitList.NOT_CREATED if known else UnitList.UNLISTED
            yield where, unit_id, remaining


def log_lists(state: FleetState, now: float) -> list[Command]:
    """Log the lists while a unit waits, at most once in the interval."""
    if now - state.units_listed_at < LIST_INTERVAL:
        return []
    state.units_listed_at = now
    found = count_units(state, now)
    if found.longest_wait < LIST_INTERVAL and not found.unlisted:
        return []
    fields: dict[str, object] = {where.value: found.counts[where] for where in UnitList}
    fields |= {
        f"{where.value}_longest": round(waited, 1)
        for where, waited in found.longest.items()
        if waited
    }
    fields["unlisted_units"] = found.unlisted
    log = WriteLog(number=UNITS_LISTED.number, fields=fields)
    return [log, *log_allocation(state, now)]


def _name(unit_id: UnitId) -> str:
    return ".".join(map(str, unit_id))
