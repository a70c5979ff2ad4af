"""Test the checks of agents, and what the owner makes of the reports in the fleet."""

from __future__ import annotations

import pytest

from wasabispur_core.log_event import (
    HEALTH_SIGNAL_DISREGARDED,
    WORKER_HEALTH_ANSWERED,
    WORKER_TRUST_CHANGED,
)
from wasabispur_core.workload.agent.health_check import (
    CheckHealth,
    HealthAnswered,
    HealthCheckDue,
)
from wasabispur_core.workload.agent.runner import decide
from wasabispur_core.workload.planning.plan import Trust
from wasabispur_core.workload.policies.policy import FleetPolicy, PolicyChanged
from wasabispur_core.workload.rows import pack, report_key, unpack
from wasabispur_core.workload.workers.worker import EndKind, HealthAnswer, WorkerReport
from wasabispur_core.workload.workers.worker_health import UNKNOWN_TIME
from wasabispur_core.workload.workers.worker_trust import trust_level, update_trust

from .world import gang, POLICY, started_world, tasks, World

UNHEALTHY = HealthAnswer.UNHEALTHY


def checked_world(*unhealthy: str, **fields) -> World:
    """Return a world with health checks, in which some workers answer as unhealthy."""
    world = started_world(health_checks=True, **fields)
    for worker_id in unhealthy:
        world.workers[worker_id].health = UNHEALTHY
    world.advance(1.5)
    return world


def trust(world: World, worker_id: str) -> Trust:
    fleet = world.owner().fleet
    return trust_level(fleet.workers[worker_id], world.timers.now())


def requests(agent, message) -> list[CheckHealth]:
    """Return the checks that an agent requests after a message."""
    commands = decide(message, agent.state, agent.world.timers.now())
    return [one for one in commands if isinstance(one, CheckHealth)]


def test_agent_makes_one_check_at_a_time_at_the_configured_path():
    """Guard against checks that pile up at a worker that hangs, or at a wrong path."""
    agent = checked_world().agents["agent-0"]
    due = HealthCheckDue(worker_id="w0")
    assert [check.path for check in requests(agent, due)] == ["/health"]
    assert requests(agent, due) == []
    answer = HealthAnswered(
        worker_id="w0", incarnation="1", answer=HealthAnswer.HEALTHY
    )
    decide(answer, agent.state, agent.world.timers.now())
    without_path = FleetPolicy(version=POLICY.version + 1)
    decide(PolicyChanged(policy=without_path), agent.state, agent.world.timers.now())
    assert requests(agent, due) == []
    assert agent.state.health_checks["w0"].answer is HealthAnswer.UNKNOWN


def test_change_is_reported_at_once_and_logged_rarely():
    """Guard against a late report of an unhealthy worker, and a flood of lines."""
    world = checked_world()
    worker, agent = world.workers["w0"], world.agents["agent-0"]
    world.advance(10)
    for health in 4 * (UNHEALTHY, HealthAnswer.HEALTHY):
        worker.health = health
        world.advance(0.75)
        known = world.owner().fleet.workers["w0"].health
        assert known.answer is health
        assert world.timers.now() - known.since <= 0.75
    assert agent.logs.count(WORKER_HEALTH_ANSWERED.number) <= 2
    assert world.owner().logs.count(WORKER_TRUST_CHANGED.number) == 1


def test_report_without_checks_is_as_before():
    """Guard against rows that differ where the feature is disabled."""
    world = started_world()
    world.advance(2)
    row = world.store.rows[report_key("w0")].value
    assert not {"health", "health_age"} & row.keys()
    report = unpack(WorkerReport, row).unwrap()
    assert report.health is HealthAnswer.UNKNOWN
    assert pack(report) == row
    assert not world.owner().fleet.workers["w0"].health.checked
    later = unpack(WorkerReport, {**row, "health": "tired"}).unwrap()
    assert later.health is HealthAnswer.UNKNOWN, "an answer of a later version"
    assert unpack(WorkerReport, {**row, "health_age": -1.0}).value_or(None) is None


def test_gang_gets_no_member_on_an_unhealthy_worker():
    """Guard against a gang that fails with one faulty worker beside healthy ones."""
    world = checked_world("w0")
    world.workers["w0"].fails_runs = True
    job = world.submit(gang(3, accelerators=8), duration=2.0)
    world.advance(6)
    assert world.ended(job)
    assert job not in {task.partition(".")[0] for task in world.failures}


def test_worker_with_false_answers_is_used_again():
    """Guard against capacity that is lost as long as a worker's answers are false."""
    world = checked_world("w0", workers=3)
    world.submit(tasks(24), duration=4.0)
    world.advance(3.5)
    assert world.workers["w0"].runs, "a single task tried it"
    assert trust(world, "w0") is Trust.FULL


