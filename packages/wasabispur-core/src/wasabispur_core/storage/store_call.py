"""Define the calls to the platform's stores and the messages about them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..chart import Lifecycle
from ..command import Command
from ..message import Message
from .store import Row, Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class CallMessage(Message):
    """Represent a message about one call."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionRequested(CallMessage):
    """Request a transaction."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsRequested(CallMessage):
    """Request all rows under a prefix."""

    read_id: str
    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallSent(CallMessage):
    """Report that a call was taken from the queue and sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallExpired(CallMessage):
    """Report that the deadline of a call has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDue(CallMessage):
    """Report that the delay before a retry is over."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CircuitOpened(CallMessage):
    """Report that the circuit opened because the service is considered down."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswer(CallMessage):
    """Represent how a sent call ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionApplied(CallAnswer):
    """Report that the service applied the transaction."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConditionsFailed(CallAnswer):
    """Report the keys for which conditions of the transaction don't hold."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsFound(CallAnswer):
    """Deliver those of the looked-up rows that exist."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PageRead(CallAnswer):
    """Deliver one page of rows; next_key is None on the last page."""

    rows: tuple[Row, ...]
    next_key: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRejected(CallAnswer):
    """Report an error of the call that a retry can't resolve."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallThrottled(CallAnswer):
    """Report that the call exceeded the service's rate limit and had no effect."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefused(CallAnswer):
    """Report that the service is down and the call had no effect."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLost(CallAnswer):
    """Report that no valid answer arrived; the call may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendCall(Command):
    """Represent a command that calls the service."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTransaction(SendCall):
    """Send a transaction."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLookup(SendCall):
    """Read single rows; timeout in seconds replaces the client's default."""

    keys: tuple[str, ...]
    timeout: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPageRead(SendCall):
    """Read the page of rows under a prefix that follows a key."""

    prefix: str
    after: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DeliverResult(Command):
    """Deliver a call's result to the requester."""

    call_id: int
    result: Message


@dataclass(slots=True, kw_only=True)
class Call:
    """Represent the state of one call; deadline is in monotonic seconds."""

    call_id: int
    lifecycle: Lifecycle
    deadline: float
    retries: int = 0
    reason: str = ""


@dataclass(slots=True, kw_only=True)
class TransactionCall(Call):
    """Represent a transaction; uncertain is set once an answer to it was lost."""

    transaction: Transaction
    uncertain: bool = False
    conflicts: tuple[str, ...] = ()
    found: tuple[Row, ...] = ()


@dataclass(slots=True, kw_only=True)
class ReadCall(Call):
    """Represent a read and the pages that have arrived."""

    read_id: str
    prefix: str
    after: str = ""
    rows: list[Row] = field(default_factory=list)
