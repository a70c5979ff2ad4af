"""Test the order of waiting units by the shares of their organisations."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from wasabispur_core.log_event import SHARES_COMPARED
from wasabispur_core.metric import LARGEST_SHARE_RATIO
from wasabispur_core.workload.admission.work import work_of
from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.owner import scheduler
from wasabispur_core.workload.owner.fleet_state import FleetState
from wasabispur_core.workload.planning import pass_eviction, rack_wait
from wasabispur_core.workload.planning.organisation_share import (
    Level,
    LevelShares,
    OrganisationUse,
)
from wasabispur_core.workload.planning.plan import Snapshot, Wait, WaitReason
from wasabispur_core.workload.planning.planner import plan
from wasabispur_core.workload.planning.share_log import log_shares
from wasabispur_core.workload.planning.wait_log import log_wait
from wasabispur_core.workload.policies.policy import Organisation
from wasabispur_runtime.metrics import MetricRegistry
from wasabispur_runtime.workload_metrics import WorkloadMetrics
from wasabispur_standins.fleet_experiment import play_load

from .test_planner import CAPACITY, placed, running, stopped, waiting, worker
from .test_planner_memory import change, ComparedPasses
from .world import POLICY, started_world, tasks, World

BATCH = Level("composer", 1)
STEPS = 120
"""Random changes of one history."""


def snapshot(workers, waiting_units, running_units=(), weights=None) -> Snapshot:
    """Return a snapshot with what the organisations of its running units use."""
    workers = tuple(workers)
    use = OrganisationUse()
    for unit in running_units:
        use.add(unit.level, unit.organisation, unit.occupied)
    capacity = work_of(CAPACITY.times(len(workers)))
    use.configure({"s": capacity}, weights or {})
    return Snapshot(
        now=0.0,
        workers=workers,
        waiting=tuple(waiting_units),
        running=tuple(running_units),
        use=use,
    )


def decide(*args, **fields) -> list:
    return plan(snapshot(*args, **fields))


def busy(name: str, number: int, organisation: str, accelerators: int = 8, **fields):
    """Return a running batch unit of an organisation."""
    return running(
        name,
        number,
        accelerators,
        **{"organisation": organisation, "priority": 1, "service": "s", **fields},
    )


def flooded() -> tuple[list, list]:
    """Return a fleet of which a flood uses most, and its running units."""
    workers = [worker(n, used=8) for n in range(5)]
    units = [busy(f"f{n}", n, "flood") for n in range(4)]
    return [*workers, worker(5)], [*units, busy("a", 4, "a")]


def test_unit_of_a_flood_waits_behind_those_of_others():
    """Guard against an organisation that delays all others by flooding a priority."""
    workers, units = flooded()
    early = waiting("early", 8, organisation="flood", objective=5.0)
    late = waiting("late", 8, organisation="a", objective=9.0)
    decisions = decide(workers, [early, late], units)
    assert set(placed(decisions)) == {"late"}
    (wait,) = [one for one in decisions if isinstance(one, Wait)]
    assert wait.unit_id.job_id == "early"
    assert wait.shares == (pytest.approx(4 / 6), pytest.approx(0.5))


def test_order_is_as_before_without_fair_shares():
    """Guard against shares that change the order in other deployments."""
    workers, units = flooded()
    early = waiting("early", 8, organisation="flood", objective=5.0)
    late = waiting("late", 8, organisation="a", objective=9.0)
    found = plan(replace(snapshot(workers, [early, late], units), use=None))
    assert set(placed(found)) == {"early"}


def test_guarantee_and_priority_come_before_shares():
    """Guard against a flood's urgent work that waits for batch work of others."""
    workers, units = flooded()
    other = waiting("other", 8, organisation="a")
    for fields in ({"priority": 0}, {"priority": 0, "guaranteed": True}):
        mine = waiting("mine", 8, organisation="flood", **fields)
        assert set(placed(decide(workers, [other, mine], units))) == {"mine"}


def test_idle_capacity_is_available_to_an_organisation_over_its_share():
    """Guard against idle workers beside units that wait for their share only."""
    workers, units = flooded()
    mine = waiting("mine", 8, organisation="flood")
    too_large = waiting("large", 8, size=2, organisation="a")
    assert set(placed(decide(workers, [too_large, mine], units))) == {"mine"}


def test_single_organisation_is_not_delayed():
    """Guard against an organisation that is held back by a share of its own."""
    units = [busy("b", 0, "o")]
    mine = [waiting(f"u{n}", 8) for n in range(3)]
    workers = [worker(0, used=8), worker(1), worker(2), worker(3)]
    assert len(placed(decide(workers, mine, units))) == 3


