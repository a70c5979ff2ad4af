"""Test when an agent takes a worker as unreachable."""

from __future__ import annotations

from wasabispur_core.log_event import RUN_REFUSED, WORKER_UNREACHABLE
from wasabispur_core.workload.agent.runner_message import ListRuns, StartRun, WorkerCall
from wasabispur_core.workload.agent.worker_contact import DEAD_AFTER_REFUSALS

from .test_restarted_agent import records
from .world import Process, started_world, tasks, World


def lose_answers(world: World, kinds: list[type[WorkerCall]]) -> None:
    """Lose the answers to the next calls of these kinds, in this order."""
    call_worker = world.call_worker

    def call(agent: Process, command: WorkerCall) -> None:
        if kinds and isinstance(command, kinds[0]):
            kinds.pop(0)
            world.lost_answers.add(command.worker_id)
        call_worker(agent, command)
        world.lost_answers.clear()

    world.call_worker = call  # type: ignore[method-assign]


def test_worker_stays_reachable_through_one_lost_answer():
    """Guard against a worker whose room is gone after one lost answer."""
    world = started_world(workers=1)
    lose_answers(world, [ListRuns])
    world.advance(2)
    assert not records(world.agents.values(), WORKER_UNREACHABLE)


def test_restarted_agent_takes_its_worker_as_reachable_after_one_lost_answer():
    """Guard against a restart that makes a worker unreachable by its first request."""
    world = started_world(workers=1)
    lose_answers(world, [ListRuns])
    world.kill_agent(0)
    world.advance(3)
    assert not records(world.agents.values(), WORKER_UNREACHABLE)


def test_start_is_not_refused_after_one_lost_answer():
    """Guard against a start that is refused since the lists had one lost answer."""
    world = started_world(workers=1)
    lose_answers(world, [ListRuns, StartRun])
    world.advance(0.1)
    world.submit(tasks(1))
    world.advance(4)
    assert not records(world.agents.values(), RUN_REFUSED)
    assert [run for _, _, run, _ in world.starts] == [1]


def test_worker_is_unreachable_after_two_lost_answers():
    """Guard against units that are placed on a worker that answers nothing."""
    world = started_world(workers=1)
    lose_answers(world, [ListRuns, ListRuns])
    world.advance(2)
    assert len(records(world.agents.values(), WORKER_UNREACHABLE)) == 1
    assert all(worker.reachable for worker in _local_workers(world))


def test_lost_answers_with_an_answer_between_them_are_not_counted_together():
    """Guard against lost answers that add up over the lifetime of an agent."""
    world = started_world(workers=1)
    for _ in range(3):
        lose_answers(world, [ListRuns])
        world.advance(2)
    assert not records(world.agents.values(), WORKER_UNREACHABLE)


def test_worker_is_unreachable_after_a_lost_answer_and_a_refused_connection():
    """Guard against units that are placed on a worker whose process has ended."""
    world = started_world(workers=1)
    world.workers["w0"].up = False
    world.advance(1)
    worker = _local_workers(world)[0]
    assert worker.refused_connections < DEAD_AFTER_REFUSALS
    assert not worker.reachable


def test_refused_connections_are_counted_as_before():
    """Guard against a dead process that is noticed later than its refusals show."""
    world = started_world(workers=1)
    world.workers["w0"].up = False
    # The poll in flight when the process ends is not answered, and not refused.
    world.advance(1.5)
    worker = _local_workers(world)[0]
    assert worker.refused_connections >= DEAD_AFTER_REFUSALS
    assert not worker.reachable


def _local_workers(world: World):
    return [
        worker
        for agent in world.agents.values()
        for worker in agent.state.workers.values()
    ]
