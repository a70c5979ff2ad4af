"""Decide which connections an HTTP server keeps when a budget is exhausted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import islice

from .action import Action, perform
from .chart import Chart, ChartCatalogue, Lifecycle
from .command import Command
from .connection_order import ConnectionOrder, RANKS, usage_rank
from .http_limits import HttpLimits
from .message import Message

CANDIDATES = 32
"""Connections of a group among which one of a crowded address is preferred.

A search over all connections would cost a flood of connections quadratic time.
"""


class Group(IntEnum):
    """Name the groups of connections in the order in which they are closed."""

    LINGERING = 0
    IDLE = 1
    HEADER = 2
    BODY = 3
    RESPONDING = 4


@dataclass(slots=True, eq=False, kw_only=True)
class HttpConnection:
    """Represent a connection; held is the memory of its request in bytes.

    framing is the number of bytes of the present body beside its content. unsent is the
    size of a response that its client has not taken. close ends the connection from
    outside. group is None while a complete request is handled. rank is the place within
    the group.
    """

    address: str
    lifecycle: Lifecycle
    close: Callable[[], None]
    held: int = 0
    framing: int = 0
    unsent: int = 0
    group: Group | None = None
    rank: int = 0

    @property
    def usage_rank(self) -> int:
        """Return the rank by what the present request holds and has cost."""
        return usage_rank(self.held + self.framing)


@dataclass(slots=True)
class HttpConnections:
    """Hold the connections of one server and the budgets that they share.

    Each group is ordered by what its connections use, then by when they entered it.
    """

    limits: HttpLimits
    chart: Chart
    groups: dict[Group, ConnectionOrder[HttpConnection]] = field(
        default_factory=lambda: {group: ConnectionOrder() for group in Group}
    )
    by_address: Counter[str] = field(default_factory=Counter)
    count: int = 0
    held: int = 0
    unsent: int = 0

    def admit(self, address: str, close: Callable[[], None]) -> HttpConnection | None:
        """Return a new connection, or None if there is no room for it.

        Close another one if that makes room.
        """
        few = self.by_address[address] < self.limits.few_connections
        limit = self.limits.connections if few else self.limits.crowded_limit
        if self.count >= limit and not self.close_one():
            return None
        connection = HttpConnection(
            address=address, lifecycle=self.chart.start(), close=close
        )
        self.count += 1
        self.by_address[address] += 1
        self.move(connection, Group.IDLE)
        return connection

    def hold(self, connection: HttpConnection, size: int) -> bool:
        """Count the bytes that a request holds, or return False if there is no room.

        Close others with incomplete requests that use as much or more if that makes
        room.
        """
        growth = size - connection.held
        while growth > 0 and self.held + growth > self.limits.buffer_bytes:
            least = usage_rank(size + connection.framing)
            if not self._close_largest_request(connection, least):
                return False
        self.held += growth
        connection.held = size
        if connection.group is not None and connection.rank != connection.usage_rank:
            self.move(connection, connection.group)
        return True

    def release(self, connection: HttpConnection, remaining: int = 0) -> None:
        """Count only the remaining received bytes of a connection."""
        self.held -= connection.held - remaining
        connection.held = remaining
        connection.framing = 0
        self.unsent -= connection.unsent
        connection.unsent = 0

    def hold_response(self, connection: HttpConnection, size: int) -> None:
        """Count a response that is not taken at once, and close others to make room.

        A response that exceeds the budget alone is sent as the only one.
        """
        while self.unsent and self.unsent + size > self.limits.buffer_bytes:
            if not self._close_in_group(Group.RESPONDING, connection):
                break
        self.unsent += size
        connection.unsent = size

    def close_one(self) -> bool:
        """Close one connection to make room and return whether there was one."""
        return any(self._close_in_group(group) for group in Group)

    def _close_in_group(
        self, group: Group, exempt: HttpConnection | None = None
    ) -> bool:
        ranks = reversed(range(RANKS))
        return any(self._close_in_rank(group, rank, exempt) for rank in ranks)

    def _close_largest_request(self, exempt: HttpConnection, least: int) -> bool:
        """Close an incomplete request of the highest rank, at least the given one."""
        return any(
            self._close_in_rank(group, rank, exempt)
            for rank in range(RANKS - 1, least - 1, -1)
            for group in (Group.BODY, Group.HEADER)
        )

    def _close_in_rank(
        self, group: Group, rank: int, exempt: HttpConnection | None
    ) -> bool:
        newest_first = group is Group.HEADER
        ordered = self.groups[group].in_rank(rank, newest_first)
        candidates = [one for one in islice(ordered, CANDIDATES) if one is not exempt]
        if not candidates:
            return False
        victim = next(filter(self._is_crowded, candidates), candidates[0])
        close = victim.close
        self.handle(victim, ConnectionEnded())
        close()
        return True

    def handle(self, connection: HttpConnection, message: Message) -> None:
        """Follow the connection's chart; ignore events after its end."""
        if not connection.lifecycle.final:
            connection.lifecycle.handle(message, self, connection, 0.0)

    def move(self, connection: HttpConnection, group: Group | None) -> None:
        """Put a connection at the end of a group, or into none."""
        if connection.group is not None:
            self.groups[connection.group].remove(connection, connection.rank)
        connection.group = group
        if group is not None:
            connection.rank = connection.usage_rank
            self.groups[group].add(connection, connection.rank)

    def _is_crowded(self, connection: HttpConnection) -> bool:
        return self.by_address[connection.address] > self.limits.few_connections


