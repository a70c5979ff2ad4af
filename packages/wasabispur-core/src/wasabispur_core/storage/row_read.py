"""Define the actions and guards of the row_read state chart.

With them the table client reads the rows under a prefix, page by page.
"""

from __future__ import annotations

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import Command
from .store import RowsRead, RowsUnavailable
from .store_access import (
    BackOff,
    Expired,
    finish_call,
    RecordFailureReason,
    SetExpiry,
    StoreAccess,
)
from .store_call import PageRead, ReadCall, SendPageRead

ROWS_LIMIT = 50_000
"""Maximum number of rows that one read returns."""


class ReadAction(Action[StoreAccess, ReadCall]):
    """Define an action of the row_read state chart; its subject is the read call."""

    __slots__ = ()


class ReadGuard(Guard[StoreAccess, ReadCall]):
    """Define a guard of the row_read state chart; its subject is the read call."""

    __slots__ = ()


class QueuePage(ReadAction):
    """Queue the read of the next page."""

    __slots__ = ()


class AppendPage(ReadAction):
    """Append the rows of the page and record where the next page starts."""

    __slots__ = ()


class RecordRowLimitExceeded(ReadAction):
    """Record that the prefix has more rows than one read may return."""

    __slots__ = ()


class DeliverRows(ReadAction):
    """Deliver all rows."""

    __slots__ = ()


class DeliverRowsUnavailable(ReadAction):
    """Report that the table service can't serve the read."""

    __slots__ = ()


class ServiceOpen(ReadGuard):
    """Check that the client admits new calls.

    It refuses them while the circuit is open or too many calls are waiting.
    """

    __slots__ = ()


class LastPage(ReadGuard):
    """Check whether the page is the last one."""

    __slots__ = ()


class TooManyRows(ReadGuard):
    """Check whether the rows so far exceed the limit of one read."""

    __slots__ = ()


def row_read_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the row_read chart bound to its actions and guards."""
    return catalogue.bind(
        "row_read",
        actions=[*ReadAction.__subclasses__(), SetExpiry, BackOff, RecordFailureReason],
        guards=[*ReadGuard.__subclasses__(), Expired],
    )


@holds.register
def _(guard: ServiceOpen) -> bool:
    return not guard.state.refusal_reason


@holds.register
def _(guard: LastPage) -> bool:
    return isinstance(guard.message, PageRead) and guard.message.next_key is None


@holds.register
def _(guard: TooManyRows) -> bool:
    message = guard.message
    added = len(message.rows) if isinstance(message, PageRead) else 0
    return len(guard.subject.rows) + added > ROWS_LIMIT


@perform.register
def _(action: QueuePage) -> list[Command]:
    call = action.subject
    send = SendPageRead(call_id=call.call_id, prefix=call.prefix, after=call.after)
    action.state.reads.waiting.append(send)
    return []


@perform.register
def _(action: AppendPage) -> list[Command]:
    message = action.message
    if isinstance(message, PageRead):
        action.subject.rows += message.rows
        action.subject.after = message.next_key or ""
    return []


@perform.register
def _(action: RecordRowLimitExceeded) -> list[Command]:
    action.subject.reason = f"the prefix holds more than {ROWS_LIMIT} rows"
    return []


@perform.register
def _(action: DeliverRows) -> list[Command]:
    call = action.subject
    result = RowsRead(read_id=call.read_id, rows=tuple(call.rows))
    return finish_call(action.state, call, result)


@perform.register
def _(action: DeliverRowsUnavailable) -> list[Command]:
    call = action.subject
    reason = call.reason or action.state.refusal_reason
    result = RowsUnavailable(
        read_id=call.read_id, reason=reason or "the time for the call is over"
    )
    return finish_call(action.state, call, result)
