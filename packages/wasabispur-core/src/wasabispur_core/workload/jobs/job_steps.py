"""Follow the occurrences and steps of a job through the completion of its units."""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch

from ...message import Message
from ..owner.fleet_state import FleetState
from ..rows import unit_page_key
from .job import Job
from .occurrence import Occurrence, page_count, page_of, PageId, StepState, unit_count
from .unit import RunEnded, Unit, UnitPlaced, UnknownEndLearned


def begin_occurrence(job: Job, number: int) -> None:
    """Begin an occurrence with the steps that depend on no other."""
    job.open_occurrences[number] = Occurrence()
    begin_steps(job, number, job.graph.initial)


def begin_steps(job: Job, number: int, steps: Iterable[int]) -> None:
    """Begin steps of an occurrence, whose units can be created from now on."""
    occurrence = job.open_occurrences[number]
    for step in steps:
        occurrence.steps[step] = StepState()
        job.unfilled.append((number, step))


def ready_steps(job: Job, number: int, candidates: Iterable[int]) -> list[int]:
    """Return the candidates that may begin, and have not."""
    occurrence = job.open_occurrences[number]
    return [
        step
        for step in candidates
        if step not in occurrence.steps
        and job.graph.required[step] <= occurrence.completed_steps
    ]


def complete_unit(unit: Unit, job: Job, state: FleetState) -> None:
    """Drop a completed unit, and begin the steps that waited for its step."""
    number, step, position = unit.unit_id[1:]
    del job.units[unit.unit_id]
    occurrence = job.open_occurrences[number]
    occurrence.steps[step].complete(position)
    if occurrence.steps[step].completed == unit_count(job.spec.steps[step]):
        complete_step(job, number, step, state)


def complete_step(job: Job, number: int, step: int, state: FleetState) -> None:
    """Record that a step is completed, and maybe its occurrence with it."""
    occurrence = job.open_occurrences[number]
    occurrence.completed_steps.add(step)
    begin_steps(job, number, ready_steps(job, number, job.graph.dependents[step]))
    close_if_completed(job, number, state)


def close_if_completed(job: Job, number: int, state: FleetState) -> None:
    """Drop an occurrence, and its pages, once all of its steps are completed."""
    occurrence = job.open_occurrences[number]
    if len(occurrence.completed_steps) < len(job.spec.steps):
        return
    del job.open_occurrences[number]
    state.view.guarantees_changed = True
    for step_number, step in enumerate(job.spec.steps):
        job.waits.pop((number, step_number), None)
        for page_number in range(page_count(step)):
            drop_page(PageId(number, step_number, page_number), job, state)


def drop_page(page: PageId, job: Job, state: FleetState) -> None:
    """Remove the row of a page, or leave it unwritten."""
    job.rows.dirty_pages.discard(page)
    if page in job.rows.pages:
        job.rows.pages.discard(page)
        state.obsolete_rows.append(unit_page_key(job.spec.job_id, page))


def pages_of(unit: Unit) -> list[PageId]:
    """Return all pages with parts of a unit."""
    _, occurrence, step, position = unit.unit_id
    if not unit.step.gang:
        return [page_of(occurrence, step, position)]
    numbers = range(page_count(unit.step))
    return [PageId(occurrence, step, number) for number in numbers]


@singledispatch
def changed_pages(message: Message, unit: Unit) -> list[PageId]:
    """Return the pages with what a message to the unit changes."""
    return [page_of(*unit.unit_id[1:])]


@changed_pages.register
def _(message: UnitPlaced, unit: Unit) -> list[PageId]:
    return pages_of(unit)


@changed_pages.register
def _(message: RunEnded, unit: Unit) -> list[PageId]:
    return _pages_of_member(unit, message.index)


@changed_pages.register
def _(message: UnknownEndLearned, unit: Unit) -> list[PageId]:
    return _pages_of_member(unit, message.end.index)


def _pages_of_member(unit: Unit, index: int) -> list[PageId]:
    _, occurrence, step, position = unit.unit_id
    return [page_of(occurrence, step, position), page_of(occurrence, step, index)]
