"""Render the command line's burn report as a text table, JSON or HTML."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from html import escape

from wasabispur_core.burn import (
    burn_rate,
    Pair,
    SLOT_DURATION,
    SlotCount,
    WindowBurnRate,
)

HEADINGS: tuple[str, ...] = (
    "class",
    "organisation",
    "window",
    "short",
    "long",
    "requests",
    "alert",
)

PLOT_WIDTH = 640
PLOT_HEIGHT = 120
"""Size of a plot in pixels."""

STYLE = (
    "body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}"
    ".alert{background:#fdd}polyline{fill:none;stroke:#c00}"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReport:
    """Represent the burn rates and the counts that they were computed from.

    wall_time is in seconds since the epoch. targets maps a workload class to the
    share of its requests that have to complete.
    """

    wall_time: float
    targets: Mapping[str, float]
    lines: Sequence[WindowBurnRate]
    counts: Sequence[SlotCount]


def render_table(report: BurnReport) -> str:
    """Return aligned text with one line per pair and window."""
    rows = [HEADINGS, *(_cells(line) for line in report.lines)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def render_json(report: BurnReport) -> str:
    """Return a JSON object with the wall time and the burn rates."""
    lines = [asdict(line) | {"alert": line.alert} for line in report.lines]
    return json.dumps({"wall_time": report.wall_time, "lines": lines}, indent=2)


def render_html(report: BurnReport) -> str:
    """Return a self-contained HTML page with a table and a plot per pair."""
    headings = "".join(f"<th>{heading}" for heading in HEADINGS)
    rows = "".join(_html_row(line) for line in report.lines)
    plots = "".join(_plot(report, pair) for pair in _pairs(report))
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Burn report</title><style>{STYLE}</style><h1>Burn report</h1>"
        f"<table><tr>{headings}</tr>{rows}</table>{plots}</html>\n"
    )


RENDERERS: dict[str, Callable[[BurnReport], str]] = {
    "table": render_table,
    "json": render_json,
    "html": render_html,
}


def _cells(line: WindowBurnRate) -> tuple[str, ...]:
    return (
        line.pair.work_class,
        line.pair.organisation,
        line.window,
        f"{line.short_rate:.2f}",
        f"{line.long_rate:.2f}",
        str(line.requests),
        "alert" if line.alert else "",
    )


def _html_row(line: WindowBurnRate) -> str:
    cells = "".join(f"<td>{escape(cell)}" for cell in _cells(line))
    mark = ' class="alert"' if line.alert else ""
    return f"<tr{mark}>{cells}</tr>"


def _pairs(report: BurnReport) -> list[Pair]:
    return sorted({line.pair for line in report.lines})


def _plot(report: BurnReport, pair: Pair) -> str:
    by_slot: defaultdict[int, list[SlotCount]] = defaultdict(list)
    for count in report.counts:
        if count.pair == pair:
            by_slot[count.slot].append(count)
    first, last = min(by_slot), int(report.wall_time // SLOT_DURATION)
    rates = [
        _slot_rate(by_slot[slot], report.targets[pair.work_class])
        for slot in range(first, last + 1)
    ]
    highest = max(*rates, 1.0)
    step = PLOT_WIDTH / max(len(rates) - 1, 1)
    points = " ".join(
        f"{index * step:.1f},{PLOT_HEIGHT - rate / highest * PLOT_HEIGHT:.1f}"
        for index, rate in enumerate(rates)
    )
    title = escape(f"{pair.work_class}, {pair.organisation}: burn rate, up to")
    return (
        f'<h2>{title} {highest:.1f}</h2><svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" '
        f'role="img"><polyline points="{points}"/></svg>'
    )


def _slot_rate(counts: list[SlotCount], target: float) -> float:
    good = sum(count.good for count in counts)
    total = sum(count.total for count in counts)
    return burn_rate(total - good, total, target)
