"""Decide whether a new job is accepted or rejected by the load of the fleet.

The decision handles overload by callers who compete for too little room: a job that is
expected to end after it has lost all value only makes others late. Whatever is unknown
counts in favour of the job.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from zlib import crc32

from ..jobs.spec import QueueTerms, StepSpec
from ..jobs.step_graph import StepGraph
from ..planning.waiting_order import LATENESS_FACTOR_LIMIT
from .load_row import FleetLoad, LevelLoad, ServiceLoad
from .work import NO_WORK, Work, work_of

OVERLOAD = "overload"
"""Cause of a rejection, in the log and in the metric of rejections."""

LEAST_RETRY_AFTER = 1.0
LONGEST_RETRY_AFTER = 60.0
"""Bounds in seconds of the time after which a rejected caller may retry."""

CHECKSUM_COUNT = 2**32

DECLARED_LIMIT = 4.0
"""Multiple of the upper quartile up to which an estimate lengthens an objective.

Estimates are off by up to 90%. Without a limit, a caller could avoid any rejection by
declaring long tasks.
"""

EQUAL_WEIGHTS: Mapping[str, float] = MappingProxyType({})


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe a new job.

    guaranteed is the number of accelerators that its organisation is guaranteed. A
    delayed job starts at a later time, or repeatedly.
    """

    job_id: str
    queue: str
    organisation: str
    terms: QueueTerms
    steps: tuple[StepSpec, ...]
    guaranteed: int = 0
    delayed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Describe why a job is rejected; times are in seconds.

    ends_in is the least time after which the job is expected to end, and worthless_in
    the time after which it has no value. drained_in is the time until the work ahead of
    it is done. own is the time that the whole fleet takes for the organisation's own
    work, share the part of the fleet that is due to it, and load_age the age of the
    figures.
    """

    ends_in: float
    worthless_in: float
    drained_in: float
    own: float
    share: float
    load_age: float
    retry_after: float
    cause: str = OVERLOAD


@dataclass(frozen=True, slots=True, kw_only=True)
class JobNeed:
    """Describe what a job needs at least, and when it has no value; in seconds.

    path is the expected time of its longest chain of steps.
    """

    work: Work
    path: float
    worthless_in: float


@dataclass(slots=True)
class Competition:
    """Describe the work that competes with a job of one organisation.

    urgent is the work of more urgent priorities, own the organisation's work of the
    job's priority, and others that of the other organisations.
    """

    service: ServiceLoad
    organisation: str
    weights: Mapping[str, float]
    urgent: Work = NO_WORK
    own: Work = NO_WORK
    own_urgent: Work = NO_WORK
    others: dict[str, Work] = field(default_factory=dict)

    def add(self, level: LevelLoad, priority: int) -> None:
        """Add the work of a priority, if it is as urgent as the job's or more."""
        mine = level.work.get(self.organisation, NO_WORK)
        if level.priority == priority:
            self.own = self.own.plus(mine)
            for name, work in level.work.items():
                if name != self.organisation:
                    self.others[name] = self.others.get(name, NO_WORK).plus(work)
        elif level.priority < priority:
            self.own_urgent = self.own_urgent.plus(mine)
            for work in (*level.work.values(), level.worthless):
                self.urgent = self.urgent.plus(work)

    def seconds(self, added: Work = NO_WORK) -> float:
        """Return the seconds until the organisation's work and some more are done.

        Others get as much of the fleet as the organisation, by weight and dominant
        resource, while they have work.
        """
        capacity = self.service.capacity
        own = self.own.plus(added)
        limit = own.seconds(capacity) / self._weight(self.organisation)
        total = self.urgent.plus(own)
        for name, work in self.others.items():
            need = work.seconds(capacity)
            if need:
                total = total.plus(work, min(1.0, limit * self._weight(name) / need))
        return total.seconds(capacity)

    def total_seconds(self) -> float:
        """Return the seconds until all work of these priorities is done."""
        total = self.urgent.plus(self.own)
        for work in self.others.values():
            total = total.plus(work)
        return total.seconds(self.service.capacity)

    def own_seconds(self, added: Work) -> float:
        """Return the seconds that the whole fleet takes for the organisation's work."""
        own = self.own.plus(self.own_urgent).plus(added)
        return own.seconds(self.service.capacity)

    def share(self) -> float:
        """Return the organisation's share among those with work of the priority."""
        weight = self._weight(self.organisation)
        return weight / (weight + sum(map(self._weight, self.others)))

    def _weight(self, organisation: str) -> float:
        return self.weights.get(organisation, 1.0)


