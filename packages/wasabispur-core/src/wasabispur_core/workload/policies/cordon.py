"""Define cordons: operators' requests to start no run in a data centre.

Active runs go on. A cordon is in force from the time at which a process has read it
until it has read the withdrawal, also while the store can't be reached.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any

from ...action import Action, perform
from ...chart import Chart, ChartCatalogue, Lifecycle
from ...command import Command, WriteLog
from ...log_event import CORDON_IN_FORCE, CORDON_WITHDRAWN
from ...message import Message

CORDONED = "cordoned"
"""Reason with which an agent refuses a run, and the owner withdraws an order."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CordonsChanged(Message):
    """Deliver the names of all cordoned data centres, also after the first read."""

    data_centres: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class CordonShown(Message):
    """Report that all fresh reports from the data centre show the cordon."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CordonRemoved(Message):
    """Report that the operators have withdrawn the cordon."""


@dataclass(slots=True, kw_only=True)
class Cordon:
    """Represent the cordon of one data centre at the shard's owner.

    read_at is the time at which this process has read it, and logged_at that of the
    last record on the active runs there, both in monotonic seconds. workers and runs
    count the known workers there and their runs that are not known to have ended.
    """

    data_centre: str
    lifecycle: Lifecycle
    read_at: float
    workers: int = 0
    runs: int = 0
    logged_runs: int = 0
    logged_at: float = -inf


@dataclass(slots=True, kw_only=True)
class OwnerCordons:
    """Represent what an entry instance knows of the cordons.

    cordoned contains the cordoned data centres, and read_at the times at which they
    were read in monotonic seconds. tracked contains the cordons by data centre while
    this entry is the owner.
    """

    chart: Chart
    cordoned: frozenset[str] = frozenset()
    read_at: dict[str, float] = field(default_factory=dict)
    tracked: dict[str, Cordon] = field(default_factory=dict)


class CordonAction(Action[None, Cordon]):
    """Define the base of the cordon chart's actions; the subject is the cordon."""

    __slots__ = ()


class LogInForce(CordonAction):
    """Log that no agent there that reports starts any run."""

    __slots__ = ()


class LogWithdrawn(CordonAction):
    """Log that the data centre is used again."""

    __slots__ = ()


def cordon_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the cordon state chart, bound to its actions."""
    return catalogue.bind("cordon", actions=CordonAction.__subclasses__())


def cordon_fields(cordon: Cordon, now: float) -> dict[str, Any]:
    """Return the fields of a log record on a cordon."""
    return {
        "data_centre": cordon.data_centre,
        "age": round(now - cordon.read_at, 3),
        "workers": cordon.workers,
        "runs": cordon.runs,
    }


@perform.register
def _(action: LogInForce) -> list[Command]:
    fields = cordon_fields(action.subject, action.now)
    return [WriteLog(number=CORDON_IN_FORCE.number, fields=fields)]


@perform.register
def _(action: LogWithdrawn) -> list[Command]:
    fields = cordon_fields(action.subject, action.now)
    return [WriteLog(number=CORDON_WITHDRAWN.number, fields=fields)]
