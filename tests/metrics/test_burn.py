"""Test the burn rates of objectives and their report."""

from __future__ import annotations

import json
from collections import Counter

import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st

from wasabispur.burn_report import BurnReport, render_html, render_json, render_table
from wasabispur.cli import main
from wasabispur_core.burn import (
    burn_rate,
    OTHER,
    Pair,
    PAIR_LIMIT,
    RequestCounts,
    RETAINED_SLOTS,
    SLOT_DURATION,
    SlotCount,
    window_burn_rates,
)
from wasabispur_runtime.process import ExitCode

NOW = 1_000_000.0 * SLOT_DURATION
URGENT = Pair("urgent", "peachtree")
TARGETS = {"urgent": 0.99}


def count(age, good, total, pair=URGENT) -> SlotCount:
    """Return the counts of the slot that contains the time age seconds ago."""
    return SlotCount(
        pair=pair, slot=int((NOW - age) // SLOT_DURATION), good=good, total=total
    )


def rates(counts) -> dict[str, tuple[float, float, bool]]:
    return {
        line.window: (round(line.short_rate, 6), round(line.long_rate, 6), line.alert)
        for line in window_burn_rates(counts, TARGETS, NOW)
    }


@pytest.mark.parametrize(
    ("bad", "total", "target", "rate"),
    [(0, 0, 0.99, 0.0), (0, 10, 0.99, 0.0), (1, 100, 0.99, 1.0), (5, 5, 0.9, 10.0)],
)
def test_burn_rate(bad, total, target, rate):
    """Guard against a rate that is not relative to the allowed share of errors."""
    assert burn_rate(bad, total, target) == pytest.approx(rate)


def test_total_outage_of_an_hour_alerts_in_the_fast_windows_only():
    """Guard against a slow window that hides a fast burn."""
    counts = [count(age, 0, 10) for age in range(0, 3601, SLOT_DURATION)]
    counts += [count(age, 100, 100) for age in range(3900, 3 * 86_400, SLOT_DURATION)]
    rates_by_window = rates(counts)
    assert rates_by_window["5 min/1 h"] == (100.0, 100.0, True)
    assert rates_by_window["30 min/6 h"][0] == 100.0
    assert rates_by_window["30 min/6 h"][2] is False
    assert rates_by_window["6 h/3 d"][2] is False


def test_alert_ends_when_the_short_window_is_clean():
    """Guard against an alert that continues after the errors have stopped."""
    counts = [count(age, 0, 10) for age in range(900, 3601, SLOT_DURATION)]
    counts += [count(age, 10, 10) for age in range(0, 900, SLOT_DURATION)]
    assert rates(counts)["5 min/1 h"][2] is False


def test_slow_burn_alerts_in_the_long_window():
    """Guard against a low error rate that no window reports."""
    counts = [count(age, 98, 100) for age in range(0, 3 * 86_400, SLOT_DURATION)]
    rates_by_window = rates(counts)
    assert rates_by_window["6 h/3 d"] == (2.0, 2.0, True)
    assert not rates_by_window["5 min/1 h"][2]


def test_class_without_an_objective_is_left_out():
    """Guard against a burn rate for a class that has no target."""
    assert not window_burn_rates([count(0, 0, 5, Pair("order", "o"))], TARGETS, NOW)


@given(
    ends=st.lists(
        st.tuples(st.booleans(), st.integers(0, 4 * 86_400), st.integers(0, 2)),
        max_size=60,
    )
)
def test_lines_do_not_depend_on_the_entry_that_counted(ends):
    """Guard against requests that are lost or doubled when entries are merged."""
    one, several = RequestCounts(), [RequestCounts() for _ in range(3)]
    for good, age, entry in sorted(ends, key=lambda end: -end[1]):
        one.add(URGENT, good, NOW - age)
        several[entry].add(URGENT, good, NOW - age)
    merged = [count for table in several for count in table.read()]
    assert window_burn_rates(merged, TARGETS, NOW) == window_burn_rates(
        one.read(), TARGETS, NOW
    )
    recent = Counter(good for good, age, _ in ends if age <= 3 * 86_400)
    for line in window_burn_rates(merged, TARGETS, NOW):
        if line.window == "6 h/3 d":
            assert line.requests >= recent.total()


def test_counts_are_bounded_in_time_and_pairs():
    """Guard against counts that grow with time or with the number of organisations."""
    table = RequestCounts()
    for slot in range(RETAINED_SLOTS * 2):
        table.add(URGENT, True, NOW + slot * SLOT_DURATION)
    assert len(table.counts) == RETAINED_SLOTS
    for number in range(PAIR_LIMIT * 2):
        table.add(
            Pair("urgent", f"o{number}"), True, NOW + RETAINED_SLOTS * 2 * SLOT_DURATION
        )
    newest = max(table.counts)
    assert len(table.counts[newest]) <= PAIR_LIMIT + 1
    assert sum(c.total for c in table.read() if c.slot == newest) == PAIR_LIMIT * 2
    assert Pair(OTHER, OTHER) in table.counts[newest]


def test_report_formats_agree_and_escape_names():
    """Guard against a page that executes a caller's text or differs from the table."""
    pair = Pair("urgent", "<script>alert(1)</script>")
    counts = [count(0, 1, 4, pair), count(SLOT_DURATION, 3, 3, pair)]
    lines = window_burn_rates(counts, TARGETS, NOW)
    report = BurnReport(wall_time=NOW, targets=TARGETS, lines=lines, counts=counts)
    page = render_html(report)
    assert "<script" not in page
    assert "http" not in page.replace("http-equiv", "")
    assert page.count("<svg") == 1
    decoded = json.loads(render_json(report))["lines"]
    assert [line["requests"] for line in decoded] == [7, 7, 7]
    table = render_table(report).splitlines()
    assert len(table) == 4
    for line, row in zip(decoded, table[1:], strict=True):
        assert f"{line['short_rate']:.2f}" in row
        assert ("alert" in row.split()[-1]) == line["alert"]


@pytest.mark.parametrize("objective", ["urgent", "urgent=1", "urgent=x", "=0.9"])
def test_wrong_objective_is_refused(objective):
    """Guard against a target that is no share below 1; 1 would divide by zero."""
    arguments = ["report", "burn", "--entry", "http://127.0.0.1:9"]
    result = CliRunner().invoke(main, [*arguments, "--objective", objective])
    assert result.exit_code == 2


def test_unreachable_entry_fails_the_report():
    """Guard against a report that silently omits an entry."""
    arguments = ["report", "burn", "--entry", "http://127.0.0.1:9"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == ExitCode.UNAVAILABLE
    assert "can't be read" in result.output
