"""Test admission control with real processes of entry instances and an agent."""

from __future__ import annotations

import pytest

from wasabispur_core.log_event import LOAD_KNOWN
from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_standins.process import ProcessGroup, wait_for

from .test_cordon_process import logged
from .test_platform_process import wait_until_completed

JOB = "00000000000000d1"


@pytest.mark.parametrize("admission", [False, True])
def test_entries_follow_the_load_where_it_is_used(tmp_path, admission):
    """Guard against a feed that works only with fakes, or in every deployment."""
    with ProcessGroup(tmp_path) as group:
        system = PlatformSystem(
            group, entries=2, workers=1, admission_control=admission
        )
        system.wait_ready()

        def known() -> set[str]:
            found = logged(system, LOAD_KNOWN.number)
            return {record["process"] for record in found}

        if admission:
            wait_for("the load at both entries", lambda: len(known()) == 2, limit=20)
        assert system.submit("entry-1", JOB, 2, seconds=0.3).status == 200
        wait_until_completed(system, JOB)
        assert len(known()) == (2 if admission else 0)
        for child in system.children.values():
            assert "Traceback" not in child.output(), child.output()[-2000:]
        system.kill()
