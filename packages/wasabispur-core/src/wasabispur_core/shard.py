"""Combine the ownership and the jobs of one shard."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from . import job_report as job_report, ownership
from .chart import ChartCatalogue
from .command import Command, SetTimer
from .job import decide as decide_job, SchedulerState
from .job_action import job_chart
from .job_queue import JobTick
from .message import Message
from .ownership import Notify, Ownership, OwnershipTick, WriteRow
from .ownership_action import ownership_chart
from .store import RowsRead, RowsUnavailable, StoreResult

TICK_INTERVAL = 0.5
"""Seconds between two looks at leases and queues."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardTick(Message):
    """Tell a shard that time has passed."""


@dataclass(slots=True)
class Shard:
    """Own one entry's view of one shard."""

    ownership: Ownership
    scheduler: SchedulerState


def new_shard(
    entry_id: str,
    shard: str,
    catalogue: ChartCatalogue,
    new_operation_id: Callable[[], str],
) -> Shard:
    """Return a shard that this entry starts to observe."""
    lifecycle = ownership_chart(catalogue).start()
    claim = Ownership(entry_id, shard, lifecycle, new_operation_id)
    return Shard(claim, SchedulerState(shard, job_chart(catalogue), claim.lease))


def decide(message: Message, state: Shard, now: float) -> list[Command]:
    """Return the commands that leave the shard after a message."""
    pending = deque(route(message, state, now))
    leaving: list[Command] = []
    while pending:
        command = pending.popleft()
        inner = follow(command, state, now)
        if inner is None:
            leaving.append(command)
        else:
            pending.extend(inner)
    return leaving


@singledispatch
def route(message: Message, state: Shard, now: float) -> list[Command]:
    """Pass a message to the component of the shard that takes it."""
    return decide_job(message, state.scheduler, now)


@route.register(StoreResult)
@route.register(RowsRead)
@route.register(RowsUnavailable)
def _(
    message: StoreResult | RowsRead | RowsUnavailable, state: Shard, now: float
) -> list[Command]:
    return ownership.decide(message, state.ownership, now)


@route.register
def _(message: ShardTick, state: Shard, now: float) -> list[Command]:
    timer = SetTimer(
        timer_id=f"tick:{state.scheduler.shard}", delay=TICK_INTERVAL, message=message
    )
    claim = ownership.decide(OwnershipTick(), state.ownership, now)
    return [timer, *claim, *decide_job(JobTick(), state.scheduler, now)]


@singledispatch
def follow(command: Command, state: Shard, now: float) -> list[Command] | None:
    """Return what a command causes inside the shard, or None if it leaves it."""
    return None


@follow.register
def _(command: Notify, state: Shard, now: float) -> list[Command]:
    return decide_job(command.message, state.scheduler, now)


@follow.register
def _(command: WriteRow, state: Shard, now: float) -> list[Command]:
    return ownership.decide(command, state.ownership, now)
