"""Record metrics of the workload plane and format them as text."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatch
from typing import Any

from wasabispur_core.command import Command, WriteLog
from wasabispur_core.log_event import (
    CORDON_RUNS,
    CORDONS_READ,
    FLEET_LOADED,
    HEALTH_ANSWERS_COUNTED,
    JOB_ENDED,
    JOB_REFUSED,
    RUN_ENDED,
    RUN_ORDERED,
    RUN_REFUSED,
    RUN_STOP_ORDERED,
    SHARES_COMPARED,
    TOMBSTONE_READ,
    TOMBSTONE_REMOVED,
    UNIT_EVACUATED,
    UNIT_MOVED,
    UNIT_PLACED,
    UNIT_PREEMPTED,
    WORKER_SPEED_CHANGED,
    WORKER_SPEEDS_READ,
)
from wasabispur_core.message import Message
from wasabispur_core.metric import (
    CORDON_ACTIVE,
    CORDON_ACTIVE_RUNS,
    JOB_CALLS,
    JOB_REJECTIONS,
    JOB_TIME,
    JOB_TOMBSTONES,
    LARGEST_SHARE_RATIO,
    RECORDS_LOST,
    RUN_ORDERS,
    RUNS_ENDED,
    RUNS_STOPPED,
    TAKEOVER_TIME,
    TAKEOVERS,
    UNIT_WAIT,
    WORK_WASTED,
    WORKERS_BY_HEALTH,
    WORKERS_IN_DOUBT,
    WORKERS_SLOW,
)
from wasabispur_core.workload.intake.intake_message import AnswerCaller
from wasabispur_core.workload.jobs.unit_stop import CountWaste
from wasabispur_core.workload.workers.worker import HealthAnswer

from .log import RecordSink
from .metrics import MetricRegistry, Series

Fields = dict[str, Any]

LOST = "lost"
OVERHEAD = "overhead"
"""Values of the label part of the metric work.wasted."""


class WorkloadMetrics:
    """Record metrics from the commands of the workload plane's decisions."""

    def __init__(self, registry: MetricRegistry, sink: RecordSink) -> None:
        self.registry = registry
        self.sink = sink
        self.reported_drops: dict[str, int] = {}
        self.cordons: dict[str, int] = {}
        self.handlers: dict[int, Callable[[Fields], None]] = {
            JOB_ENDED.number: self._job_ended,
            JOB_REFUSED.number: self._job_refused,
            UNIT_PLACED.number: self._unit_placed,
            RUN_ENDED.number: self._run_ended,
            UNIT_PREEMPTED.number: lambda f: self._stopped("preemption"),
            UNIT_EVACUATED.number: lambda f: self._stopped("drain"),
            UNIT_MOVED.number: lambda f: self._stopped("stall"),
            FLEET_LOADED.number: self._taken_over,
            RUN_ORDERED.number: lambda f: self._ordered("start"),
            RUN_STOP_ORDERED.number: lambda f: self._ordered("stop"),
            CORDONS_READ.number: self._cordons_read,
            CORDON_RUNS.number: self._cordon_runs,
            RUN_REFUSED.number: lambda f: self._ordered("refused"),
            HEALTH_ANSWERS_COUNTED.number: self._health_counted,
            SHARES_COMPARED.number: lambda f: self.registry.record(
                LARGEST_SHARE_RATIO, f["ratio"]
            ),
            TOMBSTONE_READ.number: self._tombstones_counted,
            TOMBSTONE_REMOVED.number: self._tombstones_counted,
            WORKER_SPEED_CHANGED.number: self._speeds_known,
            WORKER_SPEEDS_READ.number: self._speeds_known,
        }

    def observe(self, message: Message, commands: list[Command], now: float) -> None:
        """Record the metrics of the commands that result from a message."""
        for command in commands:
            record_command(command, self)

    def text(self) -> str:
        """Return all series as lines of the form name{label="value"} value."""
        for cause, count in self.sink.total_dropped.items():
            self.registry.count(
                RECORDS_LOST, count - self.reported_drops.get(cause, 0), cause=cause
            )
        self.reported_drops = dict(self.sink.total_dropped)
        return "".join(f"{line}\n" for line in format_series(self.registry.read()))

    def _taken_over(self, fields: Fields) -> None:
        self.registry.count(TAKEOVERS)
        self.registry.record(TAKEOVER_TIME, fields["took"])

    def _job_ended(self, fields: Fields) -> None:
        labels = {"class_": fields["queue"], "outcome": fields["state"]}
        self.registry.record(JOB_TIME, fields["took"], **labels)

    def _job_refused(self, fields: Fields) -> None:
        if "cause" in fields:
            self.registry.count(JOB_REJECTIONS, cause=fields["cause"])

    def _unit_placed(self, fields: Fields) -> None:
        self.registry.record(UNIT_WAIT, fields["waited"])

    def _run_ended(self, fields: Fields) -> None:
        self.registry.count(RUNS_ENDED, outcome=fields["how"])

    def _stopped(self, cause: str) -> None:
        self.registry.count(RUNS_STOPPED, cause=cause)

    def _cordons_read(self, fields: Fields) -> None:
        self.cordons |= dict.fromkeys(self.cordons, 0)
        self.cordons |= dict.fromkeys(fields["data_centres"], 1)
        for name, active in self.cordons.items():
            self.registry.record(CORDON_ACTIVE, active, data_centre=name)
            if not active:
                self.registry.record(CORDON_ACTIVE_RUNS, 0, data_centre=name)

    def _cordon_runs(self, fields: Fields) -> None:
        name = fields["data_centre"]
        self.registry.record(CORDON_ACTIVE_RUNS, fields["runs"], data_centre=name)

    def _ordered(self, outcome: str) -> None:
        self.registry.count(RUN_ORDERS, outcome=outcome)

    def _health_counted(self, fields: Fields) -> None:
        for answer in HealthAnswer:
            count = fields[answer.value]
            self.registry.record(WORKERS_BY_HEALTH, count, outcome=answer.value)
        self.registry.record(WORKERS_IN_DOUBT, fields["doubtful"])

    def _tombstones_counted(self, fields: Fields) -> None:
        self.registry.record(JOB_TOMBSTONES, fields["kept"])

    def _speeds_known(self, fields: Fields) -> None:
        self.registry.record(WORKERS_SLOW, fields["slow"])


