"""Read the metrics of an entry on its event loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wasabispur_core.message import Message
from wasabispur_core.metric import MAILBOX_DEPTH
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.metrics import MetricRegistry, Series

from .bridge import Ask


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadMetrics(Message):
    """Ask for the current value of every metric."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MetricsReport:
    """Hold the metrics of one process."""

    process: str
    series: list[Series]


class MetricsReader(Actor):
    """Read the registry, and the depth of the watched mailboxes."""

    def __init__(
        self,
        timers: TimerService,
        registry: MetricRegistry,
        process: str,
        depths: dict[str, Callable[[], int]],
    ) -> None:
        super().__init__("metrics-reader", timers)
        self.registry = registry
        self.process = process
        self.depths = depths

    def on_ask(self, message: Ask) -> None:
        """Give the current metrics to a thread."""
        for name, depth in self.depths.items():
            self.registry.record(MAILBOX_DEPTH, depth(), actor=name)
        report = MetricsReport(process=self.process, series=self.registry.read())
        message.reply.set_result(report)
