"""Test that the rows of large jobs stay under the store's limit."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from wasabispur_core.command import Transact
from wasabispur_core.storage.store import (
    Condition,
    Row,
    ROW_LIMIT_BYTES,
    row_size,
    Transaction,
    Write,
)
from wasabispur_core.workload.agent.report_writer import write_report
from wasabispur_core.workload.agent.runner_state import (
    LocalWorker,
    OrderedRun,
    RunnerState,
)
from wasabispur_core.workload.intake.intake_message import CallOutcome, SubmitJob
from wasabispur_core.workload.jobs.crash_history import CrashHistory
from wasabispur_core.workload.jobs.occurrence import OPEN_UNITS_LIMIT, PAGE_UNITS
from wasabispur_core.workload.jobs.progress import (
    JobState,
    MemberRecord,
    UnitPage,
    UnitRecord,
    UnknownEnd,
)
from wasabispur_core.workload.jobs.spec import (
    Resources,
    STEPS_LIMIT,
    StepSpec,
    TASKS_LIMIT,
)
from wasabispur_core.workload.owner.fleet_write import ENDED_JOB_RETENTION
from wasabispur_core.workload.rows import (
    order_prefix,
    pack,
    progress_key,
    report_key,
    ROWS_SCHEMA,
    unit_page_prefix,
)
from wasabispur_core.workload.workers.worker import (
    CHECKPOINT_LIMIT_BYTES,
    EndedRun,
    EndKind,
    ListedRun,
    RunOrder,
)

from .world import gang, started_world, tasks, World

LIGHT = Resources(cpu=10)
"""Demand of a task of which a worker runs hundreds at once."""

LONG = 60.0
"""Seconds of a run that outlasts a test."""


def light_tasks(count: int, **fields: Any) -> StepSpec:
    """Return a step of tasks that need little."""
    return StepSpec(count=count, demand=LIGHT, estimate=0.5, **fields)


def chain(steps: int, count: int) -> list[StepSpec]:
    """Return steps that run one after the other."""
    return [light_tasks(count, after=(n - 1,) if n else ()) for n in range(steps)]


def kill_owner(world: World) -> None:
    """Kill the owner, so that another entry takes the shard over."""
    world.kill_entry(world.entries.index(world.owner()))


def pages(world: World, job: str) -> tuple[Row, ...]:
    """Return the stored pages of a job's units."""
    return world.store.under(f"{unit_page_prefix()}{job}.")


def test_job_of_many_tasks_leaves_the_owner_able_to_write():
    """Guard against a job whose progress outgrows a row, which blocked all writes."""
    world = started_world(workers=4)
    large = world.submit(*chain(3, 180), duration=0.5)
    world.advance(5)
    other = world.submit(light_tasks(1), duration=0.5)
    world.advance(15)
    assert world.state_of(other).job_state is JobState.COMPLETED
    assert world.state_of(large).job_state is JobState.COMPLETED


def test_new_owner_continues_a_job_of_many_pages():
    """Guard against tasks that run again or never because their page is elsewhere."""
    world = started_world(workers=4)
    job = world.submit(*chain(3, 180), duration=1.0)
    for _ in range(5):
        world.advance(0.7)
        kill_owner(world)
        world.advance(3)
    world.advance(20)
    assert world.state_of(job).job_state is JobState.COMPLETED
    assert len({task for _, task, _, _ in world.starts}) == 540


def test_new_owner_continues_a_gang_of_many_pages():
    """Guard against the loss of the members that are beyond the gang's first page."""
    world = started_world(workers=4)
    count = 2 * PAGE_UNITS + 10
    step = StepSpec(count=count, demand=LIGHT, estimate=0.5, gang=True)
    job = world.submit(step, duration=6.0)
    world.advance(2)
    assert len(pages(world, job)) == 3
    kill_owner(world)
    world.advance(3)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    assert sorted(member.index for member in unit.members) == list(range(count))
    world.advance(5)
    assert world.state_of(job).job_state is JobState.COMPLETED
    assert len(world.starts) == count


def unpaged_rows(world: World, job: str) -> dict[str, Any]:
    """Return a job's row as versions without pages stored it."""
    fleet = world.owner().fleet
    rows = [row for page in pages(world, job) for row in page.value.get("units", ())]
    steps = fleet.jobs[job].spec.steps
    known = {(row.get("step", 0), row.get("index", 0)) for row in rows}
    for number, step in enumerate(steps):
        begun = number in fleet.jobs[job].open_occurrences[0].steps
        for index in range(step.count):
            if (number, index) not in known:
                state = "completed" if begun else "blocked"
                rows.append({"step": number, "index": index, "state": state, "run": 1})
    return {"state": "running", "units": rows}


