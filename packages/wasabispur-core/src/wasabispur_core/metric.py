"""Catalogue the metrics."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """Define how the values of a metric are aggregated."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True, kw_only=True)
class Metric:
    """Describe one metric; bounds are the upper bounds of histogram buckets."""

    name: str
    kind: MetricKind
    unit: str
    text: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


DURATION_BOUNDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    3.4,
    5.0,
    10.0,
    30.0,
    120.0,
)
"""Bucket bounds of durations in seconds; urgent work has to start within 3.4 s."""

REQUESTS = Metric(
    name="requests",
    kind=MetricKind.COUNTER,
    unit="1",
    text="requests that ended",
    labels=("class", "organisation", "outcome"),
)
START_WAIT = Metric(
    name="request.start_wait",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    text="time from the receipt of a request to the first start sent to an agent",
    labels=("class", "organisation"),
    bounds=DURATION_BOUNDS,
)
REQUEST_TIME = Metric(
    name="request.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    text="time from the receipt of a request to its answer",
    labels=("class", "outcome"),
    bounds=DURATION_BOUNDS,
)
ATTEMPTS = Metric(
    name="attempts",
    kind=MetricKind.COUNTER,
    unit="1",
    text="start permits requested from agents",
    labels=("class",),
)
STREAM_LOSSES = Metric(
    name="stream.losses",
    kind=MetricKind.COUNTER,
    unit="1",
    text="streams that ended",
    labels=("cause",),
)
JOB_CALLS = Metric(
    name="job.calls",
    kind=MetricKind.COUNTER,
    unit="1",
    text="answered requests about jobs",
    labels=("outcome",),
)
JOB_REJECTIONS = Metric(
    name="job.rejections",
    kind=MetricKind.COUNTER,
    unit="1",
    text="new jobs that were rejected because of the load",
    labels=("cause",),
)
JOB_TOMBSTONES = Metric(
    name="job.tombstones",
    kind=MetricKind.GAUGE,
    unit="1",
    text="cancellations of unknown jobs that the owning entry keeps",
)
JOB_TIME = Metric(
    name="job.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    text="time from the acceptance of a job to its end",
    labels=("class", "outcome"),
    bounds=DURATION_BOUNDS,
)
UNIT_WAIT = Metric(
    name="unit.wait",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    text="time for which a gang or a single task waited for placement",
    bounds=DURATION_BOUNDS,
)
RUNS_ENDED = Metric(
    name="runs.ended",
    kind=MetricKind.COUNTER,
    unit="1",
    text="runs whose end the owner recorded",
    labels=("outcome",),
)
RUNS_STOPPED = Metric(
    name="runs.stopped",
    kind=MetricKind.COUNTER,
    unit="1",
    text="units that the owner stopped to preempt, evacuate or relocate them",
    labels=("cause",),
)
WORK_WASTED = Metric(
    name="work.wasted",
    kind=MetricKind.COUNTER,
    unit="s",
    text="core-seconds of work that was stopped or lost, and of freed room until its use",
    labels=("cause", "part"),
)
RUN_ORDERS = Metric(
    name="run.orders",
    kind=MetricKind.COUNTER,
    unit="1",
    text="calls of an agent to its worker to start or stop a run",
    labels=("outcome",),
)
TAKEOVERS = Metric(
    name="takeovers",
    kind=MetricKind.COUNTER,
    unit="1",
    text="times that this entry took over ownership and read all rows",
)
TAKEOVER_TIME = Metric(
    name="takeover.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    text="time from the claim of the shard until this entry has read all rows",
    bounds=DURATION_BOUNDS,
)
CORDON_ACTIVE = Metric(
    name="cordon.active",
    kind=MetricKind.GAUGE,
    unit="1",
    text="1 while the process knows a cordon of the data centre, otherwise 0",
    labels=("data_centre",),
)
CORDON_ACTIVE_RUNS = Metric(
    name="cordon.runs",
    kind=MetricKind.GAUGE,
    unit="1",
    text="runs that are active in the cordoned data centre, as its last owner knew",
    labels=("data_centre",),
)
RECORDS_LOST = Metric(
    name="log.dropped",
    kind=MetricKind.COUNTER,
    unit="1",
    text="log records that were not written",
    labels=("cause",),
)
HTTP_REFUSALS = Metric(
    name="http.refusals",
    kind=MetricKind.COUNTER,
    unit="1",
    text="requests and connections that an HTTP server refused or closed",
    labels=("actor", "cause"),
)
LOOP_STALLS = Metric(
    name="loop.stalls",
    kind=MetricKind.COUNTER,
    unit="1",
    text="times that the event loop served no message for seconds",
)
FEED_FAILURES = Metric(
    name="feed.failures",
    kind=MetricKind.COUNTER,
    unit="1",
    text="calls of a feed that failed or did not end",
    labels=("actor",),
)
WORKERS_BY_HEALTH = Metric(
    name="workers.health",
    kind=MetricKind.GAUGE,
    unit="1",
    text="workers by their last answer to health checks, as the owner knows them",
    labels=("outcome",),
)
WORKERS_IN_DOUBT = Metric(
    name="workers.in_doubt",
    kind=MetricKind.GAUGE,
    unit="1",
    text="workers that the owner does not fully trust",
)
LARGEST_SHARE_RATIO = Metric(
    name="share.largest_ratio",
    kind=MetricKind.GAUGE,
    unit="1",
    text="largest ratio of an organisation's use to its fair share, at the owner",
)
WORKERS_SLOW = Metric(
    name="workers.slow",
    kind=MetricKind.GAUGE,
    unit="1",
    text="workers on which runs take more than 1.15 times as long as usual, as the owner"
    " knows them",
)
MAILBOX_DEPTH = Metric(
    name="mailbox.depth",
    kind=MetricKind.GAUGE,
    unit="1",
    text="messages waiting in a mailbox",
    labels=("actor",),
)


def metric_catalogue() -> dict[str, Metric]:
    """Return all metrics by name."""
    metrics = [value for value in globals().values() if isinstance(value, Metric)]
    return {metric.name: metric for metric in sorted(metrics, key=lambda m: m.name)}
