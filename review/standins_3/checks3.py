"""Check the record of a case."""

from __future__ import annotations

from site3 import Record


def repeated_tasks(record: Record) -> list[str]:
    """Return the tasks that were started after their end had been taken note of."""
    noted: dict[str, float] = {}
    for at, run in record.find("noted", how="done"):
        noted.setdefault(run["task"], at)
    return [
        f"TWICE: run {run['run']} of {run['task']} starts {at - noted[run['task']]:.1f}"
        " s after the end of another one was taken note of"
        for at, run in record.find("start")
        if at > noted.get(run["task"], at)
    ]