def test_row_of_a_version_without_pages_is_read_on():
    """Guard against a job that runs again after an upgrade of the owner."""
    world = started_world(workers=4)
    job = world.submit(tasks(6, 8), tasks(2, after=(0,)), duration=3.0)
    world.advance(4)
    done = set(world.done)
    assert len(done) == 4
    former = unpaged_rows(world, job)
    for entry in world.entries:
        entry.alive = False
        world.store.listeners.pop(entry, None)
    writes = [Write(key=progress_key(job), value=former)]
    writes += [Write(key=row.key, value=None) for row in pages(world, job)]
    transaction = Transaction(
        operation_id="former", conditions=(), writes=tuple(writes)
    )
    world.store.apply(transaction)
    for index in range(len(world.entries)):
        world.kill_entry(index)
    world.advance(12)
    assert world.state_of(job).job_state is JobState.COMPLETED
    assert len(world.starts) == 8


def test_job_held_for_an_unreadable_page_runs_nothing():
    """Guard against a page that counts as not started since it can't be read."""
    world = started_world(workers=4)
    job = world.submit(tasks(2), duration=LONG)
    world.advance(1)
    (page,) = pages(world, job)
    write = Write(key=page.key, value={"units": 7})
    condition = Condition(key=page.key, version=page.version)
    world.store.apply(
        Transaction(operation_id="x", conditions=(condition,), writes=(write,))
    )
    kill_owner(world)
    world.advance(8)
    assert world.owner().fleet.jobs[job].held
    assert len(world.starts) == 2


def test_largest_accepted_job_is_created_step_by_step():
    """Guard against a job of a million tasks that takes all memory of each owner."""
    world = started_world(workers=4)
    job = world.submit(
        *(light_tasks(TASKS_LIMIT) for _ in range(STEPS_LIMIT)), duration=0.5
    )
    world.advance(1)
    other = world.submit(light_tasks(1), queue_name="urgent", duration=0.5)
    world.advance(2)
    assert job in world.accepted
    assert len(world.owner().fleet.jobs[job].units) <= OPEN_UNITS_LIMIT
    assert len(world.done) > 500
    assert world.state_of(other).job_state is JobState.COMPLETED


def test_pages_of_completed_occurrences_are_removed():
    """Guard against a repeated job whose rows and units grow with each occurrence."""
    world = started_world(workers=4)
    start = world.timers.now()
    job = world.submit(
        light_tasks(3), duration=0.2, repeats=40, repeat_interval=0.5, start_at=start
    )
    world.advance(10)
    kill_owner(world)
    most = 0
    for _ in range(10):
        world.advance(1)
        most = max(most, len(pages(world, job)))
    world.advance(6)
    assert world.state_of(job).job_state is JobState.COMPLETED
    assert len(world.starts) == 120
    assert most < 12
    assert not pages(world, job)


def test_repeats_that_are_all_due_do_not_stop_the_owner():
    """Guard against a job whose occurrences, all due at once, never leave the loop."""
    world = started_world(workers=4)
    job = world.submit(light_tasks(1), duration=0.2, repeats=1_000_000)
    other = world.submit(light_tasks(1), queue_name="urgent", duration=0.2)
    world.advance(3)
    assert world.state_of(other).job_state is JobState.COMPLETED
    assert len(world.owner().fleet.jobs[job].units) <= OPEN_UNITS_LIMIT


PAYLOADS = ("\u00e9" * 2_000, "\u5370" * 1_333, "\x01" * 4_000, '"' * 4_000)
"""Payloads of up to 4,000 bytes, some of which take more of them in JSON."""


@pytest.mark.parametrize("payload", PAYLOADS)
def test_orders_with_payloads_that_json_escapes_fit_into_a_row(payload):
    """Guard against an orders row that is too large, so that no start is written."""
    world = started_world(workers=1)
    jobs = [world.submit(tasks(1, 0), duration=1.0, payload=payload) for _ in range(16)]
    for _ in range(20):
        world.advance(1)
        for row in world.store.under(order_prefix("agent-0")):
            assert row_size(row.value) <= ROW_LIMIT_BYTES
    assert all(world.state_of(job).job_state is JobState.COMPLETED for job in jobs)


