"""Follow what an entry instance knows of the fleet's load.

The actions and guards belong to the state chart load_knowledge. A load may only lead to
rejections while it is known: a row that is not renewed shows that its owner may be
gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...action import Action, Guard, holds, perform
from ...chart import Chart, ChartCatalogue, Lifecycle
from ...command import Command, WriteLog
from ...log_event import LOAD_KNOWN, LOAD_OUTDATED, LOAD_UNREADABLE
from ...message import Message
from .load_row import FleetLoad

LOAD_AGE_LIMIT = 5.0
"""Seconds after it was written for which a load may lead to rejections."""

KNOWN = "known"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadArrived(Message):
    """Deliver the load, and the store's time of the delivery in seconds."""

    load: FleetLoad
    store_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadUnreadable(Message):
    """Report that the row with the load was removed or can't be read."""

    error: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadNeeded(Message):
    """Report that a decision needs the load."""


@dataclass(slots=True, kw_only=True)
class LoadKnowledge:
    """Represent the load that was read last; valid_from is in monotonic seconds.

    valid_from is the time at which the load was written, on this process's clock.
    """

    lifecycle: Lifecycle
    load: FleetLoad = field(default_factory=FleetLoad)
    valid_from: float = -inf

    def age(self, now: float) -> float:
        """Return the seconds since the load was written."""
        return now - self.valid_from

    @property
    def known(self) -> bool:
        """Return whether the load may lead to rejections."""
        return self.lifecycle.state == KNOWN

    def follow(self, message: Message, now: float) -> list[Command]:
        """Advance the state chart by a message, and return the resulting commands."""
        return self.lifecycle.handle(message, self, self, now)


class LoadAction(Action[LoadKnowledge, LoadKnowledge]):
    """Define the base of the actions in the chart."""

    __slots__ = ()


class LoadGuard(Guard[LoadKnowledge, LoadKnowledge]):
    """Define the base of the guards in the chart."""

    __slots__ = ()


class KeepLoad(LoadAction):
    """Keep the load for decisions."""

    __slots__ = ()


class LogKnown(LoadAction):
    """Log that the load is known."""

    __slots__ = ()


class LogOutdated(LoadAction):
    """Log that the load is too old."""

    __slots__ = ()


class LogUnreadable(LoadAction):
    """Log that the row was removed or can't be read."""

    __slots__ = ()


class Newer(LoadGuard):
    """Hold if the load is of a later owner, or a later one of the same owner."""

    __slots__ = ()


class TooOld(LoadGuard):
    """Hold if the load was written too long ago."""

    __slots__ = ()


def load_knowledge_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart bound to its actions and guards."""
    return catalogue.bind(
        "load_knowledge",
        actions=LoadAction.__subclasses__(),
        guards=LoadGuard.__subclasses__(),
    )


def new_load_knowledge(catalogue: ChartCatalogue) -> LoadKnowledge:
    """Return the knowledge of an entry that has read nothing."""
    return LoadKnowledge(lifecycle=load_knowledge_chart(catalogue).start())


@holds.register
def _(guard: Newer) -> bool:
    message = guard.message
    known = guard.subject.load
    return isinstance(message, LoadArrived) and message.load.order > known.order


@holds.register
def _(guard: TooOld) -> bool:
    return guard.subject.age(guard.now) > LOAD_AGE_LIMIT


@perform.register
def _(action: KeepLoad) -> list[Command]:
    message, knowledge = action.message, action.subject
    if isinstance(message, LoadArrived):
        written_before = message.store_time - message.load.written_at
        knowledge.load = message.load
        knowledge.valid_from = action.now - max(written_before, 0.0)
    return []


@perform.register
def _(action: LogKnown) -> list[Command]:
    return [WriteLog(number=LOAD_KNOWN.number, fields=_fields(action))]


@perform.register
def _(action: LogOutdated) -> list[Command]:
    return [WriteLog(number=LOAD_OUTDATED.number, fields=_fields(action))]


@perform.register
def _(action: LogUnreadable) -> list[Command]:
    message = action.message
    error = message.error if isinstance(message, LoadUnreadable) else ""
    return [WriteLog(number=LOAD_UNREADABLE.number, fields={"error": error})]


def _fields(action: LoadAction) -> dict[str, object]:
    knowledge = action.subject
    return {
        "epoch": knowledge.load.epoch,
        "sequence": knowledge.load.sequence,
        "age": round(knowledge.age(action.now), 3),
    }
