"""Record metrics through OpenTelemetry."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING

from wasabispur_core.metric import Metric, metric_catalogue, MetricKind

if TYPE_CHECKING:
    from .meter import Meter

LABEL_VALUE_LIMIT = 64
"""Distinct values of one label.

Callers choose the names of classes and organisations, so their number is not bounded
otherwise.
"""

OVERFLOW_LABEL = "other"
"""Replaces all label values beyond the limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Represent the value of one metric with one set of labels.

    value is the value of a counter or a gauge, or the sum of a histogram.
    """

    name: str
    labels: dict[str, str]
    value: float
    count: int = 0
    bounds: tuple[float, ...] = ()
    buckets: tuple[int, ...] = ()


class MetricRegistry:
    """Record metrics in the instruments of one process.

    Nothing is recorded until configure() is called.
    """

    def __init__(self) -> None:
        self.meter: Meter | None = None
        self.instruments: dict[str, Any] = {}
        self.labels: defaultdict[str, set[str]] = defaultdict(set)

    def configure(self, process: str) -> None:
        """Create all instruments with their values at zero."""
        # OpenTelemetry is slow to import, so the import waits for this call.
        from .meter import Meter

        self.labels.clear()
        self.meter = Meter(process)
        for name, metric in metric_catalogue().items():
            self.instruments[name] = self.meter.create(metric)

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        if self.meter is not None:
            self.instruments[metric.name].add(
                amount, self._bound_labels(metric, labels)
            )

    def record(self, metric: Metric, value: float, **labels: str) -> None:
        """Record a value in a histogram, or set a gauge."""
        if self.meter is None:
            return
        instrument = self.instruments[metric.name]
        bounded = self._bound_labels(metric, labels)
        if metric.kind is MetricKind.GAUGE:
            instrument.set(value, bounded)
        else:
            instrument.record(value, bounded)

    def read(self) -> list[Series]:
        """Return the current value of every series."""
        return self.meter.read() if self.meter is not None else []

    def _bound_labels(self, metric: Metric, labels: dict[str, str]) -> dict[str, str]:
        names = [name.rstrip("_") for name in labels]
        if sorted(names) != sorted(metric.labels):
            raise ValueError(f"metric {metric.name} needs the labels {metric.labels}")
        return {
            name: self._bound_label_value(name, value)
            for name, value in zip(names, labels.values(), strict=True)
        }

    def _bound_label_value(self, name: str, value: str) -> str:
        known = self.labels[name]
        if value in known:
            return value
        if len(known) >= LABEL_VALUE_LIMIT:
            return OVERFLOW_LABEL
        known.add(value)
        return value


registry = MetricRegistry()
"""The registry of this process."""