def find_rejection(
    job: Candidate,
    load: FleetLoad,
    age: float,
    weights: Mapping[str, float] = EQUAL_WEIGHTS,
) -> Rejection | None:
    """Return why a job is rejected, or None if it is accepted.

    age is that of the load in seconds, and weights are those of the organisations, one
    by default.
    """
    service = next((s for s in load.services if s.service == job.terms.service), None)
    times = load.run_times.get(job.queue)
    if service is None or times is None or not _has_known_end(job):
        return None
    if not service.levels or not any(service.capacity):
        return None
    need = _need(job, times)
    competition = Competition(service, job.organisation, weights)
    needs_gang = any(step.gang for step in job.steps)
    for level in service.levels:
        # Single tasks run in the room that is too small for the gangs before them.
        if needs_gang or not level.gang:
            competition.add(level, job.terms.priority)
    starts_in = max(competition.seconds() - age, 0.0)
    done_in = competition.seconds(need.work) - age
    ends_in = max(starts_in + need.path, done_in)
    own, share = competition.own_seconds(need.work), competition.share()
    if ends_in <= need.worthless_in or own <= share * need.worthless_in:
        return None
    if _guarantee_serves(job, need, service, age):
        return None
    drained_in = max(competition.total_seconds() - age, 0.0)
    return Rejection(
        ends_in=ends_in,
        worthless_in=need.worthless_in,
        drained_in=drained_in,
        own=own,
        share=share,
        load_age=age,
        retry_after=_retry_after(job.job_id, ends_in - need.worthless_in, drained_in),
    )


def _has_known_end(job: Candidate) -> bool:
    """Return whether a job starts now, and has an end that work ahead would delay."""
    lasting = any(step.long_running or step.filling for step in job.steps)
    return not (job.delayed or lasting)


def _need(job: Candidate, times: tuple[float, float]) -> JobNeed:
    """Return what a job needs, with the quartiles of its queue's run times.

    Its work counts as short and its objective as long, as estimates may be wrong.
    """
    lower, upper = times
    graph = StepGraph(job.steps)
    low = [
        min(step.estimate, lower) if step.estimate > 0.0 else lower
        for step in job.steps
    ]
    high = [
        min(max(step.estimate, upper), DECLARED_LIMIT * upper) for step in job.steps
    ]
    work = NO_WORK
    for step, seconds in zip(job.steps, low, strict=True):
        work = work.plus(work_of(step.reserved, seconds), step.count)
    longest = max(graph.critical_paths_of(high), default=0.0)
    objective = job.terms.stretch * longest + job.terms.target
    return JobNeed(
        work=work,
        path=max(graph.critical_paths_of(low), default=0.0),
        worthless_in=LATENESS_FACTOR_LIMIT * objective,
    )


def _guarantee_serves(
    job: Candidate, need: JobNeed, service: ServiceLoad, age: float
) -> bool:
    """Return whether the organisation's guarantee can serve an urgent job in time.

    The whole fleet may have worked on the organisation's jobs since the load was read.
    """
    wanted = max(
        (step.count * step.demand.accelerators for step in job.steps), default=0
    )
    if job.terms.priority or wanted > job.guaranteed:
        return False
    if not wanted:
        # A guarantee covers jobs without accelerators whatever its size.
        return True
    levels = (one for one in service.levels if one.priority == job.terms.priority)
    queued = sum(
        level.work.get(job.organisation, NO_WORK).accelerators for level in levels
    )
    left = max(queued - age * service.capacity.accelerators, 0.0)
    return left / job.guaranteed + need.path <= need.worthless_in


def _retry_after(job_id: str, acceptable_in: float, drained_in: float) -> float:
    """Return when to retry, spread by the job's id over the time of the backlog."""
    first = min(max(acceptable_in, LEAST_RETRY_AFTER), LONGEST_RETRY_AFTER)
    last = min(max(drained_in, first), LONGEST_RETRY_AFTER)
    return first + (last - first) * crc32(job_id.encode()) / CHECKSUM_COUNT
