"""Track the state of the agents and peers that an entry instance knows.

Entry instances exchange digests of the members that have a stream to them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import singledispatch

from ..action import Action, perform
from ..chart import Chart, ChartCatalogue, Lifecycle
from ..command import CancelTimer, Command, SendToEntry, SetTimer
from ..error import UnhandledMessageError
from ..message import Message
from ..protocol import MembersDigest, MemberStatus

SUSPICION_TIMEOUT = 10.0
"""Seconds within which a member without a stream has to reconnect."""

RETENTION_TIME = 60.0
"""Seconds for which a dead member stays in the list."""

DIGEST_INTERVAL = 1.0
"""Shortest time in seconds between two digests to the peers."""

STATE_RANK = ("live", "joining", "leaving", "suspect", "dead")
"""States by precedence, for entries that report different states of a member."""

CONNECTED_STATES = ("live", "joining", "leaving")
"""States of a member with a stream to the entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FromAgent(Message):
    """Wrap a message with the id of the agent that sent it."""

    agent_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class FromPeer(Message):
    """Wrap a message with the id of the entry that sent it."""

    entry_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberAnnounced(Message):
    """Report an agent or a peer that opened a stream."""

    member_id: str
    kind: str
    region: str
    data_centre: str
    incarnation: int
    bundle_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberAlive(Message):
    """Report that a member is alive, with the bundle version in force there."""

    member_id: str
    bundle_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLost(Message):
    """Report that the stream to a member ended."""

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLeaving(Message):
    """Report that a member announced its planned stop."""

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionExpired(Message):
    """Report that a suspected member did not reconnect in time."""

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RetentionExpired(Message):
    """Report that a dead member has to be removed from the list."""

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DigestDue(Message):
    """Report that the digest is due; it is sent only if it changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DisconnectMember(Command):
    """End the stream of a process that a later incarnation has replaced."""

    member_id: str


@dataclass(slots=True)
class Member:
    """Represent an agent or a peer that has or had a stream to this entry."""

    announced: MemberAnnounced
    bundle_version: int
    lifecycle: Lifecycle


@dataclass(slots=True)
class MemberState:
    """Represent the members of one entry and the digests of its peers.

    The epoch increases with each digest and starts at the entry's incarnation, so
    that a digest from before a restart is recognised as old.
    """

    entry_id: str
    chart: Chart
    epoch: int
    members: dict[str, Member] = field(default_factory=dict)
    digests: dict[str, MembersDigest] = field(default_factory=dict)
    last_sent_statuses: tuple[MemberStatus, ...] = ()


class MemberAction(Action[MemberState, Member]):
    """Define an action of the member's state chart."""

    __slots__ = ()


class ApplyAnnouncement(MemberAction):
    """Store the announcement of the member."""

    __slots__ = ()


class RecordVersion(MemberAction):
    """Store the bundle version in force at the member."""

    __slots__ = ()


class StartSuspicion(MemberAction):
    """Start the time within which the member has to reconnect."""

    __slots__ = ()


class StartRetention(MemberAction):
    """Start the time for which the dead member stays in the list."""

    __slots__ = ()


def member_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the member's state chart bound to its actions."""
    return catalogue.bind("member", actions=MemberAction.__subclasses__())


@singledispatch
def decide(message: Message, state: MemberState, now: float) -> list[Command]:
    """Return the commands that a message to the member component causes."""
    raise UnhandledMessageError(
        f"the member component does not handle {type(message).__name__}",
        "send the message to the component that handles it",
    )


@decide.register
def _(message: MemberAnnounced, state: MemberState, now: float) -> list[Command]:
    member = state.members.get(message.member_id)
    if member is None or member.lifecycle.final:
        member = Member(message, message.bundle_version, state.chart.start())
        state.members[message.member_id] = member
    if message.incarnation < member.announced.incarnation:
        return [DisconnectMember(member_id=message.member_id)]
    return member.lifecycle.handle(message, state, member, now)


@decide.register(MemberAlive)
@decide.register(MemberLost)
@decide.register(MemberLeaving)
@decide.register(SuspicionExpired)
def _(
    message: MemberAlive | MemberLost | MemberLeaving | SuspicionExpired,
    state: MemberState,
    now: float,
) -> list[Command]:
    member = state.members.get(message.member_id)
    if member is None or member.lifecycle.final:
        return []
    return member.lifecycle.handle(message, state, member, now)


