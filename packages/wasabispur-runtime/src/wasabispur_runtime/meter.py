"""Create the OpenTelemetry instruments of a process and read their values.

The libraries are slow to import, so a process imports this module once it serves.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    NumberDataPoint,
)
from opentelemetry.sdk.resources import Resource

from wasabispur_core.metric import Metric, MetricKind

from .metrics import Series

METER_NAME = "wasabispur"


class Meter:
    """Create the instruments of one process and read their values."""

    def __init__(self, process: str) -> None:
        self.reader = InMemoryMetricReader()
        resource = Resource.create({"service.name": METER_NAME, "process": process})
        self.meter = MeterProvider([self.reader], resource).get_meter(METER_NAME)

    def create(self, metric: Metric) -> Any:
        """Return a new instrument for a metric."""
        if metric.kind is MetricKind.COUNTER:
            return self.meter.create_counter(metric.name, metric.unit, metric.text)
        if metric.kind is MetricKind.GAUGE:
            return self.meter.create_gauge(metric.name, metric.unit, metric.text)
        return self.meter.create_histogram(
            metric.name,
            metric.unit,
            metric.text,
            explicit_bucket_boundaries_advisory=list(metric.bounds),
        )

    def read(self) -> list[Series]:
        """Return the current value of every series."""
        data = self.reader.get_metrics_data()
        if data is None:
            return []
        return [
            _series(point, metric.name)
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in metric.data.data_points
        ]


def _labels(point: Any) -> dict[str, str]:
    return {name: str(value) for name, value in (point.attributes or {}).items()}


@singledispatch
def _series(point: Any, name: str) -> Series:
    raise TypeError(f"metric {name} has unsupported points of {type(point).__name__}")


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
