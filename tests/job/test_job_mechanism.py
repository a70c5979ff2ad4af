"""Show that each mechanism of the job scheduler is needed.

Each scenario passes with its mechanism and violates the named invariant once the
mechanism is disabled.
"""

from __future__ import annotations

from contextlib import contextmanager

import pytest

from wasabispur_core.action import holds, perform
from wasabispur_core.jobs import (
    gang,
    job_action,
    job_guard,
    job_queue,
    task,
    task_action,
)
from wasabispur_core.jobs.fleet import Fleet
from wasabispur_core.jobs.job import Job
from wasabispur_core.protocol import JobSubmitted, Reason, StopTask
from wasabispur_core.requests.permit import FromEntry
from wasabispur_core.sharding import ownership_action, ownership_write

from .world import SHARD, World


def owner(world: World):
    return next(e for e in world.entries.values() if e.shard.scheduler.owning)


def submit_now(world: World, **fields) -> str:
    """Submit a job and notify the owner at once."""
    job_id = world.submit(**fields)
    world.post(owner(world), JobSubmitted(shard=SHARD, job_id=job_id))
    world.run()
    return job_id


def running_job(world: World, **fields):
    """Return the agent that runs a new job of one task."""
    submit_now(world, tasks=1, accelerators=4, **fields)
    return next(agent for agent in world.agents.values() if agent.running)


def isolate_agent(world: World, agent) -> None:
    for entry in world.entries:
        world.block(entry, agent.name)


def ready_world(**fields) -> World:
    world = World(**fields)
    world.advance(2)
    return world


def silent_worker():
    """Isolate the agent of a running job for longer than the task lease."""
    world = ready_world()
    isolate_agent(world, running_job(world))
    world.advance(60)
    assert len(world.started) == 2
    world.settle()


def late_renewal():
    """Deliver a delayed renewal just before the end of the lease that it extends."""
    world = ready_world()
    agent = running_job(world)
    while owner(world).shard.scheduler.next_renewal - world.now > 1.5:
        world.advance(0.5)
    isolate_agent(world, agent)
    world.advance(10)
    assert world.held
    for target, message in world.held:
        world.post(target, message)
    world.run()
    world.advance(40)
    world.settle()


def stop_from_former_owner():
    """Deliver a former owner's stop after the next owner adopted the gang."""
    world = ready_world()
    agent = running_job(world)
    former = owner(world)
    task_id = next(iter(agent.running))
    stop = StopTask(
        task_id=task_id,
        shard=SHARD,
        shard_epoch=former.shard.scheduler.lease.epoch,
        gang_epoch=1,
        reason=Reason.CANCELLED,
    )
    world.pause(former)
    world.advance(20)
    world.post(agent, FromEntry(entry_id=former.name, message=stop))
    world.run()
    assert agent.running, "epoch: a former owner stops a task"
    world.settle()


def late_write_of_former_owner():
    """Apply a former owner's write after the job completed under the next one."""
    world = ready_world()
    former = owner(world)
    world.delay_writes = 1
    job_id = submit_now(world, tasks=1, accelerators=4)
    world.pause(former)
    world.advance(20)
    world.finish_all()
    world.advance(2)
    assert world.ended_state(job_id) == "completed"
    for transaction in world.late_writes:
        world.apply(transaction)
    world.resume(former)
    world.advance(40)
    world.settle()


def lost_reservation():
    """Lose the reservation of one member of a gang."""
    world = ready_world(agents=2)
    isolate_agent(world, world.agents["w0"])
    submit_now(world, tasks=2, accelerators=4)
    world.advance(40)
    world.settle()


def two_jobs_for_one_worker():
    """Submit two jobs that each fill the only worker."""
    world = ready_world(agents=1)
    submit_now(world, tasks=1, accelerators=4)
    submit_now(world, tasks=1, accelerators=4)
    world.advance(10)
    world.settle()


def silent_at_most_once_worker():
    """Isolate the agent of an at-most-once job for longer than the task lease."""
    world = ready_world()
    isolate_agent(world, running_job(world, at_most_once=True))
    world.advance(60)
    assert len(world.started) == 1
    world.settle()


def owner_dies_after_result():
    """Lose the owner and the agent's machine after a result was accepted."""
    world = ready_world()
    agent = running_job(world)
    world.finish_all()
    world.advance(2)
    world.kill_entry(owner(world).name)
    world.kill_agent(agent.name, machine=True)
    world.restart_agent(agent.name)
    world.advance(40)
    world.settle()