@decide.register
def _(message: RetentionExpired, state: MemberState, now: float) -> list[Command]:
    member = state.members.get(message.member_id)
    if member is not None and member.lifecycle.final:
        del state.members[message.member_id]
        state.digests.pop(message.member_id, None)
    return []


@decide.register
def _(message: DigestDue, state: MemberState, now: float) -> list[Command]:
    timer = SetTimer(timer_id="digest", delay=DIGEST_INTERVAL, message=DigestDue())
    if local_statuses(state) == state.last_sent_statuses:
        return [timer]
    return [timer, SendToEntry(entry_id="", message=next_digest(state))]


@decide.register
def _(message: MembersDigest, state: MemberState, now: float) -> list[Command]:
    if is_newer(message, state.digests.get(message.entry_id)):
        state.digests[message.entry_id] = message
    return []


@perform.register
def _(action: ApplyAnnouncement) -> list[Command]:
    message = action.message
    if not isinstance(message, MemberAnnounced):
        return []
    action.subject.announced = message
    action.subject.bundle_version = message.bundle_version
    return [CancelTimer(timer_id=f"suspicion/{message.member_id}")]


@perform.register
def _(action: RecordVersion) -> list[Command]:
    message = action.message
    if isinstance(message, MemberAlive):
        action.subject.bundle_version = message.bundle_version
    return []


@perform.register
def _(action: StartSuspicion) -> list[Command]:
    member_id = action.subject.announced.member_id
    due = SuspicionExpired(member_id=member_id)
    return [
        SetTimer(
            timer_id=f"suspicion/{member_id}", delay=SUSPICION_TIMEOUT, message=due
        )
    ]


@perform.register
def _(action: StartRetention) -> list[Command]:
    member_id = action.subject.announced.member_id
    due = RetentionExpired(member_id=member_id)
    return [
        SetTimer(timer_id=f"retention/{member_id}", delay=RETENTION_TIME, message=due)
    ]


def is_newer(digest: MembersDigest, known: MembersDigest | None) -> bool:
    """Return whether a digest is newer than the known one of the same entry."""
    return known is None or digest.epoch > known.epoch


def next_digest(state: MemberState) -> MembersDigest:
    """Return a digest of the attached members under a new epoch."""
    state.epoch += 1
    state.last_sent_statuses = local_statuses(state)
    return MembersDigest(
        entry_id=state.entry_id, epoch=state.epoch, members=state.last_sent_statuses
    )


def local_statuses(state: MemberState) -> tuple[MemberStatus, ...]:
    """Return the status of each member that has or had a stream to this entry."""
    return tuple(_status(member, state.entry_id) for member in state.members.values())


def merged_statuses(state: MemberState, own: MemberStatus) -> tuple[MemberStatus, ...]:
    """Return the status with the highest precedence of each known process."""
    chosen = {own.member_id: own}
    known = list(local_statuses(state))
    for digest in state.digests.values():
        known += _reported_statuses(digest, state)
    for status in sorted(known, key=_precedence):
        chosen.setdefault(status.member_id, status)
    return tuple(sorted(chosen.values(), key=lambda status: status.member_id))


def _reported_statuses(
    digest: MembersDigest, state: MemberState
) -> Iterable[MemberStatus]:
    """Return the members of a digest.

    Connected members count as suspect if the entry of the digest is not connected.
    """
    entry = state.members.get(digest.entry_id)
    if entry is not None and entry.lifecycle.state in CONNECTED_STATES:
        return digest.members
    return (
        replace(status, state="suspect") if status.state in CONNECTED_STATES else status
        for status in digest.members
    )


def _status(member: Member, entry_id: str) -> MemberStatus:
    return MemberStatus(
        member_id=member.announced.member_id,
        kind=member.announced.kind,
        region=member.announced.region,
        data_centre=member.announced.data_centre,
        state=member.lifecycle.state,
        bundle_version=member.bundle_version,
        entry_id=entry_id,
    )


def _precedence(status: MemberStatus) -> tuple[int, int]:
    rank = (
        STATE_RANK.index(status.state)
        if status.state in STATE_RANK
        else len(STATE_RANK)
    )
    return rank, -status.bundle_version
