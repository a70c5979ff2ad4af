"""Read the metrics of an entry instance on its event loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from wasabispur_core.burn import RequestCounts, SlotCount
from wasabispur_core.error import UnhandledMessageError
from wasabispur_core.message import Message
from wasabispur_core.metric import MAILBOX_DEPTH
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.metrics import MetricRegistry, Series

from .bridge import Ask


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadMetrics(Message):
    """Request the current value of every metric."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadCounts(Message):
    """Request the counts of requests by slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MetricsReport:
    """Represent the metrics of one process."""

    process: str
    series: list[Series]


class MetricsReader(Actor):
    """Read the metric registry, the actors' mailbox depths and the request counts.

    mailbox_depths maps an actor's name to a function that returns its mailbox's depth.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: MetricRegistry,
        process: str,
        mailbox_depths: dict[str, Callable[[], int]],
        counts: RequestCounts,
    ) -> None:
        super().__init__("metrics-reader", timers)
        self.registry = registry
        self.process = process
        self.mailbox_depths = mailbox_depths
        self.counts = counts

    def on_ask(self, message: Ask) -> None:
        """Reply to a thread's query."""
        message.reply.set_result(handle_query(message.message, self))


@singledispatch
def handle_query(message: Message, reader: MetricsReader) -> Any:
    """Return the reply to a query for metrics."""
    raise UnhandledMessageError(
        f"{reader.name} does not handle {type(message).__name__}",
        "ask with ReadMetrics or ReadCounts",
    )


@handle_query.register
def _(message: ReadMetrics, reader: MetricsReader) -> MetricsReport:
    for name, depth in reader.mailbox_depths.items():
        reader.registry.record(MAILBOX_DEPTH, depth(), actor=name)
    return MetricsReport(process=reader.process, series=reader.registry.read())


@handle_query.register
def _(message: ReadCounts, reader: MetricsReader) -> list[SlotCount]:
    return reader.counts.read()
