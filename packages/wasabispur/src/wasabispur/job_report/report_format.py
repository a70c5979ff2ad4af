"""Return a service account as JSON or as tables."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from wasabispur_core.workload.jobs.progress import JobState

from ..command_line import format_table
from .log_reader import ReadCounts
from .log_record import UnreadLine
from .service_account import Grouping, ServiceAccount
from .service_group import Sample, ServiceGroup

JOB_COLUMNS = (
    "accepted",
    "rejected",
    "uncertain",
    "completed",
    "failed",
    "cancelled",
    "open",
    "wait_median",
    "wait_0.95",
    "wait_maximum",
)
WORK_COLUMNS = (
    "runs",
    "stops",
    "lost",
    "overhead",
    "expected_error",
    "declared_error",
)
DETAIL_COLUMNS = ("what", "cause", "value")
LOG_COLUMNS = ("lines", "count")

NO_VALUE = "-"


def report_value(
    account: ServiceAccount, counts: ReadCounts, groupings: Sequence[Grouping]
) -> dict[str, Any]:
    """Return the report as a JSON value."""
    value: dict[str, Any] = {"log": _log_value(account, counts)}
    for grouping in groupings:
        value[_key(grouping)] = [
            {"name": name} | _group_value(group, grouping)
            for name, group in sorted(account.groups[grouping].items())
        ]
    return value


def format_report(
    account: ServiceAccount, counts: ReadCounts, groupings: Sequence[Grouping]
) -> str:
    """Return the report as tables of text."""
    value = report_value(account, counts, groupings)
    parts = [
        format_table(
            [{"lines": name, "count": count} for name, count in value["log"].items()],
            LOG_COLUMNS,
        )
    ]
    for grouping in groupings:
        parts += _tables(_key(grouping), value[_key(grouping)], grouping)
    return "\n\n".join(parts)


def _key(grouping: Grouping) -> str:
    return f"{grouping.value.replace('-', '_')}s"


def _log_value(account: ServiceAccount, counts: ReadCounts) -> dict[str, int]:
    return {
        "records": counts.records,
        "not_json": counts.unread[UnreadLine.NOT_JSON],
        "no_log_record": counts.unread[UnreadLine.NO_RECORD],
        "invalid_records": counts.unread[UnreadLine.INVALID],
        "records_not_written": account.dropped,
        "records_on_closed_jobs": account.late,
        "jobs_closed_early": account.closed_early,
    }


def _group_value(group: ServiceGroup, grouping: Grouping) -> dict[str, Any]:
    work: dict[str, Any] = {
        "runs": group.runs,
        "stops": dict(sorted(group.stops.items())),
        "lost_core_seconds": _rounded(group.lost),
        "overhead_core_seconds": _rounded(group.overhead),
        "expected_error_median": _round(group.expected_errors.median, 3),
        "declared_error_median": _round(group.declared_errors.median, 3),
    }
    if grouping is Grouping.DATA_CENTRE:
        return work
    return {
        # First, so that a state in a log can't replace one of the report's own keys.
        **{state: group.ended[state] for state in _end_states(group)},
        "accepted": group.accepted,
        "rejected": dict(sorted(group.rejected.items())),
        "uncertain": group.uncertain,
        "open": group.open,
        "wait_seconds": _wait_value(group.waits),
        **work,
        "runs_by_data_centre": dict(sorted(group.data_centres.items())),
    }


def _end_states(group: ServiceGroup) -> list[str]:
    known = [state.value for state in JobState if state.ended]
    return known + sorted(set(group.ended) - set(known))


def _wait_value(waits: Sample) -> dict[str, float | int | None]:
    return {
        "jobs": waits.count,
        "median": _round(waits.median, 3),
        "quantile_0.95": _round(waits.high, 3),
        "maximum": _round(waits.maximum, 3),
    }


def _rounded(waste: Mapping[str, float]) -> dict[str, float]:
    return {cause: round(value, 1) for cause, value in sorted(waste.items()) if value}


def _round(value: float | None, digits: int) -> float | None:
    return None if value is None else round(value, digits)


def _tables(title: str, groups: list[dict[str, Any]], grouping: Grouping) -> list[str]:
    """Return the tables of one grouping: jobs, work, and what has a cause."""
    column = grouping.value.replace("-", "_")
    rows = [{column: _printable(group["name"])} | _row(group) for group in groups]
    if not rows:
        return [f"no {title.replace('_', ' ')}"]
    tables = [format_table(rows, (column, *WORK_COLUMNS))]
    if grouping is not Grouping.DATA_CENTRE:
        tables.insert(0, format_table(rows, (column, *JOB_COLUMNS)))
    details = [
        {column: _printable(group["name"])} | detail
        for group in groups
        for detail in _details(group)
    ]
    if details:
        tables.append(format_table(details, (column, *DETAIL_COLUMNS)))
    return tables


def _row(group: dict[str, Any]) -> dict[str, Any]:
    row = dict(group) | {
        "stops": sum(group["stops"].values()),
        "lost": round(sum(group["lost_core_seconds"].values()), 1),
        "overhead": round(sum(group["overhead_core_seconds"].values()), 1),
        "expected_error": _percent(group["expected_error_median"]),
        "declared_error": _percent(group["declared_error_median"]),
    }
    if "wait_seconds" in group:
        waits = group["wait_seconds"]
        row |= {
            "rejected": sum(group["rejected"].values()),
            "wait_median": _seconds(waits["median"]),
            "wait_0.95": _seconds(waits["quantile_0.95"]),
            "wait_maximum": _seconds(waits["maximum"]),
        }
    return row


def _details(group: dict[str, Any]) -> list[dict[str, Any]]:
    sources = {
        "jobs rejected": group.get("rejected", {}),
        "stops": group["stops"],
        "lost core-seconds": group["lost_core_seconds"],
        "overhead core-seconds": group["overhead_core_seconds"],
        "runs in data centre": group.get("runs_by_data_centre", {}),
    }
    return [
        {"what": what, "cause": _printable(cause), "value": value}
        for what, values in sources.items()
        for cause, value in values.items()
    ]


def _printable(name: str) -> str:
    """Return a name without characters that would control the terminal."""
    return "".join(one if one.isprintable() else "?" for one in name)


def _percent(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:.1%}"


def _seconds(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:.2f}"
