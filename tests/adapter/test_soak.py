"""Guard the real programs against random faults, with fixed seeds.

Seed 1 failed once: an owner cut from the store for longer than the lease horizon
gave workers up before it had read their reports, and finished tasks ran again.
"""

from __future__ import annotations

import pytest

from wasabispur_core.workload.spec import Resources
from wasabispur_core.workload.worker import EndKind
from wasabispur_platform_standin.relays import RelayLoop
from wasabispur_platform_standin.soak import Soak
from wasabispur_standins.process import ProcessGroup
from wasabispur_standins.simulated_worker import Running, SimulatedWorker

SECONDS_OF_FAULTS = 12


@pytest.mark.parametrize(("away", "noted"), [(1.0, ["t.0.0.0"]), (9.0, [])])
def test_end_counts_if_the_lease_held_until_its_acknowledgement(away, noted):
    """Guard against a second run that is blamed on the system after a lapsed lease.

    Soak seed 8: an agent was cut off for 19.6 s, longer than any lease, and the task
    that had ended at its worker meanwhile ran again elsewhere.
    """
    worker = SimulatedWorker("w", "a", Resources(cpu=1_000), "r1-1")
    run = Running("t.0.0.0", 1, Resources(cpu=1_000), remaining_work=1.0)
    assert worker.start(run, 1, worker.clock + 5.0) == ""
    worker.end("t.0.0.0", EndKind.DONE)
    worker.pass_time(away)
    worker.acknowledge(1)
    assert worker.noted == noted


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_under_random_faults(tmp_path, seed):
    """Guard against lost, doubled and untruthfully refused jobs."""
    relays = RelayLoop()
    try:
        with ProcessGroup(tmp_path) as group:
            soak = Soak(group, relays, seed)
            assert soak.run(SECONDS_OF_FAULTS) == []
    finally:
        relays.close()
