"""Guard the real programs against random faults, with fixed seeds.

Seed 1 failed once: an owner cut from the store for longer than the lease horizon
gave workers up before it had read their reports, and finished tasks ran again.
"""

from __future__ import annotations

import pytest

from wasabispur_platform_standin.relays import RelayLoop
from wasabispur_platform_standin.soak import Soak
from wasabispur_standins.process import ProcessGroup

SECONDS_OF_FAULTS = 12


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
