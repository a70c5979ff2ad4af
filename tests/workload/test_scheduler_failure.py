"""Test that unexpected errors of the scheduler end neither its lease nor its work."""

from __future__ import annotations

from wasabispur_core.log_event import SCHEDULER_FAILED, SCHEDULER_RELOADED
from wasabispur_core.workload.owner import scheduler

from .world import tasks, World


def failing_world() -> World:
    world = World()
    world.scheduler_may_fail = True
    world.advance(4)
    return world


def test_failing_planner_does_not_end_the_ownership(monkeypatch):
    """Guard against a job whose planning fails at one owner after another.

    The error ended the tick of the shard, which renews the lease, so that the process
    never owned the shard again.
    """
    world = failing_world()
    owner = world.owner()
    epoch = owner.fleet.epoch

    def fail(*arguments):
        raise ZeroDivisionError("planted")

    with monkeypatch.context() as patch:
        patch.setattr(scheduler, "take_snapshot", fail)
        world.submit(tasks(2), job_id="a" * 16)
        world.advance(6)
        assert SCHEDULER_FAILED.number in owner.logs
        assert world.owner() is owner
        assert owner.fleet.epoch == epoch
    world.advance(6)
    assert world.ended("a" * 16)


def test_faulty_state_is_read_again_from_the_store():
    """Guard against an owner that renews its lease but can't do anything else."""
    world = failing_world()
    world.submit(tasks(2), job_id="a" * 16)
    world.advance(1)
    owner = world.owner()
    owner.fleet.workers["w0"].info = None
    world.advance(8)
    assert SCHEDULER_RELOADED.number in owner.logs
    assert world.owner() is owner
    world.submit(tasks(1), job_id="b" * 16)
    world.advance(6)
    assert world.ended("a" * 16)
    assert world.ended("b" * 16)