@dataclass(frozen=True, slots=True)
class RequestBegun(Message):
    """Report the first byte of a request."""


@dataclass(frozen=True, slots=True)
class HeaderRead(Message):
    """Report the complete header of a request with a body."""


@dataclass(frozen=True, slots=True)
class BodyBytesRead(Message):
    """Report that a part of a body arrived; framing bytes of it are not content."""

    framing: int


@dataclass(frozen=True, slots=True)
class RequestRead(Message):
    """Report that a request is complete."""


@dataclass(frozen=True, slots=True)
class RequestRefused(Message):
    """Report that a refusal was sent and the connection is about to be closed."""


@dataclass(frozen=True, slots=True)
class ResponseReady(Message):
    """Report that the client did not take a response of this size at once.

    remaining bytes belong to the next request.
    """

    size: int
    remaining: int


@dataclass(frozen=True, slots=True)
class ResponseWritten(Message):
    """Report a written response; remaining bytes belong to the next request."""

    remaining: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded(Message):
    """Report the end of a connection."""


class _ConnectionAction(Action[HttpConnections, HttpConnection]):
    __slots__ = ()


class JoinIdle(_ConnectionAction):
    """Put the connection at the end of the idle ones."""

    __slots__ = ()


class JoinHeader(_ConnectionAction):
    """Put the connection at the end of those with an incomplete header.

    These are closed from the end, the newest first.
    """

    __slots__ = ()


class JoinBody(_ConnectionAction):
    """Put the connection at the end of the incomplete bodies that use as much.

    It moves there with each new part, so the first one has waited the longest.
    """

    __slots__ = ()


class CountFraming(_ConnectionAction):
    """Count the bytes of a body beside its content as used by the connection."""

    __slots__ = ()


class JoinResponding(_ConnectionAction):
    """Put the connection at the end of those that take a response."""

    __slots__ = ()


class HoldResponse(_ConnectionAction):
    """Count the bytes of the response instead of those of its request."""

    __slots__ = ()


class JoinLingering(_ConnectionAction):
    """Release the bytes and put the connection among those closed first."""

    __slots__ = ()


class LeaveGroup(_ConnectionAction):
    """Exempt the connection from closing, as its request is complete."""

    __slots__ = ()


class ReleaseBytes(_ConnectionAction):
    """Stop counting the bytes of a request that has its response."""

    __slots__ = ()


class ForgetConnection(_ConnectionAction):
    """Remove the connection and its bytes from the budgets."""

    __slots__ = ()


@perform.register
def _(action: JoinIdle) -> list[Command]:
    action.state.move(action.subject, Group.IDLE)
    return []


@perform.register
def _(action: JoinHeader) -> list[Command]:
    action.state.move(action.subject, Group.HEADER)
    return []


@perform.register
def _(action: JoinBody) -> list[Command]:
    action.state.move(action.subject, Group.BODY)
    return []


@perform.register
def _(action: CountFraming) -> list[Command]:
    assert isinstance(action.message, BodyBytesRead)
    action.subject.framing = action.message.framing
    return []


@perform.register
def _(action: JoinResponding) -> list[Command]:
    action.state.move(action.subject, Group.RESPONDING)
    return []


@perform.register
def _(action: HoldResponse) -> list[Command]:
    assert isinstance(action.message, ResponseReady)
    action.state.release(action.subject, action.message.remaining)
    action.state.hold_response(action.subject, action.message.size)
    return []


@perform.register
def _(action: JoinLingering) -> list[Command]:
    action.state.release(action.subject)
    action.state.move(action.subject, Group.LINGERING)
    return []


@perform.register
def _(action: LeaveGroup) -> list[Command]:
    action.state.move(action.subject, None)
    return []


@perform.register
def _(action: ReleaseBytes) -> list[Command]:
    assert isinstance(action.message, ResponseWritten)
    action.state.release(action.subject, action.message.remaining)
    return []


@perform.register
def _(action: ForgetConnection) -> list[Command]:
    table = action.state
    table.release(action.subject)
    table.move(action.subject, None)
    action.subject.close = _already_closed
    table.count -= 1
    table.by_address[action.subject.address] -= 1
    if not table.by_address[action.subject.address]:
        del table.by_address[action.subject.address]
    return []


def _already_closed() -> None:
    """Replace the function that refers to the objects of a closed connection.

    They would wait for the garbage collector otherwise.
    """


ACTIONS = (
    JoinIdle,
    JoinHeader,
    JoinBody,
    CountFraming,
    JoinResponding,
    HoldResponse,
    JoinLingering,
    LeaveGroup,
    ReleaseBytes,
    ForgetConnection,
)


def http_connection_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a client's connection."""
    return catalogue.bind("http_connection", actions=ACTIONS)
