"""Combine the ownership and the scheduler of one shard at an entry instance.

Each entry instance that may own the shard observes it, and the scheduler acts only at
the owner.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from ..command import Command, SetTimer, WriteLog
from ..error import UnhandledMessageError
from ..log_event import SCHEDULER_FAILED, SCHEDULER_RELOADED
from ..message import event_name, Message
from ..storage.store import RowsRead, RowsUnavailable, StoreResult
from . import ownership
from .ownership import (
    NotifyScheduler,
    Ownership,
    OwnershipConfirmed,
    OwnershipTick,
    ReleaseOwnership,
    ShardAcquired,
    ShardLost,
    WriteRow,
)

TICK_INTERVAL = 0.5
"""Seconds between two checks of leases and queues."""

RELOAD_AFTER_FAILURES = 10
"""Consecutive unexpected errors of the scheduler after which it reads all rows anew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardTick(Message):
    """Report to a shard that time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyStoreAnswer(Command):
    """Pass a store's answer to the ownership, after the rows queued before it."""

    message: Message


@dataclass(slots=True)
class Shard:
    """Represent one entry's claim to a shard and its scheduler for the shard.

    decide_jobs is the decision function of the scheduler, which acts under the shard's
    lease. tick is the message by which the scheduler learns that time has passed.
    failures counts the consecutive messages on which the scheduler failed.
    """

    ownership: Ownership
    scheduler: Any
    decide_jobs: Callable[[Message, Any, float], list[Command]]
    tick: Message
    tick_interval: float = TICK_INTERVAL
    failures: int = 0


def decide(message: Message, state: Shard, now: float) -> list[Command]:
    """Return the commands that leave the shard after a message."""
    pending = deque(route(message, state, now))
    external: list[Command] = []
    while pending:
        command = pending.popleft()
        caused = handle_internally(command, state, now)
        if caused is None:
            external.append(command)
        else:
            pending.extend(caused)
    return external


@singledispatch
def route(message: Message, state: Shard, now: float) -> list[Command]:
    """Pass a message to the component of the shard that handles it."""
    return _decide_jobs(message, state, now)


@route.register(StoreResult)
@route.register(RowsRead)
@route.register(RowsUnavailable)
def _(
    message: StoreResult | RowsRead | RowsUnavailable, state: Shard, now: float
) -> list[Command]:
    if not ownership.confirms(message, state.ownership):
        return ownership.decide(message, state.ownership, now)
    commands = _decide_jobs(OwnershipConfirmed(), state, now)
    return [*commands, ApplyStoreAnswer(message=message)]


@route.register
def _(message: ReleaseOwnership, state: Shard, now: float) -> list[Command]:
    return ownership.decide(message, state.ownership, now)


@route.register
def _(message: ShardTick, state: Shard, now: float) -> list[Command]:
    timer = SetTimer(
        timer_id=f"tick:{state.ownership.shard}",
        delay=state.tick_interval,
        message=message,
    )
    claim = ownership.decide(OwnershipTick(), state.ownership, now)
    return [timer, *claim, *_decide_jobs(state.tick, state, now)]


@singledispatch
def handle_internally(
    command: Command, state: Shard, now: float
) -> list[Command] | None:
    """Return the commands that an internal command causes, or None if external."""
    return None


@handle_internally.register
def _(command: NotifyScheduler, state: Shard, now: float) -> list[Command]:
    return _decide_jobs(command.message, state, now)


@handle_internally.register
def _(command: ApplyStoreAnswer, state: Shard, now: float) -> list[Command]:
    return ownership.decide(command.message, state.ownership, now)


@handle_internally.register
def _(command: WriteRow, state: Shard, now: float) -> list[Command]:
    return ownership.decide(command, state.ownership, now)


def _decide_jobs(message: Message, state: Shard, now: float) -> list[Command]:
    """Pass a message to the scheduler, whose errors leave the ownership untouched.

    Without this, an error on one job would end the renewals of the lease, at one entry
    after another. State that stays faulty is read again from the store.
    """
    try:
        commands = state.decide_jobs(message, state.scheduler, now)
    except UnhandledMessageError:
        raise
    except Exception as error:
        state.failures += 1
        fields = {"message_name": event_name(message), "error": repr(error)}
        log = WriteLog(number=SCHEDULER_FAILED.number, fields=fields)
        if state.failures % RELOAD_AFTER_FAILURES or not state.scheduler.owning:
            return [log]
        return [log, *_reload_scheduler(state, now)]
    state.failures = 0
    return commands


def _reload_scheduler(state: Shard, now: float) -> list[Command]:
    """Let the scheduler begin anew, as after a gain of the ownership."""
    epoch = state.ownership.lease.epoch
    log = WriteLog(
        number=SCHEDULER_RELOADED.number, fields={"shard": state.ownership.shard}
    )
    return [
        log,
        *state.decide_jobs(ShardLost(), state.scheduler, now),
        *state.decide_jobs(ShardAcquired(epoch=epoch), state.scheduler, now),
    ]