def owner_without_store_renews():
    """Let an owner without the store renew an agent that the next owner can't reach."""
    world = ready_world()
    agent = running_job(world)
    former = owner(world)
    other = next(e for e in world.entries.values() if e is not former)
    world.store_cut = {former.name}
    world.block(other.name, agent.name)
    world.advance(60)
    assert other.shard.scheduler.owning
    assert agent.running
    world.settle()


@contextmanager
def replace_handler(dispatch, cls, function):
    """Replace the registered handler of an action or guard."""
    original = dispatch.registry[cls]
    dispatch.register(cls, function)
    try:
        yield
    finally:
        dispatch.register(cls, original)


@contextmanager
def replace_attribute(owner_of, name, value):
    """Replace an attribute until the context ends."""
    patch = pytest.MonkeyPatch()
    patch.setattr(owner_of, name, value)
    try:
        yield
    finally:
        patch.undo()


def lease_from_receipt(action):
    action.subject.expiry = action.now + action.message.lease
    return [task_action._lease_timer(action)]


def without_conditions(original):
    def send(state, rows, now):
        original(state, rows, now)
        fields = {"operation_id": state.in_flight.operation_id, "conditions": ()}
        writes = state.in_flight.writes
        state.in_flight = type(state.in_flight)(**fields, writes=writes)
        return [ownership_write.Transact(transaction=state.in_flight)]

    return send


def archive_with_rows(keep):
    """Return an archive_record that drops the rows for which keep is false."""

    def archive_record(scheduler, job, record):
        commands = gang.archive_record(scheduler, job, record)
        return [c for c in commands if not hasattr(c, "key") or keep(c)]

    return archive_record


def early_bound(clock):
    return clock.received + 1.0


MECHANISMS = [
    (
        "single_run",
        silent_worker,
        lambda: (
            replace_attribute(job_queue, "lease_bound", early_bound),
            replace_attribute(job_action, "lease_bound", early_bound),
        ),
    ),
    (
        "single_run",
        late_renewal,
        lambda: (
            replace_handler(perform, task_action.ExtendLease, lease_from_receipt),
        ),
    ),
    (
        "epoch",
        stop_from_former_owner,
        lambda: (replace_attribute(task, "is_stale", lambda *_: False),),
    ),
    (
        "result",
        late_write_of_former_owner,
        lambda: tuple(
            replace_attribute(module, "send", without_conditions(ownership_write.send))
            for module in (ownership_action, ownership_write)
        ),
    ),
    (
        "gang",
        lost_reservation,
        lambda: (replace_handler(holds, job_guard.AllReserved, lambda guard: True),),
    ),
    (
        "accelerator",
        two_jobs_for_one_worker,
        lambda: (replace_attribute(Fleet, "hold", lambda *_: None),),
    ),
    (
        "at_most_once",
        silent_at_most_once_worker,
        lambda: (
            replace_attribute(
                Job, "requires_end_confirmation", property(lambda job: False)
            ),
        ),
    ),
    (
        "job",
        owner_dies_after_result,
        lambda: (
            replace_attribute(
                job_action,
                "archive_record",
                archive_with_rows(lambda c: c.value is None),
            ),
        ),
    ),
    (
        "result",
        owner_dies_after_result,
        lambda: (
            replace_attribute(
                job_action,
                "archive_record",
                archive_with_rows(lambda c: c.value is not None),
            ),
        ),
    ),
    (
        "single_run",
        owner_without_store_renews,
        lambda: (
            replace_attribute(
                job_action,
                "adopted_lease_bound",
                lambda scheduler: scheduler.acquired_at,
            ),
        ),
    ),
]
IDS = [f"{name}-{scenario.__name__}" for name, scenario, _ in MECHANISMS]


@pytest.mark.parametrize(("invariant", "scenario", "off"), MECHANISMS, ids=IDS)
def test_invariant_fails_without_mechanism(invariant, scenario, off):
    """Guard against an invariant check that passes without the mechanism."""
    scenario()
    replaced = off()
    for context in replaced:
        context.__enter__()
    try:
        with pytest.raises(AssertionError) as failure:
            scenario()
    finally:
        for context in replaced:
            context.__exit__(None, None, None)
    assert str(failure.value).startswith(f"{invariant}:")
