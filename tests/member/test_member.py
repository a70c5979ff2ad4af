"""Test the state of members and the digests between entries."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import CancelTimer, Command, SendToEntry, SetTimer
from wasabispur_core.membership.member import (
    decide,
    DigestDue,
    DisconnectMember,
    member_chart,
    MemberAlive,
    MemberAnnounced,
    MemberLeaving,
    MemberLost,
    MemberState,
    merged_statuses,
    next_digest,
    RETENTION_TIME,
    RetentionExpired,
    SUSPICION_TIMEOUT,
    SuspicionExpired,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import MembersDigest, MemberStatus

CHART = member_chart(ChartCatalogue())
OWN = MemberStatus(
    member_id="entry-a",
    kind="entry",
    region="atlanta",
    data_centre="atl-1",
    state="live",
    bundle_version=3,
    entry_id="entry-a",
)
ALIVE = MemberAlive(member_id="agent", bundle_version=2)
LOST = MemberLost(member_id="agent")
LEAVING = MemberLeaving(member_id="agent")
SUSPICION_EXPIRED = SuspicionExpired(member_id="agent")
RETENTION_EXPIRED = RetentionExpired(member_id="agent")


def announced(incarnation: int = 1) -> MemberAnnounced:
    return MemberAnnounced(
        member_id="agent",
        kind="agent",
        region="atlanta",
        data_centre="atl-1",
        incarnation=incarnation,
        bundle_version=1,
    )


def new_state(entry_id: str = "entry-a") -> MemberState:
    return MemberState(entry_id, CHART, 1)


def tell(state: MemberState, *messages: Message) -> list[Command]:
    return [command for m in messages for command in decide(m, state, 0.0)]


@pytest.mark.parametrize(
    ("messages", "expected"),
    [
        ([announced()], "joining"),
        ([announced(), ALIVE], "live"),
        ([announced(), ALIVE, LOST], "suspect"),
        ([announced(), ALIVE, LOST, announced()], "joining"),
        ([announced(), ALIVE, LOST, SUSPICION_EXPIRED], "dead"),
        ([announced(), ALIVE, SUSPICION_EXPIRED], "live"),
        ([announced(), ALIVE, LEAVING], "leaving"),
        ([announced(), ALIVE, LEAVING, ALIVE], "leaving"),
        ([announced(), ALIVE, LEAVING, LOST], "dead"),
        ([announced(), LOST, SUSPICION_EXPIRED, ALIVE], "dead"),
        ([announced(), LOST, SUSPICION_EXPIRED, announced(2)], "joining"),
    ],
)
def test_state_follows_the_messages(messages, expected):
    """Guard against a member that is shown live although it is not."""
    state = new_state()
    tell(state, *messages)
    assert state.members["agent"].lifecycle.state == expected


def test_lost_member_is_removed_after_suspicion_and_retention():
    """Guard against a member list that never shrinks."""
    state = new_state()
    commands = tell(state, announced(), ALIVE, LOST, SUSPICION_EXPIRED)
    delays = [c.delay for c in commands if isinstance(c, SetTimer)]
    assert delays == [SUSPICION_TIMEOUT, RETENTION_TIME]
    tell(state, RETENTION_EXPIRED)
    assert not state.members


def test_member_that_reconnected_is_not_removed():
    """Guard against removing a process that restarted within the retention."""
    state = new_state()
    commands = tell(
        state, announced(), LOST, SUSPICION_EXPIRED, announced(2), RETENTION_EXPIRED
    )
    assert state.members["agent"].lifecycle.state == "joining"
    assert any(isinstance(command, CancelTimer) for command in commands)


def test_older_incarnation_of_a_process_is_refused():
    """Guard against a resumed old process that replaces the newer process."""
    state = new_state()
    commands = tell(state, announced(2), ALIVE, announced(1))
    assert DisconnectMember(member_id="agent") in commands
    assert state.members["agent"].announced.incarnation == 2


def test_digest_is_sent_only_if_it_changed():
    """Guard against traffic between entries that grows without any change."""
    state = new_state()

    def digests() -> list[Command]:
        return [c for c in tell(state, DigestDue()) if isinstance(c, SendToEntry)]

    tell(state, announced(), ALIVE)
    assert len(digests()) == 1
    assert digests() == []
    tell(state, MemberAlive(member_id="agent", bundle_version=3))
    assert len(digests()) == 1


@given(st.permutations(range(5)), st.lists(st.integers(0, 4), max_size=5))
def test_digests_in_any_order_end_at_the_newest(order, repeated):
    """Guard against a late or repeated digest that brings an old state back."""
    sender, receiver = new_state("entry-b"), new_state()
    tell(sender, announced())
    digests: list[MembersDigest] = []
    for version in range(5):
        tell(sender, MemberAlive(member_id="agent", bundle_version=version))
        digests.append(next_digest(sender))
    tell(receiver, *(digests[i] for i in (*order, *repeated)))
    shown = {s.member_id: s for s in merged_statuses(receiver, OWN)}
    assert shown["agent"].bundle_version == 4


def test_digest_from_before_a_restart_of_the_entry_is_dropped():
    """Guard against a restarted entry whose new digests are taken for old ones."""
    old, receiver = new_state("entry-b"), new_state()
    tell(old, announced(), ALIVE)
    late = [next_digest(old) for _ in range(3)]
    restarted = MemberState("entry-b", CHART, 1_000)
    tell(receiver, next_digest(restarted), *late)
    assert receiver.digests["entry-b"].members == ()


def test_members_of_a_lost_entry_are_shown_as_suspect():
    """Guard against unreachable processes that are shown as live."""
    state, other = new_state(), new_state("entry-b")
    tell(other, announced(), ALIVE)
    tell(state, next_digest(other))
    shown = {status.member_id: status for status in merged_statuses(state, OWN)}
    assert shown["agent"].state == "suspect"


def test_live_status_outranks_the_suspicion_of_another_entry():
    """Guard against a live process shown as suspect because of one broken stream."""
    state, other = new_state(), new_state("entry-b")
    tell(state, announced(), ALIVE, LOST)
    tell(other, announced(), ALIVE)
    tell(state, replace(announced(), member_id="entry-b", kind="entry"))
    tell(state, next_digest(other))
    shown = {status.member_id: status for status in merged_statuses(state, OWN)}
    assert shown["agent"].state == "live"
    assert shown["entry-a"] == OWN
