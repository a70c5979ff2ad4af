"""Define the unit of scheduling: a whole gang or a single task.

The entry instance that owns the shard keeps the units and drives each of them through
the unit state chart. A run is one attempt to execute the tasks of a unit.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from math import inf
from operator import attrgetter
from typing import Any, NamedTuple

from ...chart import Lifecycle
from ...message import Message
from ..run_times.run_progress import RunProgress
from ..workers.worker import EndKind
from .crash_history import CrashHistory, NO_CRASHES
from .occurrence import PAGE_UNITS
from .progress import MemberRecord, UnitRecord, UnknownEnd
from .spec import Resources, StepSpec, TaskId
from .unit_stop import UnitStop

BLOCKED = "blocked"
WAITING = "waiting"
ACTIVE = "active"
STOPPING = "stopping"
CANCELLING = "cancelling"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ENDED_STATES = frozenset((COMPLETED, FAILED, CANCELLED))


class UnitId(NamedTuple):
    """Identify a unit; the position of a gang is that of its first task."""

    job_id: str
    occurrence: int
    step: int
    position: int


def unit_name(unit_id: UnitId) -> str:
    """Return the name of a unit within its job, as log records have it."""
    return ".".join(str(part) for part in unit_id[1:])


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRef:
    """Identify one incarnation of a worker."""

    worker_id: str
    incarnation: str


@dataclass(slots=True, kw_only=True)
class UnitMember:
    """Represent one task of a unit in the unit's current run.

    started_at is the time of the order in monotonic seconds. broken is set if the run
    ended because another member had ended.
    """

    index: int
    worker_ref: WorkerRef
    ended: bool = False
    started_at: float = 0.0
    broken: bool = False
    progress: RunProgress = field(default_factory=RunProgress)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitReady(Message):
    """Report that all dependencies of the unit are completed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPlaced(Message):
    """Deliver the workers chosen for the unit, one for each task."""

    placement: tuple[WorkerRef, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPreempted(Message):
    """Request the stop of the unit, so that it is placed again later."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitCancelled(Message):
    """Request the end of the unit, because its job is cancelled or has failed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded(Message):
    """Report that the run of one member ended, and how.

    reason says why the run counts as ended if its worker did not list the end.
    uncertain is set if the run may not have begun.
    """

    index: int
    kind: EndKind
    checkpoint: str = ""
    reason: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownEndLearned(Message):
    """Report how a run ended whose end was unknown so far."""

    end: UnknownEnd
    kind: EndKind


@dataclass(slots=True, kw_only=True)
class Unit:
    """Represent a unit and its current run.

    ready_at is the time since which the unit waits, state_since the time since which it
    is in its state, and backoff_until the time before which it is not placed, all in
    monotonic seconds of the owner. start_checkpoint is
    the checkpoint from which the current run started. run_failed is set once a member
    of the current run has failed. avoided_workers contains the workers that refused or
    lost a run of the unit or on which it stalled, and failed_on those on which it
    failed. crashed_on maps the workers that crashed under it to the time before which
    it is not placed there again, and last_crash_on is the last of them. refusals counts
    the latest runs of the unit that a worker has refused in succession. observed_end is
    the time at which the present run ends at its observed rate, if that is another one
    than expected, otherwise infinite. crashes contains the workers that crashed under
    its tasks, and unknown_ends the runs that ended without it being known how. stop is
    the stop that the owner has decided on. stored_row is the stored record as a
    row value, or None after a change.
    """

    unit_id: UnitId
    step: StepSpec
    lifecycle: Lifecycle
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    start_checkpoint: str = ""
    members: list[UnitMember] = field(default_factory=list)
    members_by_worker: dict[str, list[UnitMember]] = field(default_factory=dict)
    ready_at: float = 0.0
    state_since: float = 0.0
    run_failed: bool = False
    avoided_workers: set[str] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)
    crashed_on: dict[str, float] = field(default_factory=dict)
    last_crash_on: str = ""
    refusals: Counter[str] = field(default_factory=Counter)
    preemptions: int = 0
    backoff_until: float = 0.0
    observed_end: float = inf
    crashes: CrashHistory = NO_CRASHES
    unknown_ends: tuple[UnknownEnd, ...] = ()
    stop: UnitStop | None = None
    stored_row: dict[str, Any] | None = None

    @property
    def state(self) -> str:
        """Return the name of the current state in the unit state chart."""
        return self.lifecycle.state

    @property
    def size(self) -> int:
        """Return the number of tasks."""
        return self.step.count if self.step.gang else 1

    @property
    def demand(self) -> Resources:
        """Return the resources that one task reserves."""
        return self.step.reserved

    @property
    def may_be_running(self) -> bool:
        """Return whether a run of some member is not known to have ended."""
        return any(not member.ended for member in self.members)

    @property
    def most_failures(self) -> int:
        """Return the number of failed attempts if all unknown ends were failures."""
        return self.failures + len({end.run for end in self.unknown_ends})

    def must_learn_ends(self, attempts: int) -> bool:
        """Return whether the unknown ends may have been the last of its attempts."""
        limited = bool(self.unknown_ends) and not self.step.long_running
        return limited and self.most_failures >= attempts

    def set_members(self, members: list[UnitMember]) -> None:
        """Replace the members, which are in the order of their indices."""
        self.members = members
        self.members_by_worker = {}
        for member in members:
            worker_id = member.worker_ref.worker_id
            self.members_by_worker.setdefault(worker_id, []).append(member)

    def member(self, index: int) -> UnitMember | None:
        """Return the member with an index, or None."""
        if not self.members:
            return None
        offset = index - self.members[0].index
        if 0 <= offset < len(self.members) and self.members[offset].index == index:
            return self.members[offset]
        return next((one for one in self.members if one.index == index), None)

    def _members_in(self, positions: range) -> list[UnitMember]:
        """Return the members with indices in a range."""
        first, end = (
            bisect_left(self.members, bound, key=attrgetter("index"))
            for bound in (positions.start, positions.stop)
        )
        return self.members[first:end]

    def open_members_on(self, worker_id: str) -> list[UnitMember]:
        """Return the members on a worker whose runs are not known to have ended."""
        known = self.members_by_worker.get(worker_id, ())
        return [member for member in known if not member.ended]

    def is_open_on(self, worker_id: str) -> bool:
        """Return whether a run on a worker is not known to have ended."""
        known = self.members_by_worker.get(worker_id, ())
        return any(not member.ended for member in known)

    def shows_end_on(self, worker_id: str) -> bool:
        """Return whether the ends of the others show that those on a worker ended.

        A member is broken because another one had ended before. If all that are known
        to have ended are broken, the first to end is one that has yet to be reported.
        """
        ended = [member for member in self.members if member.ended]
        return (
            bool(ended)
            and all(member.broken for member in ended)
            and all(
                member.ended or member.worker_ref.worker_id == worker_id
                for member in self.members
            )
        )

    def crashes_after(self, ended: RunEnded, now: float) -> CrashHistory:
        """Return the history of crashes after the end of one member's run."""
        member = self.member(ended.index)
        if member is None or member.ended:
            return self.crashes
        run_time = now - member.started_at
        if ended.kind is EndKind.CRASHED:
            return self.crashes.after_crash(ended.index, run_time, ended.uncertain)
        return self.crashes.after_run(run_time)

    def crashes_learned(self, learned: UnknownEndLearned) -> CrashHistory:
        """Return the history of crashes once it is known how a former run ended."""
        if learned.kind is not EndKind.CRASHED:
            return self.crashes
        return self.crashes.after_crash(learned.end.index, learned.end.ran)

    def task_id(self, index: int) -> TaskId:
        """Return the id of one of the unit's tasks."""
        return TaskId(
            self.unit_id.job_id, self.unit_id.occurrence, self.unit_id.step, index
        )

    def record(self, store_offset: float, page: int | None = None) -> UnitRecord:
        """Return the stored record of the unit.

        store_offset is the store's clock minus this process's clock in seconds. With a
        page, the record contains the part of a gang whose members that page stores.
        """

        stored, crashes, unknown_ends = self.members, self.crashes, self.unknown_ends
        if page is not None:
            positions = range(page * PAGE_UNITS, (page + 1) * PAGE_UNITS)
            stored = self._members_in(positions)
            unknown_ends = tuple(end for end in unknown_ends if end.index in positions)
            if crashes.workers:
                crashes = crashes.of_positions(positions)
        members = tuple(
            MemberRecord(
                index=member.index,
                worker_id=member.worker_ref.worker_id,
                incarnation=member.worker_ref.incarnation,
                ended=member.ended,
                started_at=round(member.started_at + store_offset, 2),
                broken=member.broken,
            )
            for member in stored
        )
        return UnitRecord(
            occurrence=self.unit_id.occurrence,
            step=self.unit_id.step,
            index=self.unit_id.position,
            state=self.state,
            run=self.run,
            failures=self.failures,
            run_failed=self.run_failed,
            checkpoint=self.checkpoint,
            members=members,
            crashes=crashes,
            unknown_ends=unknown_ends,
            preemptions=self.preemptions,
        )