def test_units_placed_in_the_same_pass_count():
    """Guard against a burst that takes all free workers in one pass."""
    burst = [waiting(f"f{n}", 8, organisation="flood", objective=5.0) for n in range(9)]
    others = [waiting(name, 8, organisation=name) for name in ("a", "b")]
    workers = [worker(n) for n in range(5)]
    names = set(placed(decide(workers, [*burst, *others])))
    assert {"a", "b"} <= names
    assert len(names) == 5


def test_shares_that_differ_by_less_than_one_unit_are_equal():
    """Guard against an order that alternates with each placement."""
    workers = [worker(0, used=8), worker(1)]
    units = [busy("b", 0, "b", 4), busy("a", 0, "a", 3)]
    early = waiting("early", 8, organisation="b", objective=5.0)
    late = waiting("late", 8, organisation="a", objective=9.0)
    assert set(placed(decide(workers, [early, late], units))) == {"early"}


def test_hundred_organisations_with_one_job_each_keep_the_usual_order():
    """Guard against shares that reorder units whose organisations use as much."""
    units = [waiting(f"u{n:03}", 8, organisation=f"o{n}") for n in range(100)]
    workers = [worker(n) for n in range(10)]
    fair = decide(workers, units)
    assert fair == plan(replace(snapshot(workers, units), use=None))
    assert len(placed(fair)) == 10


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ({}, "a"),
        ({"flood": 9.0}, "flood"),
        ({"flood": 0.0}, "a"),
        ({"a": 0.0}, "flood"),
    ],
)
def test_weights_set_the_fair_shares(weights, expected):
    """Guard against weights that are zero or missing and stop the planner."""
    workers, units = flooded()
    mine = [
        waiting("flood", 8, organisation="flood", objective=5.0),
        waiting("a", 8, organisation="a", objective=9.0),
    ]
    assert set(placed(decide(workers, mine, units, weights=weights))) == {expected}


def test_organisations_with_weights_of_zero_only_share_alike():
    """Guard against a division by a sum of weights that is zero."""
    use = OrganisationUse(weights={"a": 0.0, "b": -1.0})
    shares = LevelShares.of(use, BATCH, ("a", "b"))
    shares.add("a", 0.5)
    assert shares.fair_share("b") == 0.25


@pytest.mark.parametrize(("guaranteed", "victims"), [(False, set()), (True, {"v"})])
def test_unit_over_its_share_preempts_no_organisation_below_its_own(
    guaranteed, victims
):
    """Guard against a flood of urgent units that stops the work of small callers."""
    workers = [worker(n, used=8) for n in range(8)]
    units = [busy(f"f{n}", n, "flood", priority=0) for n in range(4)]
    units += [busy("b", 4, "b", priority=0), busy("v", 5, "v", lost_work=0.0)]
    units += [busy(f"c{n}", n, "c", guaranteed=True) for n in (6, 7)]
    mine = waiting("mine", 8, organisation="flood", priority=0, guaranteed=guaranteed)
    assert stopped(decide(workers, [mine], units)) == victims


def test_unit_below_its_share_preempts_as_before():
    """Guard against limits on the stops for organisations within their share."""
    workers = [worker(0, used=8), worker(1, used=8)]
    units = [busy("f", 0, "flood", priority=0), busy("v", 1, "v", lost_work=0.0)]
    mine = waiting("mine", 8, organisation="a", priority=0)
    assert stopped(decide(workers, [mine], units)) == {"v"}


class ComparedUse(ComparedPasses):
    """Compare also what organisations use with what all running units occupy."""

    def take_snapshot(self, state: FleetState, now: float) -> Snapshot:
        taken = super().take_snapshot(state, now)
        expected = OrganisationUse()
        for unit in taken.running:
            expected.add(unit.level, unit.organisation, unit.occupied)
        assert taken.use is not None
        assert non_empty(taken.use) == non_empty(expected)
        return taken


def non_empty(use: OrganisationUse) -> dict:
    return {level: used for level, used in use.used.items() if used}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_pass_with_memory_decides_as_a_full_pass(seed, monkeypatch):
    """Guard against shares that drift, and against stops that a pass overlooks.

    The shares of other organisations decide which units a pass may preempt, also on
    workers that have not changed.
    """
    compared = ComparedUse()
    monkeypatch.setattr(scheduler, "take_snapshot", compared.take_snapshot)
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_LIMIT", 10_000)
    monkeypatch.setattr(pass_eviction, "EVICTION_SEARCH_INTERVAL", 0.0)
    monkeypatch.setattr(rack_wait, "CHECK_INTERVAL", 0.0)
    random = Random(seed)
    world = World(workers=6, fair_shares=True)
    world.advance(4)
    for _ in range(STEPS):
        change(world, random)
        world.advance(random.choice([0.05, 0.2, 0.5]))
    assert compared.passes > STEPS
    assert compared.remembered > STEPS / 3


def world_with_load(**fields) -> World:
    """Return a world in which two organisations run batch tasks."""
    world = started_world(fair_shares=True, **fields)
    world.submit(tasks(3, 8), organisation="peachtree", duration=60)
    world.submit(tasks(1, 8), organisation="prairie", duration=60)
    world.advance(1)
    return world


