"""Test the order in which jobs run, and the handling of failures."""

from __future__ import annotations

import pytest

from wasabispur_core.jobs import backfill
from wasabispur_core.jobs.job_placement import PolicyChanged
from wasabispur_core.jobs.job_record import job_key, JobRecord, JobSpec
from wasabispur_core.jobs.job_run_time import (
    job_kind,
    new_run_times,
    record_job,
    UNKNOWN_RUN_TIME,
)
from wasabispur_core.jobs.worker_health import HealthTracker, QUARANTINE_TIME

from .world import SHARD, World


def jobs_running(world: World) -> set[str]:
    return {job for job, _, _ in world.running_tasks()}


def set_quota(world: World, **quotas: int) -> None:
    for entry in world.entries.values():
        world.post(entry, PolicyChanged(quotas=quotas))
    world.run()


def test_quota_limits_the_accelerators_of_an_organisation():
    """Guard against an organisation that uses more accelerators than its quota."""
    world = World()
    set_quota(world, peachtree=4)
    first = world.submit(accelerators=4)
    world.submit(accelerators=4)
    other = world.submit(organisation="prairie", accelerators=4)
    world.advance(10)
    assert jobs_running(world) == {first, other}
    world.settle()


def test_job_above_its_quota_is_rejected():
    """Guard against a job that waits forever because it exceeds its quota."""
    world = World()
    set_quota(world, peachtree=4)
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(10)
    assert world.ended_state(job_id) == "rejected"


def run_small_jobs_beside_a_gang(rounds: int = 12) -> tuple[World, str]:
    """Keep the fleet busy with small jobs while a gang that needs all of it waits."""
    world = World()
    small = [world.submit(accelerators=4, estimate=600.0) for _ in range(3)]
    world.advance(8)
    gang = world.submit(tasks=3, accelerators=4, estimate=600.0)
    world.advance(8)
    for _ in range(rounds):
        agent = next(a for a in world.agents.values() if a.running)
        if gang in jobs_running(world):
            break
        world.finish(agent, next(iter(agent.running)))
        small.append(world.submit(accelerators=4, estimate=600.0))
        world.advance(10)
        if not world.running_tasks():
            break
    return world, gang


def test_large_gang_is_not_starved_by_small_jobs():
    """Guard against a gang that waits while later small jobs run."""
    world, gang = run_small_jobs_beside_a_gang()
    world.advance(10)
    assert jobs_running(world) == {gang}


def test_large_gang_starves_without_the_reservation(monkeypatch):
    """Show that the gang does not run without a reservation."""
    monkeypatch.setattr(backfill, "RESERVATION_LIMIT", 0)
    world, gang = run_small_jobs_beside_a_gang()
    assert gang not in jobs_running(world)


def test_short_job_is_backfilled_before_a_reservation():
    """Guard against reserved accelerators that stay idle until the gang can start."""
    world = World()
    world.submit(tasks=2, accelerators=4, estimate=3600.0)
    world.advance(8)
    world.submit(tasks=3, accelerators=4, estimate=600.0)
    short = world.submit(accelerators=4, estimate=60.0, work_class="label")
    world.submit(accelerators=4, estimate=7200.0, work_class="batch")
    world.advance(10)
    assert short in jobs_running(world)
    assert len(jobs_running(world)) == 2


def test_expected_run_time_follows_completed_jobs():
    """Guard against the use of declared estimates that are wrong by a factor of ten."""

    def record(
        job_id="new", organisation="peachtree", work_class="label", estimate=0.0
    ):
        spec = JobSpec(
            organisation=organisation,
            work_class=work_class,
            command="",
            estimate=estimate,
        )
        return JobRecord(job_id=job_id, shard="a1", spec=spec)

    times = new_run_times()
    declared = job_kind(record(estimate=100.0))
    assert times.expected(declared) == 100.0
    for number in range(3):
        record_job(times, record(f"j{number}", estimate=100.0), 1000.0)
    assert times.expected(declared) > 300.0
    for number in range(3, 20):
        record_job(times, record(f"j{number}", estimate=100.0), 1000.0)
    assert times.expected(declared) == pytest.approx(1000.0, rel=0.1)
    assert times.expected(job_kind(record())) == pytest.approx(1000.0)
    other = job_kind(record(organisation="prairie"))
    assert times.expected(other) == pytest.approx(1000.0)
    unknown = job_kind(record(work_class="batch"))
    assert times.expected(unknown) == UNKNOWN_RUN_TIME


def fail_running(world: World, job_id: str) -> str:
    """Fail the job's only task and return its worker."""
    agent = next(
        a for a in world.agents.values() if any(t.startswith(job_id) for t in a.running)
    )
    world.finish(agent, next(iter(agent.running)), succeeded=False)
    world.advance(10)
    return agent.name


def test_failed_job_is_retried_on_other_workers_and_then_held():
    """Guard against a job that is retried forever, or on the same worker again."""
    world = World()
    job_id = world.submit(accelerators=4)
    world.advance(10)
    workers = {fail_running(world, job_id) for _ in range(3)}
    assert workers == {"w0", "w1", "w2"}
    assert world.rows[job_key(SHARD, job_id)].value["state"] == "held"
    for entry in list(world.entries):
        world.kill_entry(entry)
        world.restart_entry(entry)
    world.advance(40)
    assert not world.running_tasks()
    world.cancel(job_id)
    world.advance(10)
    assert world.ended_state(job_id) == "cancelled"


def fail(health: HealthTracker, worker: str, count: int) -> None:
    for number in range(count):
        health.record(worker, f"job{number}", False)


def test_failing_worker_is_quarantined_until_a_task_succeeds():
    """Guard against a broken worker that fails job after job, or never returns."""
    health = HealthTracker()
    fail(health, "w0", 4)
    assert health.update(6, 0.0) == {"w0"}
    assert health.update(6, QUARANTINE_TIME + 1) == frozenset()
    fail(health, "w0", 1)
    now = QUARANTINE_TIME + 2
    assert health.update(6, now) == {"w0"}
    assert health.update(6, now + 2 * QUARANTINE_TIME - 1) == {"w0"}
    assert health.update(6, now + 2 * QUARANTINE_TIME + 1) == frozenset()
    health.record("w0", "job9", True)
    fail(health, "w0", 1)
    assert health.update(6, now + 2 * QUARANTINE_TIME + 2) == frozenset()


@pytest.mark.parametrize("case", ["one job", "some succeed", "most workers"])
def test_quarantine_spares_workers_that_may_be_healthy(case):
    """Guard against a faulty job or a common cause that quarantines the whole fleet."""
    health = HealthTracker()
    if case == "one job":
        for _ in range(8):
            health.record("w0", "job", False)
    if case == "some succeed":
        fail(health, "w0", 6)
        health.record("w0", "good", True)
    if case == "most workers":
        for worker in ("w0", "w1", "w2", "w3", "w4", "w5"):
            fail(health, worker, 6)
    assert len(health.update(6, 0.0)) <= (2 if case == "most workers" else 0)
