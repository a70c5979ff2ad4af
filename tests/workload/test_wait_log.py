"""Test what the log tells of units that wait."""

from __future__ import annotations

from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.planning.plan import Wait, WaitReason
from wasabispur_core.workload.planning.wait_log import (
    log_wait,
    REPEATS_PER_SECOND,
    STEP_LINES_LIMIT,
)

from .world import gang, started_world, tasks


def test_long_wait_is_logged_with_its_rack_and_the_room_elsewhere():
    """Guard against "no room" in a log that doesn't tell a rack from a full fleet."""
    world = started_world(workers=4)
    world.submit(tasks(2, 8, data_rack="r1-0", long_running=True), duration=60)
    world.advance(1)
    job = world.submit(gang(1, 8, data_rack="r1-0"), duration=2)
    fleet = world.owner().fleet
    unit_id = UnitId(job, 0, 0, 0)
    world.advance(1)
    wait = Wait(unit_id=unit_id, reason=WaitReason.NO_ROOM, hosts=2, ahead=1)
    fleet.jobs[job].waits.clear()
    (command,) = log_wait(wait, fleet, world.timers.now())
    told = command.fields
    assert (told["rack"], told["hosts"], told["ahead"]) == ("r1-0", 2, 1)
    assert (told["fitting"], told["workers"], told["used"]) == (2, 4, 0.5)


def test_repeated_waits_are_bounded_in_number():
    """Guard against a log that grows with each planning pass of a long wait."""
    world = started_world(workers=2)
    jobs = [world.submit(tasks(1, 8), duration=900) for _ in range(2)]
    jobs += [world.submit(tasks(1, 8), queue_name="bulk") for _ in range(30)]
    world.advance(1)
    fleet = world.owner().fleet
    begun = world.timers.now()
    lines: dict[int, int] = {}
    of_step: dict[str, int] = {}
    for step in range(4000):
        now = begun + step / 4
        for job in jobs[2:]:
            wait = Wait(unit_id=UnitId(job, 0, 0, 0), reason=WaitReason.NO_ROOM)
            count = len(log_wait(wait, fleet, now))
            lines[int(now)] = lines.get(int(now), 0) + count
            of_step[job] = of_step.get(job, 0) + count
    assert max(lines.values()) <= REPEATS_PER_SECOND
    assert 6 <= max(of_step.values()) <= STEP_LINES_LIMIT
