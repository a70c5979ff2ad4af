"""Record metrics through OpenTelemetry."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    NumberDataPoint,
)
from opentelemetry.sdk.resources import Resource

from wasabispur_core.metric import Metric, metric_catalogue, MetricKind

LABEL_LIMIT = 64
"""Values of one label; callers name classes and organisations themselves."""

OTHER = "other"
"""Stands for all label values beyond the limit."""

METER = "wasabispur"


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Hold the value of one metric with one set of labels.

    The value is a counter's or a gauge's, or the sum of a histogram.
    """

    name: str
    labels: dict[str, str]
    value: float
    count: int = 0
    bounds: tuple[float, ...] = ()
    buckets: tuple[int, ...] = ()


class MetricRegistry:
    """Hold the instruments of one process; records nothing until configured."""

    def __init__(self) -> None:
        self.reader: InMemoryMetricReader | None = None
        self.instruments: dict[str, Any] = {}
        self.labels: defaultdict[str, set[str]] = defaultdict(set)

    def configure(self, process: str) -> None:
        """Start to record with all values at zero."""
        self.labels.clear()
        self.reader = InMemoryMetricReader()
        resource = Resource.create({"service.name": METER, "process": process})
        meter = MeterProvider([self.reader], resource).get_meter(METER)
        for name, metric in metric_catalogue().items():
            self.instruments[name] = _create(metric, meter)

    def count(self, metric: Metric, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        if self.reader is not None:
            self.instruments[metric.name].add(amount, self._bound(metric, labels))

    def record(self, metric: Metric, value: float, **labels: str) -> None:
        """Record a value in a histogram, or set a gauge."""
        if self.reader is None:
            return
        instrument = self.instruments[metric.name]
        bounded = self._bound(metric, labels)
        if metric.kind is MetricKind.GAUGE:
            instrument.set(value, bounded)
        else:
            instrument.record(value, bounded)

    def read(self) -> list[Series]:
        """Return the current value of every series."""
        data = self.reader.get_metrics_data() if self.reader is not None else None
        if data is None:
            return []
        return [
            _series(point, metric.name)
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in metric.data.data_points
        ]

    def _bound(self, metric: Metric, labels: dict[str, str]) -> dict[str, str]:
        names = [name.rstrip("_") for name in labels]
        if sorted(names) != sorted(metric.labels):
            raise ValueError(f"metric {metric.name} has the labels {metric.labels}")
        return {
            name: self._bounded_value(name, value)
            for name, value in zip(names, labels.values(), strict=True)
        }

    def _bounded_value(self, name: str, value: str) -> str:
        known = self.labels[name]
        if value in known:
            return value
        if len(known) >= LABEL_LIMIT:
            return OTHER
        known.add(value)
        return value


registry = MetricRegistry()
"""The registry of this process."""


def _create(metric: Metric, meter: Any) -> Any:
    if metric.kind is MetricKind.COUNTER:
        return meter.create_counter(metric.name, metric.unit, metric.text)
    if metric.kind is MetricKind.GAUGE:
        return meter.create_gauge(metric.name, metric.unit, metric.text)
    return meter.create_histogram(
        metric.name,
        metric.unit,
        metric.text,
        explicit_bucket_boundaries_advisory=list(metric.bounds),
    )


def _labels(point: Any) -> dict[str, str]:
    return {name: str(value) for name, value in (point.attributes or {}).items()}


@singledispatch
def _series(point: Any, name: str) -> Series:
    raise TypeError(f"{name} has data points of {type(point).__name__}")


@_series.register
def _(point: NumberDataPoint, name: str) -> Series:
    return Series(name=name, labels=_labels(point), value=point.value)


@_series.register
def _(point: HistogramDataPoint, name: str) -> Series:
    return Series(
        name=name,
        labels=_labels(point),
        value=point.sum,
        count=point.count,
        bounds=tuple(point.explicit_bounds),
        buckets=tuple(point.bucket_counts),
    )