def test_payload_of_a_job_counts_once_on_a_worker():
    """Guard against a wide job with a long payload that runs ten tasks at a time."""
    world = started_world(workers=1)
    world.submit(tasks(16, 0), duration=LONG, payload="x" * 4_000)
    world.advance(2)
    assert len(world.starts) == 16


def test_report_of_many_ends_fits_into_a_row():
    """Guard against a report that is too large, so that no end is acknowledged."""
    world = started_world(workers=1)
    (worker,) = world.workers.values()
    job = world.submit(light_tasks(700), duration=LONG)
    world.advance(3)
    world.store.down = True
    world.advance(1)
    for task in list(worker.runs):
        worker.end(task, EndKind.STOPPED)
    ended = len(worker.ended)
    assert ended > 300
    world.advance(1)
    world.store.down = False
    world.deliver_missed_rows()
    world.advance(4)
    row = world.store.rows[report_key(worker.worker_id)]
    assert row_size(row.value) <= ROW_LIMIT_BYTES
    assert not worker.ended
    assert len(world.starts) > ended
    assert not world.ended(job)


def outcome(world: World, job: str) -> CallOutcome:
    """Return the outcome of the only call for a job."""
    world.advance(0.5)
    return world.answers[world.specs[job].call_id].outcome


def test_job_that_no_row_can_hold_is_refused_for_good():
    """Guard against a caller that retries a job which can never be accepted."""
    world = started_world()
    name = "x" * 1_000
    too_large = world.submit(*(light_tasks(1, image=name) for _ in range(STEPS_LIMIT)))
    assert outcome(world, too_large) is CallOutcome.INVALID
    payload = world.submit(light_tasks(1), payload="x" * 40_000)
    assert outcome(world, payload) is CallOutcome.INVALID


@pytest.mark.parametrize("after", [(0,), (1,), (7,)])
def test_job_whose_step_waits_for_no_earlier_step_is_refused(after):
    """Guard against an accepted job of which a step never begins."""
    world = started_world()
    job = world.submit(light_tasks(1, after=after))
    assert outcome(world, job) is CallOutcome.INVALID


def test_gang_with_a_long_payload_waits_for_no_room_in_orders():
    """Guard against a gang that is never placed since each task counts its payload."""
    world = started_world(workers=4)
    job = world.submit(gang(16), duration=1.0, payload="x" * 4_000)
    world.advance(4)
    assert world.state_of(job).job_state is JobState.COMPLETED


WORKER_ID = "i-" + 62 * "0"
CHECKPOINT = (CHECKPOINT_LIMIT_BYTES - 2) * "0"


def longest_record(index: int, members: int, unknown_ends: int) -> UnitRecord:
    """Return a unit's record with the longest values of all fields."""
    indices = range(index, index + members)
    worker = {"worker_id": WORKER_ID, "incarnation": 20 * "9"}
    return UnitRecord(
        occurrence=999_999_999,
        step=STEPS_LIMIT - 1,
        index=index,
        state="cancelling",
        run=999_999,
        failures=999_999,
        run_failed=True,
        checkpoint=CHECKPOINT,
        members=tuple(
            MemberRecord(
                index=n, ended=True, started_at=9_999_999.99, broken=True, **worker
            )
            for n in indices
        ),
        crashes=CrashHistory(
            workers=dict.fromkeys(indices, 4),
            uncertain=dict.fromkeys(indices, 4),
            longest_run=99_999.99,
        ),
        unknown_ends=tuple(
            UnknownEnd(run=999_999, index=n, ran=99_999.99, **worker)
            for n in indices
            for _ in range(unknown_ends)
        ),
    )


def test_longest_page_fits_into_a_row():
    """Guard against a page of units that can't be stored."""
    first = TASKS_LIMIT - PAGE_UNITS
    units = tuple(longest_record(first + n, 1, 0) for n in range(PAGE_UNITS))
    assert row_size(pack(UnitPage(units=units))) <= ROW_LIMIT_BYTES
    gang_page = UnitPage(units=(longest_record(first, PAGE_UNITS, 3),))
    assert row_size(pack(gang_page)) <= ROW_LIMIT_BYTES


def test_longest_report_fits_into_a_row():
    """Guard against a report that can't be stored."""
    now = 1000.0
    worker, state = crowded_worker(now)
    (command,) = write_report(worker, state, now)
    assert isinstance(command, Transact)
    (write,) = command.transaction.writes
    content = write.value or {}
    assert all(content[name] for name in ("runs", "ended", "refused"))
    assert row_size(write.value) <= ROW_LIMIT_BYTES


