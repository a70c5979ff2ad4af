"""Test real processes under random faults with fixed seeds.

Seed 1 guards against finished tasks that run again: the shard's owner was cut off from
the store for longer than the lease horizon and gave up workers before it had read their
reports.

With disturbed executors, seed 109 shows tasks that ran twice at the same time on the
code that took the lease of a restarted agent's former lifetime for over. Seed 113
reported that the tasks of a job still ran: no caller had got an answer to it, so that
the soak did not wait for its end.
"""

from __future__ import annotations

import pytest

from wasabispur_core.workload.jobs.spec import Resources
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_platform_standin.relays import RelayLoop
from wasabispur_platform_standin.soak import JobAnswers, Soak
from wasabispur_standins.process import ProcessGroup
from wasabispur_standins.simulated_worker import Running, SimulatedWorker

SECONDS_OF_FAULTS = 12
SECONDS_OF_DISTURBED_EXECUTORS = 20


@pytest.mark.parametrize(("elapsed", "noted"), [(1.0, ["t.0.0.0"]), (9.0, [])])
def test_end_counts_if_the_lease_held_until_its_acknowledgement(elapsed, noted):
    """Guard against reporting a second run as a violation after an expired lease.

    In soak seed 8 an agent was cut off for 19.6 s, which is longer than any lease. A
    task that ended on its worker in that time correctly ran again on another worker.
    """
    worker = SimulatedWorker("w", "a", Resources(cpu=1_000), "r1-1")
    run = Running("t.0.0.0", 1, Resources(cpu=1_000), remaining_work=1.0)
    assert worker.start(run, 1, worker.clock + 5.0) == ""
    worker.end("t.0.0.0", EndKind.DONE)
    worker.pass_time(elapsed)
    worker.acknowledge(1)
    assert worker.noted == noted


@pytest.mark.parametrize(
    ("statuses", "uncertain"),
    [([504], True), ([0, 503], True), ([503], False), ([504, 200], False)],
)
def test_soak_waits_for_jobs_that_may_have_been_accepted(statuses, uncertain):
    """Guard against reporting a run of a job whose caller got no answer."""
    assert JobAnswers(1, statuses).uncertain is uncertain


@pytest.mark.parametrize(
    ("seed", "disturb_executors", "seconds"),
    [
        (1, False, SECONDS_OF_FAULTS),
        (109, True, SECONDS_OF_DISTURBED_EXECUTORS),
        (113, True, SECONDS_OF_DISTURBED_EXECUTORS),
    ],
)
def test_invariants_hold_under_random_faults(
    tmp_path, seed, disturb_executors, seconds
):
    """Guard against jobs that are lost, run twice or run although they were refused."""
    relays = RelayLoop()
    try:
        with ProcessGroup(tmp_path) as group:
            soak = Soak(group, relays, seed, disturb_executors)
            assert soak.run(seconds) == []
    finally:
        relays.close()


def test_cordons_hold_under_random_faults(tmp_path):
    """Guard against a cordon that is forgotten by a process that met other faults."""
    relays = RelayLoop()
    try:
        with ProcessGroup(tmp_path) as group:
            soak = Soak(group, relays, seed=3, cordons=True)
            assert soak.run(SECONDS_OF_DISTURBED_EXECUTORS) == []
    finally:
        relays.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_cancelled_jobs_never_run_if_their_write_is_late(tmp_path, seed):
    """Guard against a run of a job whose cancellation was answered "no such job"."""
    relays = RelayLoop()
    try:
        with ProcessGroup(tmp_path) as group:
            soak = Soak(group, relays, seed, late_writes=True)
            assert soak.run(SECONDS_OF_DISTURBED_EXECUTORS) == []
            assert any(one.cancelled_unseen for one in soak.answers.values())
    finally:
        relays.close()
