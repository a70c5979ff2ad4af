"""Test how rejections are counted."""

from __future__ import annotations

from wasabispur_core.command import WriteLog
from wasabispur_core.log_event import JOB_REFUSED
from wasabispur_core.metric import JOB_REJECTIONS
from wasabispur_runtime.workload_metrics import WorkloadMetrics


class Registry:
    def __init__(self):
        self.counts = []

    def count(self, metric, *args, **labels):
        self.counts.append((metric, labels))


def test_only_rejections_by_the_load_have_a_cause():
    """Guard against a count that includes refused keys and unknown queues."""
    registry = Registry()
    metrics = WorkloadMetrics(registry, sink=None)
    fields = {"job": "j", "organisation": "a", "reason": "send a key"}
    for cause in ({}, {"cause": "overload"}):
        log = WriteLog(number=JOB_REFUSED.number, fields=fields | cause)
        metrics.observe(None, [log], 0.0)
    assert registry.counts == [(JOB_REJECTIONS, {"cause": "overload"})]
