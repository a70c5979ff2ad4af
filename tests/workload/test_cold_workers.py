"""Test what workers get that are slow after their start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from wasabispur_core.workload.planning.plan import Wait, WaitReason, WorkerSnapshot

from .test_planner import decide, demand, placed, running, waiting, worker
from .world import COMPLETED, gang, tasks, World

COLD_TIME = 20.0
LATE = 1000.0
"""An objective, in seconds, that leaves time for any wait."""


def cold(number: int, left: float = COLD_TIME, **fields) -> WorkerSnapshot:
    return worker(number, cold=True, cold_until=left, **fields)


def busy(ends_in: float) -> list:
    """Return units that fill the warm workers; that on w0 ends after some seconds."""
    kept = {"priority": 1, "lost_work": 1e6}
    return [
        running("busy", 0, 8, run_time=ends_in, **kept),
        running("lasting", 9, 8, run_time=LATE, **kept),
    ]


def full_workers() -> list[WorkerSnapshot]:
    """Return the warm workers; the service is not quiet with them."""
    return [worker(0, used=8), worker(9, used=8)]


def decide_gang(ends_in: float, **fields) -> list:
    """Decide on a gang for a cold and idle worker, and for a warm one that is full."""
    values = {"objective": LATE, "target_span": LATE, "run_time": 5.0, **fields}
    unit = waiting("gang", 1, size=4, **values)
    return decide([*full_workers(), cold(1)], [unit], busy(ends_in))


@pytest.mark.parametrize(
    ("ends_in", "waits"), [(3.0, True), (9.0, True), (11.0, False)]
)
def test_gang_waits_for_warm_workers_for_at_most_half_of_the_cold_time(ends_in, waits):
    """Guard against a gang that its slowest member delays by more than the wait."""
    decisions = decide_gang(ends_in)
    assert placed(decisions) == ({} if waits else {"gang": ["w1"] * 4})
    if waits:
        (wait,) = decisions
        assert isinstance(wait, Wait)
        assert wait.reason is WaitReason.COLD


@pytest.mark.parametrize(
    "fields",
    [
        {"guaranteed": True},
        {"long_running": True},
        {"objective": 4.0, "target_span": 4.0},
        {"size": 1},
        {"demand": demand(8)},
    ],
)
def test_unit_that_gains_nothing_by_a_wait_starts_at_once(fields):
    """Guard against late jobs, idle workers and waits without an end."""
    values = {"objective": LATE, "target_span": LATE, "size": 4, **fields}
    if "demand" in fields:
        values["size"] = 2
        workers = [worker(0, used=8), cold(1), cold(2)]
    else:
        workers = [*full_workers(), cold(1)]
    found = placed(decide(workers, [waiting("unit", **values)], busy(3.0)))
    assert set(found["unit"]) <= {"w1", "w2"}


def test_gang_is_placed_in_a_warm_rack_rather_than_in_a_cold_one():
    """Guard against a rack that is chosen for its little room although it is cold."""
    workers = [cold(0, rack=0, used=4), worker(1, rack=1)]
    unit = waiting("gang", 1, size=4, same_rack=True, objective=LATE, target_span=LATE)
    assert placed(decide(workers, [unit])) == {"gang": ["w1"] * 4}


def test_single_tasks_use_cold_workers_while_a_gang_waits_for_warm_ones():
    """Guard against cold workers that stand idle beside waiting work."""
    values = {"objective": LATE, "target_span": LATE}
    units = [waiting("gang", 1, size=4, **values), waiting("single", 1, **values)]
    found = placed(decide([*full_workers(), cold(1)], units, busy(3.0)))
    assert found == {"single": ["w1"]}


def cold_world(speed: float) -> World:
    """Return a world whose worker w0 is slow for COLD_TIME from now on."""
    world = World(workers=4, cordons=True)
    world.advance(4)
    world.workers["w0"].cold_left = COLD_TIME
    world.workers["w0"].cold_speed = speed
    world.advance(2)
    return world


@pytest.mark.parametrize("speed", [0.25, 0.5])
def test_gang_ends_earlier_than_on_the_cold_worker(speed):
    """Guard against a gang that waits for warm workers in vain.

    The three warm workers are full for 3 s more as the gang arrives.
    """
    world = cold_world(speed)
    first = world.submit(replace(tasks(24), estimate=4.0), duration=4.0)
    world.advance(1)
    begun = world.timers.now()
    job = world.submit(replace(gang(8), estimate=6.0), duration=6.0)
    while not world.ended(job):
        world.advance(0.1)
        assert world.timers.now() - begun < 6.0 / speed
    assert all(where != "w0" for _, task, _, where in world.starts if job in task)
    world.advance(1)
    assert world.state_of(first).job_state is COMPLETED


@pytest.mark.parametrize("speed", [0.25, 0.5])
def test_cold_worker_gets_single_tasks_in_proportion_to_its_speed(speed):
    """Guard against tasks that queue at a slow worker while others are idle."""
    world = cold_world(speed)
    for _ in range(40):
        world.submit(tasks(16), duration=1.0, queue_name="bulk")
    world.advance(1)
    since = world.timers.now()
    world.advance(14)
    counts = {name: 0 for name in world.workers}
    for at, _, _, where in world.starts:
        counts[where] += at > since
    share = counts["w0"] / max(counts.values())
    assert speed * 0.7 < share < speed * 1.6