def crowded_worker(now: float) -> tuple[LocalWorker, RunnerState]:
    """Return a worker with more runs and ends than a report contains."""
    world = started_world(workers=1)
    state = world.agents["agent-0"].state
    (worker,) = state.workers.values()
    names = [f"{n:016x}.999999999.99.9999" for n in range(2_000)]
    worker.info = replace(
        worker.info, labels=tuple(64 * "\u5370" for _ in range(32)), service=64 * "s"
    )
    worker.runs = tuple(
        ListedRun(task=name, run=9, checkpoint=CHECKPOINT, percent=1) for name in names
    )
    worker.ended = tuple(
        EndedRun(
            number=n, task=name, run=9, kind=EndKind.STOPPED, checkpoint=CHECKPOINT
        )
        for n, name in enumerate(names)
    )
    worker.ordered = {
        (name, 9): OrderedRun(
            order=RunOrder(task=name, run=9, job_id=name[:16]),
            payload="",
            lifecycle=state.run_chart.resume("barred"),
            refusal_reason="ordered for a former incarnation",
        )
        for name in names
    }
    report = state.reports[worker.info.worker_id]
    report.in_flight, report.changed, report.version = "", True, 1
    return worker, state


def test_step_without_room_does_not_hold_up_the_others():
    """Guard against a job whose first step takes all of the units that may exist."""
    world = started_world(workers=4)
    job = world.submit(
        light_tasks(TASKS_LIMIT, label="no such label"),
        light_tasks(600),
        duration=0.5,
    )
    world.advance(6)
    assert len(world.starts) == 600
    assert not world.ended(job)


def test_all_tasks_of_a_lasting_step_run():
    """Guard against lasting tasks that are never started, as none of them completes."""
    world = started_world(workers=4)
    job = world.submit(light_tasks(600, long_running=True), duration=LONG)
    world.advance(4)
    assert len(world.starts) == 600
    kill_owner(world)
    world.advance(5)
    assert sum(len(worker.runs) for worker in world.workers.values()) == 600
    assert world.state_of(job).job_state is JobState.RUNNING
    too_many = world.submit(
        light_tasks(TASKS_LIMIT, long_running=True),
        light_tasks(1, long_running=True),
    )
    assert outcome(world, too_many) is CallOutcome.INVALID


def test_entry_of_an_earlier_version_does_not_own_the_shard():
    """Guard against an owner that treats jobs in pages as not started."""
    world = started_world()
    world.submit(tasks(2), duration=LONG)
    world.advance(1)
    for index, entry in enumerate(world.entries):
        world.kill_entry(index)
        world.entries[index].shard.ownership.schema = ROWS_SCHEMA - 1
        assert entry.shard.ownership.schema == ROWS_SCHEMA
    world.advance(6)
    assert world.owner() is None
    world.kill_entry(0)
    world.advance(6)
    assert world.owner() is world.entries[0]
    assert len(world.starts) == 2


@pytest.mark.parametrize("job_id", ["", "a.cancel", "a/b", 33 * "a", "\u5370"])
def test_job_whose_id_does_not_suit_keys_is_refused(job_id):
    """Guard against an id that names another job's cancellation, or outgrows a row."""
    world = started_world()
    request = SubmitJob(
        call_id="c",
        host="host",
        path=f"/batch/{job_id}",
        key_digest="peachtree",
        payload="p",
        steps=(light_tasks(1),),
    )
    world.entries[0].post(request)
    world.advance(0.5)
    assert world.answers["c"].outcome is CallOutcome.INVALID


def test_cancelled_job_with_an_unreadable_page_is_removed():
    """Guard against rows of a held job that stay after it was cancelled."""
    world = started_world()
    job = world.submit(tasks(2), duration=LONG)
    world.advance(1)
    (page,) = pages(world, job)
    write = Write(key=page.key, value={"units": 7})
    world.store.apply(Transaction(operation_id="x", conditions=(), writes=(write,)))
    kill_owner(world)
    world.advance(5)
    world.cancel(job)
    world.advance(2)
    kill_owner(world)
    world.advance(6)
    assert not world.owner().fleet.jobs[job].held
    assert not any(worker.runs for worker in world.workers.values())
    world.advance(ENDED_JOB_RETENTION + 5)
    assert job not in world.owner().fleet.jobs
    assert not pages(world, job)
    assert progress_key(job) not in world.store.rows
