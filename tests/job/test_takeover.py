"""Test what an entry concludes before it knows the jobs of its new shard."""

from __future__ import annotations

from .world import SHARD, World


def owner(world: World):
    """Return the entry that owns the shard."""
    return next(
        e for e in world.entries.values() if e.alive and e.shard.scheduler.owning
    )


def take_over(world: World):
    """Kill the owner of the shard, and return the next one once it owns the shard."""
    world.kill_entry(owner(world).name)
    (other,) = (e for e in world.entries.values() if e.alive)
    while not other.shard.scheduler.owning:
        world.advance(0.5)
    return other


def test_new_owner_stops_no_task_before_it_has_read_the_jobs():
    """Guard against a takeover that ends the running tasks of jobs not yet read."""
    world = World(agents=1)
    world.advance(2)
    job_id = world.submit(tasks=1, accelerators=4)
    world.advance(8)
    agent = world.agents["w0"]
    world.fails_job_reads = True
    new = take_over(world)
    assert not new.shard.scheduler.jobs
    world.detach(new.name, agent.name)
    world.attach(new.name, agent.name)
    world.run()
    world.advance(2)
    assert agent.running
    world.fails_job_reads = False
    world.advance(10)
    world.finish_all()
    world.advance(5)
    assert world.ended_state(job_id) == "completed"
    assert len(world.started) == 1


def test_new_owner_stops_tasks_of_no_job_once_it_has_read_the_jobs():
    """Guard against a task that runs on although its job has ended."""
    world = World(agents=1)
    world.advance(2)
    job_id = world.submit(tasks=1, accelerators=4)
    world.advance(8)
    agent = world.agents["w0"]
    del world.rows[f"job/{SHARD}/{job_id}"], world.accepted[job_id]
    new = take_over(world)
    assert agent.running
    world.detach(new.name, agent.name)
    world.attach(new.name, agent.name)
    world.run()
    world.advance(1)
    assert not agent.running
