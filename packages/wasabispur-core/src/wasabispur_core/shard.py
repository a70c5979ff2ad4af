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

from . import ownership
from .command import Command, SetTimer
from .message import Message
from .ownership import (
    NotifyScheduler,
    Ownership,
    OwnershipTick,
    ReleaseOwnership,
    WriteRow,
)
from .store import RowsRead, RowsUnavailable, StoreResult

TICK_INTERVAL = 0.5
"""Seconds between two checks of leases and queues."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardTick(Message):
    """Report to a shard that time has passed."""


@dataclass(slots=True)
class Shard:
    """Represent one entry's claim to a shard and its scheduler for the shard.

    decide_jobs is the decision function of the scheduler, which acts under the
    shard's lease. tick is the message that tells the scheduler that time has passed.
    """

    ownership: Ownership
    scheduler: Any
    decide_jobs: Callable[[Message, Any, float], list[Command]]
    tick: Message
    tick_interval: float = TICK_INTERVAL


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
    return state.decide_jobs(message, state.scheduler, now)


@route.register(StoreResult)
@route.register(RowsRead)
@route.register(RowsUnavailable)
def _(
    message: StoreResult | RowsRead | RowsUnavailable, state: Shard, now: float
) -> list[Command]:
    return ownership.decide(message, state.ownership, now)


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
    return [timer, *claim, *state.decide_jobs(state.tick, state.scheduler, now)]


@singledispatch
def handle_internally(
    command: Command, state: Shard, now: float
) -> list[Command] | None:
    """Return the commands that an internal command causes, or None if external."""
    return None


@handle_internally.register
def _(command: NotifyScheduler, state: Shard, now: float) -> list[Command]:
    return state.decide_jobs(command.message, state.scheduler, now)


@handle_internally.register
def _(command: WriteRow, state: Shard, now: float) -> list[Command]:
    return ownership.decide(command, state.ownership, now)
