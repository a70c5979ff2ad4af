"""Derive an entry instance's request metrics from its messages and commands."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from wasabispur_core.burn import Pair, RequestCounts
from wasabispur_core.command import Command, SendToAgent
from wasabispur_core.message import Message
from wasabispur_core.metric import ATTEMPTS, REQUEST_TIME, REQUESTS, START_WAIT
from wasabispur_core.protocol import RequestPermit, StartAttempt
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.request_message import RequestReceived
from wasabispur_runtime.metrics import MetricRegistry


@dataclass(slots=True, kw_only=True)
class RequestTimes:
    """Describe a request in progress as far as the metrics need it.

    received is in seconds of the timer service's clock.
    """

    organisation: str
    work_class: str
    received: float
    started: bool = False


@dataclass(slots=True)
class RequestMetrics:
    """Record the metrics of requests.

    counts are the completed and total requests by slot of the wall clock. requests
    are the requests in progress by id.
    """

    registry: MetricRegistry
    counts: RequestCounts = field(default_factory=RequestCounts)
    wall_clock: Callable[[], float] = time.time
    requests: dict[str, RequestTimes] = field(default_factory=dict)

    def observe(self, message: Message, commands: list[Command], now: float) -> None:
        """Record the metrics of a message and the commands that it caused."""
        record_metrics(message, self, now)
        for command in commands:
            record_metrics(command, self, now)

    def find(self, attempt_id: str) -> RequestTimes | None:
        """Return the times of the request that an attempt belongs to."""
        return self.requests.get(attempt_id.rpartition(".")[0])


@singledispatch
def record_metrics(message: Message, metrics: RequestMetrics, now: float) -> None:
    """Record the metrics of a message or command about a request."""


@record_metrics.register
def _(message: RequestReceived, metrics: RequestMetrics, now: float) -> None:
    metrics.requests[message.request_id] = RequestTimes(
        organisation=message.organisation,
        work_class=message.work_class,
        received=now,
    )


@record_metrics.register
def _(command: SendToAgent, metrics: RequestMetrics, now: float) -> None:
    record_metrics(command.message, metrics, now)


@record_metrics.register
def _(message: RequestPermit, metrics: RequestMetrics, now: float) -> None:
    times = metrics.find(message.attempt_id)
    if times is not None:
        metrics.registry.count(ATTEMPTS, class_=times.work_class)


@record_metrics.register
def _(message: StartAttempt, metrics: RequestMetrics, now: float) -> None:
    times = metrics.find(message.attempt_id)
    if times is None or times.started:
        return
    times.started = True
    metrics.registry.record(
        START_WAIT,
        now - times.received,
        class_=times.work_class,
        organisation=times.organisation,
    )


@record_metrics.register
def _(command: ReplyToCaller, metrics: RequestMetrics, now: float) -> None:
    times = metrics.requests.pop(command.request_id, None)
    if times is None:
        return
    outcome = command.outcome.value
    metrics.registry.count(
        REQUESTS,
        class_=times.work_class,
        organisation=times.organisation,
        outcome=outcome,
    )
    metrics.counts.add(
        Pair(times.work_class, times.organisation),
        command.outcome is Outcome.COMPLETED,
        metrics.wall_clock(),
    )
    metrics.registry.record(
        REQUEST_TIME, now - times.received, class_=times.work_class, outcome=outcome
    )
