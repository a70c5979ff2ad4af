"""Test how far workers are trusted by their health checks and their runs."""

from __future__ import annotations

import pytest

from wasabispur_core.workload.planning.doubt_wait import doubt_limit
from wasabispur_core.workload.planning.plan import Snapshot, Trust
from wasabispur_core.workload.planning.planner import Planner
from wasabispur_core.workload.workers.worker import HealthAnswer
from wasabispur_core.workload.workers.worker_health import (
    AVOID_TIME,
    FLAP_RECOVERY_TIME,
    RECOVERY_TIME,
    WorkerHealth,
)

from .test_planner import decide, placed, waiting, worker

HEALTHY, UNHEALTHY = HealthAnswer.HEALTHY, HealthAnswer.UNHEALTHY
UNANSWERED = HealthAnswer.UNANSWERED


def health(*answers: tuple[HealthAnswer, float]) -> WorkerHealth:
    """Return the health of a worker that gave answers from some times on."""
    found = WorkerHealth()
    for answer, since in ((HEALTHY, 0.0), *answers):
        found.answered(answer, since)
    return found


def test_unhealthy_worker_is_doubtful_until_it_has_recovered():
    """Guard against gang members on a worker that answers as unhealthy, or just did."""
    unhealthy = health((UNHEALTHY, 100.0))
    assert unhealthy.trust(100.0) is Trust.DOUBTFUL
    unhealthy.answered(HEALTHY, 120.0)
    assert unhealthy.trust(120.0 + RECOVERY_TIME - 0.1) is Trust.DOUBTFUL
    assert unhealthy.trust(120.0 + RECOVERY_TIME + 0.1) is Trust.FULL


def test_unanswered_check_counts_only_with_a_fault():
    """Guard against a worker that is doubted because its answers are slow."""
    silent = health((UNANSWERED, 100.0))
    assert silent.trust(100.0) is Trust.FULL
    assert silent.is_suspicious(100.0)


@pytest.mark.parametrize("ending", ["progressed", "succeeded"])
def test_run_outweighs_a_false_answer(ending):
    """Guard against capacity that is lost as long as a worker's answers are false."""
    sound = health((UNHEALTHY, 100.0))
    getattr(sound, ending)(started_at=99.0, now=101.0)
    assert sound.trust(101.0) is Trust.DOUBTFUL, "the run began before the answer"
    getattr(sound, ending)(started_at=101.0, now=102.5)
    assert sound.trust(102.5) is Trust.FULL
    sound.fault(started_at=101.0, now=103.0)
    sound.forget_faults()
    assert sound.trust(103.0) is Trust.DOUBTFUL, (
        "a fault shows that the answer was true"
    )


def test_flapping_worker_stays_doubtful_for_several_periods():
    """Guard against trust in each turn in which a worker that flaps is up."""
    flapping = health()
    for down in (100.0, 103.0, 106.0):
        flapping.answered(UNHEALTHY, down)
        flapping.answered(HEALTHY, down + 1.5)
    flapping.progressed(started_at=107.6, now=109.0)
    assert flapping.trust(107.5 + FLAP_RECOVERY_TIME - 0.1) is Trust.DOUBTFUL
    assert flapping.trust(107.5 + FLAP_RECOVERY_TIME + 0.1) is Trust.FULL


def test_turn_between_two_reports_is_noticed():
    """Guard against a worker whose turns fall between the reports on it."""
    flapping = health()
    for changes, since in ((0, 1.0), (2, 103.0), (4, 106.0)):
        flapping.answered(HEALTHY, since, changes)
    assert flapping.downs == [103.0, 106.0]
    assert flapping.flaps(106.0)


def test_restarts_do_not_clear_the_faults_of_a_flapping_worker():
    """Guard against trust that each restart of a flapping worker restores."""
    flapping = health()
    for restart in (100.0, 103.2):
        flapping.fault(started_at=restart - 1, now=restart)
        flapping.restarted(planned=False, now=restart)
    assert flapping.trust(103.2 + AVOID_TIME - 0.1) is Trust.AVOIDED
    announced = health()
    announced.restarted(planned=True, now=100.0)
    assert announced.trust(100.0) is Trust.FULL


def test_failed_trials_become_rarer():
    """Guard against a steady stream of units that fail on a faulty worker."""
    hidden = health()
    hidden.fault(started_at=90.0, now=100.0)
    hidden.fault(started_at=95.0, now=100.1)
    assert hidden.trust(100.0 + AVOID_TIME + 0.2) is Trust.DOUBTFUL
    hidden.fault(started_at=105.0, now=106.0)
    assert hidden.trust(106.0 + 2 * AVOID_TIME - 0.1) is Trust.AVOIDED
    hidden.succeeded(started_at=115.0, now=116.0)
    assert hidden.trust(116.0) is Trust.FULL


def test_gang_avoids_a_doubtful_worker_and_a_task_tries_it():
    """Guard against a gang that fails with a doubtful member beside other workers."""
    doubtful = worker(1, trust=Trust.DOUBTFUL)
    gang = waiting("gang", 8, size=2)
    assert placed(decide([doubtful, worker(2), worker(3)], [gang])) == {
        "gang": ["w2", "w3"]
    }
    task = waiting("task", 4, attempts_left=2)
    last = waiting("last", 4)
    full = worker(2, used=8)
    assert placed(decide([doubtful, full], [task])) == {"task": ["w1"]}
    assert placed(decide([doubtful, full], [last])) == {}
    avoided = worker(1, trust=Trust.AVOIDED)
    assert placed(decide([avoided, full], [task])) == {}


def test_gang_waits_for_healthy_workers_for_a_bounded_time():
    """Guard against a gang that waits for ever, or that runs on a flap at once."""
    fields = {"attempts_left": 2, "run_time": 5.0, "remaining": 5.0}
    gang = waiting("gang", 8, size=2, target_span=7.9, objective=7.9, **fields)
    limit = doubt_limit(gang, avoided=False)
    assert RECOVERY_TIME <= limit < 2.9
    workers = (worker(1, trust=Trust.DOUBTFUL), worker(2), worker(3, used=8))
    planner = Planner()

    def pass_at(now: float) -> dict[str, list[str]]:
        snapshot = Snapshot(now=now, workers=workers, waiting=(gang,), running=())
        return placed(planner.decide(snapshot))

    assert pass_at(20.0) == {}, "the unit waited for room before, not for health"
    assert pass_at(20.0 + limit - 0.1) == {}
    assert sorted(pass_at(20.0 + limit + 0.1)["gang"]) == ["w1", "w2"]