def test_draining_is_no_fault_and_checks_may_end():
    """Guard against doubt in workers that are replaced, or that are not checked."""
    world = checked_world()
    for worker_id in ("w0", "w1"):
        world.workers[worker_id].draining = True
        world.advance(2)
        world.workers[worker_id].health = UNHEALTHY
    world.advance(2)
    owner = world.owner()
    assert HEALTH_SIGNAL_DISREGARDED.number not in owner.logs
    world.restart_worker(world.workers["w0"])
    world.workers["w0"].health = HealthAnswer.HEALTHY
    world.advance(1.5)
    assert trust(world, "w0") is Trust.FULL
    for agent in world.agents.values():
        agent.post(PolicyChanged(policy=FleetPolicy(version=POLICY.version + 1)))
    world.advance(UNKNOWN_TIME + 2)
    assert not any(worker.health.checked for worker in owner.fleet.workers.values())


@pytest.mark.parametrize("fault", ["owner", "agent", "store"])
def test_health_survives_faults(fault):
    """Guard against trust in a faulty worker after a process or the store failed."""
    world = checked_world("w0")
    if fault == "owner":
        world.kill_entry(world.entries.index(world.owner()))
        world.advance(6)
    elif fault == "agent":
        world.kill_agent(0)
        world.advance(2.5)
    else:
        world.store.down = True
        world.advance(2)
        assert trust(world, "w0") is Trust.DOUBTFUL
        world.store.down = False
        world.deliver_missed_rows()
        world.advance(2)
    assert trust(world, "w0") is Trust.DOUBTFUL
    world.workers["w0"].health = HealthAnswer.HEALTHY
    world.advance(4)
    assert trust(world, "w0") is Trust.FULL


def test_answers_of_half_of_the_fleet_are_disregarded():
    """Guard against a fleet that stands still because its health checks are wrong."""
    world = checked_world("w0", "w1")
    assert world.owner().logs.count(HEALTH_SIGNAL_DISREGARDED.number) == 1
    assert trust(world, "w0") is Trust.FULL
    job = world.submit(gang(4, accelerators=8), duration=1.0)
    world.advance(2.5)
    assert world.ended(job)


def test_worker_without_an_answer_is_unhealthy_only_with_a_fault():
    """Guard against doubt in a worker whose checks are lost but whose runs succeed."""
    world = checked_world()
    for worker in world.workers.values():
        worker.health = HealthAnswer.UNANSWERED
    world.advance(3)
    assert trust(world, "w0") is Trust.FULL
    world.workers["w0"].fails_runs = True
    world.submit(tasks(24, 1), duration=4.0)
    world.advance(2)
    assert trust(world, "w0") in (Trust.NONE, Trust.AVOIDED)


def running_units(jobs: int, tasks_per_job: int = 2) -> tuple[World, list]:
    """Return a world with checks and jobs of which each has a task on each worker."""
    world = checked_world(workers=4)
    step = tasks(tasks_per_job, accelerators=3, tasks_per_worker=1)
    ids = [world.submit(step, duration=60.0) for _ in range(jobs)]
    world.advance(1)
    return world, [world.owner().fleet.jobs[job_id] for job_id in ids]


def end_unit(world: World, unit, kind: EndKind, reason: str = "") -> str:
    """Apply an end of a unit's run to the trust in its worker, and return that."""
    fleet, worker_id = world.owner().fleet, unit.members[0].worker_ref.worker_id
    worker = fleet.workers[worker_id]
    update_trust(worker, unit, kind, fleet, world.timers.now(), reason)
    return worker_id


def test_job_with_tasks_that_run_elsewhere_is_not_the_cause():
    """Guard against faulty workers that are trusted again as each job fails on several.

    Each failure on a second worker cleared the first one, until all jobs had failed.
    """
    world, (job,) = running_units(jobs=1, tasks_per_job=3)
    first, second, third = job.units.values()
    third.members[0].started_at -= 1.0
    third.members[0].progress.percent = 5
    failed = {end_unit(world, one, EndKind.FAILED) for one in (first, second)}
    assert [trust(world, one) for one in failed] == 2 * [Trust.AVOIDED]


def test_worker_that_refuses_starts_in_succession_is_avoided():
    """Guard against a worker that answers as healthy and refuses each start."""
    world, (job,) = running_units(jobs=1)
    unit = next(iter(job.units.values()))
    worker_id = end_unit(world, unit, EndKind.REFUSED, "room")
    end_unit(world, unit, EndKind.REFUSED, "room")
    assert trust(world, worker_id) is Trust.FULL
    end_unit(world, unit, EndKind.REFUSED, "status 503")
    assert trust(world, worker_id) is Trust.FULL, "its report may have been behind"
    end_unit(world, unit, EndKind.REFUSED, "status 503")
    assert trust(world, worker_id) is Trust.AVOIDED
