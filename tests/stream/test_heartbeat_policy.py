"""Test the choice of the streams with frequent heartbeats."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, strategies as st
from tests.stream.harness import Rig, run, until

from wasabispur_core.log_event import STREAM_SILENT
from wasabispur_core.membership.heartbeat_policy import near_entries
from wasabispur_core.protocol import Role
from wasabispur_standins.relay import RelayFault

ENTRIES = [f"10.0.0.{number}:8081" for number in range(1, 7)]
NAMES = st.lists(st.text("abc", min_size=1), min_size=1, max_size=8, unique=True)


@given(entries=NAMES, key=st.text(), count=st.integers(1, 4))
def test_choice_does_not_depend_on_the_order_in_the_settings(entries, key, count):
    """Guard against workers of one data centre that choose different entries."""
    chosen = near_entries(entries, {}, "r", key, count)
    assert chosen == near_entries(entries[::-1], {}, "r", key, count)
    assert len(chosen) == min(count, len(entries))


@given(entries=NAMES, key=st.text(), count=st.integers(1, 4), data=st.data())
def test_loss_of_an_entry_moves_only_its_own_agents(entries, key, count, data):
    """Guard against all agents changing their entries when one entry is replaced."""
    lost = data.draw(st.sampled_from(entries))
    rest = [entry for entry in entries if entry != lost]
    before = near_entries(entries, {}, "r", key, count)
    after = near_entries(rest, {}, "r", key, count)
    assert before - {lost} <= after
    if lost not in before:
        assert after == before


def test_entries_of_the_own_region_go_first():
    """Guard against frequent heartbeats on links between regions."""
    regions = dict.fromkeys(ENTRIES[:2], "Savannah")
    regions |= dict.fromkeys(ENTRIES[2:4], "Atlanta")
    chosen = near_entries(ENTRIES, regions, "Savannah", "s1", 2)
    assert chosen == set(ENTRIES[:2])
    chosen = near_entries(ENTRIES, regions, "Savannah", "s1", 3)
    assert len(chosen & set(ENTRIES[4:])) == 1


def test_data_centres_spread_over_the_entries():
    """Guard against an uneven spread of data centres over the entries."""
    chosen = Counter(
        entry
        for number in range(600)
        for entry in near_entries(ENTRIES, {}, "r", f"dc-{number}", 2)
    )
    # The mean is 200 for each entry; the bound is twelve standard deviations.
    assert all(60 < count < 340 for count in chosen.values())


@pytest.mark.parametrize(
    ("role", "near", "interval"),
    [
        (Role.ENDPOINT, True, 1.0),
        (Role.ENDPOINT, False, 1.0),
        (Role.WORKER, True, 5.0),
        (Role.WORKER, False, 30.0),
    ],
)
def test_both_sides_use_the_interval_of_the_role(role, near, interval):
    """Guard against two sides that disagree on when a stream is silent."""

    async def main() -> None:
        async with Rig() as rig:
            link = rig.link(role=role, near=near)
            await rig.attached()
            session = rig.membership.sessions["agent-1"]
            assert (session.interval, link.stream.interval) == (interval, interval)
            await rig.fault(RelayFault.SILENT)
            rig.timers.advance(interval * 3 - 0.1)
            assert rig.events.count(STREAM_SILENT) == 0
            rig.timers.advance(0.2)
            await until(lambda: rig.events.count(STREAM_SILENT) == 2)

    run(main())