@singledispatch
def record_command(command: Command, metrics: WorkloadMetrics) -> None:
    """Record the metrics of one command; most commands have none."""


@record_command.register
def _(command: WriteLog, metrics: WorkloadMetrics) -> None:
    body = metrics.handlers.get(command.number)
    if body is not None:
        body(command.fields)


@record_command.register
def _(command: AnswerCaller, metrics: WorkloadMetrics) -> None:
    metrics.registry.count(JOB_CALLS, outcome=command.outcome.value)


@record_command.register
def _(command: CountWaste, metrics: WorkloadMetrics) -> None:
    parts = {LOST: command.work.lost, OVERHEAD: command.work.overhead}
    for part, core_seconds in parts.items():
        if core_seconds:
            metrics.registry.count(
                WORK_WASTED, core_seconds, cause=command.cause.value, part=part
            )


def format_series(series: Iterable[Series]) -> list[str]:
    """Return series as lines of text; a histogram has buckets, a sum and a count."""
    lines: list[str] = []
    for item in series:
        name = item.name.replace(".", "_")
        if not item.buckets:
            lines.append(f"{name}{_labels(item.labels)} {item.value:g}")
            continue
        total = 0
        for bound, count in zip((*item.bounds, "+Inf"), item.buckets, strict=True):
            total += count
            lines.append(
                f"{name}_bucket{_labels({**item.labels, 'le': bound})} {total}"
            )
        lines.append(f"{name}_sum{_labels(item.labels)} {item.value:g}")
        lines.append(f"{name}_count{_labels(item.labels)} {item.count}")
    return lines


def _labels(labels: dict[str, Any]) -> str:
    inner = ",".join(f'{name}="{value}"' for name, value in sorted(labels.items()))
    return f"{{{inner}}}" if inner else ""
