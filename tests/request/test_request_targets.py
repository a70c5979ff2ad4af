"""Test the targets of admission on the fake timer service."""

from __future__ import annotations

import pytest

from wasabispur_core.requests.outcome import Outcome
from wasabispur_core.work_class import default_classes
from wasabispur_standins.bench_case import run_case
from wasabispur_standins.bench_request import completion_times, percentile, start_waits

SEED = 7
URGENT_START_LIMIT = 3.4
FLOOR_SHARE = 0.9
SMALL_CALLER_RATIO = 1.2


def of_class(result, kind):
    return [record for record in result.records if record.work_class == kind]


def test_urgent_work_starts_in_time_under_a_deferrable_overload():
    """Guard against urgent work that waits behind deferrable work."""
    result = run_case("deferrable overload", "wasabispur", SEED)
    urgent = of_class(result, "urgent")
    assert percentile(start_waits(urgent), 0.99) < URGENT_START_LIMIT
    assert all(record.outcome is Outcome.COMPLETED for record in urgent)


@pytest.mark.parametrize("kind", ["deferrable", "order"])
def test_other_classes_keep_their_floor_under_an_urgent_overload(kind):
    """Guard against urgent work that takes the floors of other classes."""
    result = run_case("urgent overload", "wasabispur", SEED)
    floor = default_classes()[kind].floor
    assert result.slot_share[kind] >= FLOOR_SHARE * floor


def test_large_caller_hardly_delays_small_callers():
    """Guard against a large caller that slows all others down."""

    def p95(case):
        records = run_case(case, "wasabispur", SEED).records
        small = [record for record in records if record.caller.startswith("small")]
        return percentile(completion_times(small), 0.95)

    ratio = p95("one large caller") / p95("small callers alone")
    assert ratio <= SMALL_CALLER_RATIO
