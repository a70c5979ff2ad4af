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


def repeated_runs(record: Record) -> list[str]:
    """Return the runs that were started again after their end had been taken note of."""
    noted: dict[tuple[str, int], float] = {}
    for at, run in record.find("noted", how="done"):
        noted.setdefault((run["task"], run["run"]), at)
    problems: list[str] = []
    for at, run in record.find("start"):
        since = at - noted.get((run["task"], run["run"]), at)
        if since > 0:
            problems.append(
                f"TWICE: run {run['run']} of {run['task']} starts once more, {since:.1f}"
                " s after its end done was taken note of"
            )
    return problems


def overlapping_runs(record: Record) -> list[str]:
    """Return the tasks of which two runs were on executors that are up."""
    active: dict[str, set[tuple[int, str]]] = {}
    problems: list[str] = []
    for _, what, run in record.lines:
        if what == "executor" and run["event"] == "crashes":
            for runs in active.values():
                runs -= {one for one in runs if one[1] == run["name"]}
        if what not in ("start", "end"):
            continue
        runs = active.setdefault(run["task"], set())
        key = run["run"], run["on"]
        if what == "end":
            runs.discard(key)
            continue
        problems += [
            f"TWICE: run {run['run']} of {run['task']} starts on {run['on']} while run"
            f" {number} is on {name}"
            for number, name in runs
        ]
        runs.add(key)
    return problems
