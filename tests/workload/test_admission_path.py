"""Test admission control from the owner's row to the answers of other entries."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.log_event import JOB_REFUSED
from wasabispur_core.message import Message
from wasabispur_core.workload.admission.load_knowledge import (
    LOAD_AGE_LIMIT,
    new_load_knowledge,
)
from wasabispur_core.workload.admission.load_row import FleetLoad, load_key
from wasabispur_core.workload.intake import intake
from wasabispur_core.workload.intake.intake_message import CallOutcome
from wasabispur_core.workload.intake.submission_check import submission_check_chart
from wasabispur_core.workload.rows import unpack
from wasabispur_runtime.load_watcher import load_message

from .world import gang, POLICY, started_world, tasks, World

CATALOGUE = ChartCatalogue()
QUICK = replace(
    POLICY,
    version=2,
    queues={
        name: replace(queue, stretch=1.0, target=0.5)
        for name, queue in POLICY.queues.items()
    },
    organisations={},
)


class LoadFeed:
    """Represent an entry's feed of the load."""

    missed: list

    def __init__(self, world: World, entry) -> None:
        self.world, self.entry = world, entry
        entry.fleet.published_load.enabled = True
        entry.intake.load = new_load_knowledge(CATALOGUE)
        charts = {"submission_check": submission_check_chart(CATALOGUE)}
        entry.intake.charts = entry.intake.charts | charts
        world.watch(self, {"load"}, "load/main/")

    @property
    def alive(self) -> bool:
        return self.entry.alive

    @property
    def partitioned(self) -> bool:
        return self.entry.partitioned

    def apply_rows(self, rows, removed) -> None:
        now = self.world.timers.now()
        for row in rows:
            message = load_message(row, now)
            for command in intake.decide(message, self.entry.intake, now):
                self.entry.execute(command)

    def post(self, message: Message) -> None:
        pass


def controlled_world() -> World:
    """Return a world in which the run times of two queues have been learned."""
    world = started_world()
    world.feeds = [LoadFeed(world, entry) for entry in world.entries]
    world.configure(QUICK)
    for queue_name in ("urgent", "batch"):
        world.submit(tasks(4), queue_name=queue_name)
    world.advance(5)
    return world


def flooded_world(jobs: int = 60) -> World:
    """Return a world in which an organisation has submitted 30 s of work."""
    world = controlled_world()
    for _ in range(jobs):
        world.submit(gang(8))
    world.advance(2.5)
    assert load_of(world).contended
    return world


def load_of(world: World) -> FleetLoad:
    return unpack(FleetLoad, world.store.rows[load_key()].value).unwrap()


def answer(world: World, entry: int = 1, seconds: float = 0.2, **fields):
    """Submit a job, and return the answer."""
    before = set(world.answers)
    world.submit(gang(8), entry=entry, **fields)
    world.advance(seconds)
    (call,) = world.answers.keys() - before
    return world.answers[call]


def accepts(world: World, **fields) -> bool:
    return answer(world, **fields).outcome is CallOutcome.DONE


def test_flood_is_rejected_and_others_are_not():
    """Guard against a flood that is accepted, or that costs others their jobs."""
    world = flooded_world()
    rejected = answer(world)
    assert rejected.outcome is CallOutcome.NOT_ACCEPTED
    assert 1 <= rejected.retry_after <= 60
    (fields,) = [
        one.fields
        for one in world.entries[1].records
        if one.number == JOB_REFUSED.number
    ]
    assert fields["cause"] == "overload"
    assert fields["ends_in"] > fields["worthless_in"]
    assert accepts(world, organisation="prairie")


def test_rejected_job_leaves_no_row_and_an_accepted_one_stays_accepted():
    """Guard against the rejection of a job that another entry has accepted."""
    world = controlled_world()
    world.submit(gang(8), job_id="known", entry=2)
    for _ in range(60):
        world.submit(gang(8))
    world.advance(2.5)
    assert accepts(world, job_id="known")
    assert not accepts(world, job_id="unknown")
    assert not [key for key in world.store.rows if "unknown" in key]


def test_job_that_may_have_been_written_is_not_rejected():
    """Guard against the rejection of a job whose write was not answered."""
    world = flooded_world()
    world.entries[1].intake.uncertain["maybe"] = None
    assert accepts(world, job_id="maybe")


def test_store_that_is_down_gives_the_present_rejection():
    """Guard against a rejection for overload while nothing can be known."""
    world = flooded_world()
    world.store.down = True
    rejected = answer(world, seconds=3.0)
    assert rejected.outcome is not CallOutcome.DONE
    assert "overload" not in rejected.reason


def test_load_of_an_owner_that_is_gone_rejects_nothing_after_five_seconds():
    """Guard against rejections that nobody can end."""
    world = flooded_world()
    # Without a connection to the store no owner writes, but the entry reads.
    for entry in world.entries:
        entry.fleet.published_load.enabled = False
    assert not accepts(world)
    world.advance(LOAD_AGE_LIMIT)
    assert accepts(world)


def test_new_owner_publishes_its_own_load():
    """Guard against a new owner whose row is taken for an earlier one."""
    world = flooded_world()
    former = load_of(world)
    index = world.entries.index(world.owner())
    world.kill_entry(index)
    world.feeds.append(LoadFeed(world, world.entries[index]))
    world.advance(6)
    assert load_of(world).epoch > former.epoch
    for entry in world.entries:
        assert entry.intake.load.load.order == load_of(world).order
    assert load_of(world).contended


def test_without_contention_the_row_is_not_renewed():
    """Guard against messages to all entries while no job can be rejected."""
    world = controlled_world()
    world.advance(3)
    before = world.store.rows[load_key()].version
    assert not load_of(world).contended
    world.advance(6)
    assert world.store.rows[load_key()].version == before
    assert accepts(world)


def test_switched_off_no_row_is_written():
    """Guard against a row or a read in deployments without admission control."""
    world = started_world()
    for _ in range(60):
        world.submit(gang(8))
    world.advance(8)
    assert load_key() not in world.store.rows
    assert accepts(world)