def shares_of(world: World) -> dict[str, float]:
    """Return the shares at the owner's last pass."""
    fleet = world.owner().fleet
    scheduler.take_snapshot(fleet, world.timers.now())
    return {
        name: round(share, 3) for name, share in fleet.view.use.shares[BATCH].items()
    }


def test_new_owner_computes_shares_from_the_runs_that_it_has_read():
    """Guard against a flood that begins anew with each change of the owner."""
    world = world_with_load(workers=6)
    before = shares_of(world)
    assert before == {"peachtree": 0.5, "prairie": 0.167}
    world.kill_entry(world.entries.index(world.owner()))
    world.advance(12)
    assert shares_of(world) == before


def test_organisation_removed_from_the_configuration_keeps_its_share():
    """Guard against a pass that fails on an organisation without configuration."""
    world = world_with_load(workers=4)
    others = {k: v for k, v in POLICY.organisations.items() if k != "peachtree"}
    world.configure(replace(POLICY, version=2, organisations=others))
    late = world.submit(tasks(1, 8), organisation="peachtree", duration=1)
    world.advance(2)
    assert shares_of(world) == {"peachtree": 0.75, "prairie": 0.25}
    assert late in world.owner().fleet.jobs


def test_weight_of_the_configuration_takes_effect():
    """Guard against a weight that only a restart applies."""
    world = world_with_load(workers=4)
    organisations = {
        **POLICY.organisations,
        "peachtree": Organisation(name="peachtree", weight=3.0),
    }
    world.configure(replace(POLICY, version=2, organisations=organisations))
    world.advance(1)
    shares_of(world)
    use = world.owner().fleet.view.use
    assert LevelShares.of(use, BATCH, ()).fair_share("peachtree") == pytest.approx(0.75)


def test_cordon_of_a_sixth_of_the_fleet_raises_all_shares_alike():
    """Guard against shares of capacity that can't be used."""
    world = world_with_load(workers=6, cordons=True)
    fleet = world.owner().fleet
    free = next(w for w in world.workers if not fleet.units_by_worker.get(w))
    fleet.workers[free].cordoned = True
    assert shares_of(world) == {"peachtree": 0.6, "prairie": 0.2}
    use = fleet.view.use
    assert LevelShares.of(use, BATCH, ()).largest_ratio() == (
        pytest.approx(1.5),
        "peachtree",
    )


def test_wait_because_of_a_share_is_logged_with_the_shares():
    """Guard against a log that doesn't tell why others precede a unit."""
    world = world_with_load(workers=4)
    job = world.submit(tasks(1, 8), organisation="peachtree", duration=1)
    world.advance(1)
    fleet = world.owner().fleet
    fields = {"unit_id": UnitId(job, 0, 0, 0), "reason": WaitReason.NO_ROOM}
    told = []
    for shares in (None, (0.75, 0.5)):
        fleet.jobs[job].waits.clear()
        (command,) = log_wait(Wait(**fields, shares=shares), fleet, world.timers.now())
        told.append({k: command.fields.get(k) for k in ("share", "fair_share")})
    assert told == [
        {"share": None, "fair_share": None},
        {"share": 0.75, "fair_share": 0.5},
    ]


def test_largest_ratio_is_logged_once_and_counted():
    """Guard against a gauge without value, and a line for each tick."""
    world = world_with_load(workers=4)
    waiting_job = world.submit(tasks(1, 8), organisation="peachtree", duration=1)
    world.advance(1)
    fleet, now = world.owner().fleet, world.timers.now()
    fleet.share_log.ratio = 0.0
    (command,) = log_shares(fleet, now + 10)
    assert command.number == SHARES_COMPARED.number
    assert command.fields == {"organisation": "peachtree", "priority": 1, "ratio": 1.5}
    assert log_shares(fleet, now + 11) == log_shares(fleet, now + 20) == []
    registry = MetricRegistry()
    registry.configure("entry-1")
    WorkloadMetrics(registry, sink=None).observe(None, [command], now)
    values = {one.name: one.value for one in registry.read()}
    assert values[LARGEST_SHARE_RATIO.name] == 1.5
    world.cancel(waiting_job)
    world.advance(1)
    (command,) = log_shares(fleet, now + 30)
    assert command.fields["ratio"] == 0.0


def test_experiment_plays_fair_shares_only_if_asked_to():
    """Guard against an option of the experiment without effect."""
    load = (24, 10, 0.5, 60.0, 1)
    usual, fair = (play_load(*load, flood=1.0, fair_shares=on) for on in (False, True))
    assert usual["bulk+"].waits != fair["bulk+"].waits
    idle = (64, 10, 0.1, 30.0, 1)
    assert play_load(*idle) == play_load(*idle, fair_shares=True)
