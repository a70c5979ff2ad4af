"""Test a cordon by the command line on real processes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from tests.bundle.operators import content

from wasabispur_core.bundles.bundle import canonical_json
from wasabispur_runtime.process import ExitCode

from .bundle_system import run_command
from .job_system import JobSystem, wait_for

IN_FORCE_WITHIN = 5.0
"""Seconds within which G8 requires an accepted bundle in every process."""

WAITED = 20.0
"""Seconds for which the running job lasts, longer than the commands that cordon."""


class Operators:
    """Run commands of three operators against one entry."""

    def __init__(self, folder: Path, system: JobSystem) -> None:
        self.folder = folder
        self.system = system
        for name in ("ada", "ben", "cleo"):
            path = str(folder / f"{name}.pem")
            system.operators.append(
                self.run("key", "generate", path, "--operator", name)
            )

    def run(self, *arguments: str) -> dict[str, Any]:
        done = run_command(*arguments)
        assert done.returncode == 0, done.stderr
        value: dict[str, Any] = json.loads(done.stdout)
        return value

    def ask(self, *arguments: str) -> dict[str, Any]:
        return self.run(*arguments, *self.entry())

    def entry(self) -> tuple[str, ...]:
        url = f"http://127.0.0.1:{self.system.http['e0']}"
        return ("--entry", url, "--output", "json")

    def accept(self, change: dict[str, Any]) -> None:
        """Review, sign off and accept a change of ada."""
        change_id = change["change_id"]
        key = str(self.folder / "ben.pem")
        self.ask("bundle", "review", change_id, "--operator", "cleo")
        self.ask("bundle", "sign-off", change_id, "--operator", "ben", "--key", key)
        self.ask("bundle", "accept", change_id, "--operator", "ada")


def bundle_versions(system: JobSystem) -> list[int]:
    """Return the bundle versions in force in the processes that the entry knows."""
    answer = system.call(system.http["e0"], "GET", "/v1/members") or {"members": []}
    return [member["bundle_version"] for member in answer["members"]]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[JobSystem]:
    jobs = JobSystem(tmp_path)
    try:
        yield jobs
    finally:
        jobs.close()


def test_cordoned_data_centre_finishes_its_runs_and_starts_none(system, tmp_path):
    """Guard against a cordon that one of the processes doesn't pass on or obey."""
    operators = Operators(tmp_path, system)
    system.start(entries=1, workers=2)
    path = tmp_path / "content.json"
    path.write_text(canonical_json(content()))
    ada = ("--operator", "ada")
    wait_for(lambda: len(bundle_versions(system)) == 3, 30, "all processes")
    operators.accept(operators.ask("bundle", "propose", str(path), *ada))
    running = system.submit("e0", WAITED, tasks=2, accelerators=4)
    system.wait_state("e0", running, "running", 30)
    operators.accept(operators.ask("cordon", "dc1", *ada))
    assert system.job("e0", running)["state"] == "running"
    wait_for(
        lambda: bundle_versions(system) == [2, 2, 2],
        IN_FORCE_WITHIN,
        "the cordon in all processes",
    )
    cordons = operators.ask("cordons")["cordons"]
    assert cordons == [{"data_centre": "dc1", "processes": 3, "behind": 0}]
    again = run_command("cordon", "dc1", *ada, *operators.entry())
    assert again.returncode == ExitCode.CONFLICT
    waiting = system.submit("e0", 0.5, tasks=2, accelerators=4)
    system.wait_state("e0", running, "completed", WAITED + 20)
    wait_for(
        lambda: "cordoned" in operators.ask("job", "explain", waiting)["cause"],
        20,
        "the explanation",
    )
    assert system.starts(waiting) == []
    operators.accept(operators.ask("uncordon", "dc1", *ada))
    system.wait_state("e0", waiting, "completed", 40)
    assert len(system.starts(waiting)) == 2
