"""Define what operators ask of bundle changes, and the state of each operation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from .bundle import BundleContent, BundleError
from .bundle_record import ChangeRecord, RecordReader, VersionRecord
from .chart import Chart, Lifecycle
from .command import Command
from .fleet import Fleet
from .message import Message
from .protocol import SignedBundle
from .store import ABSENT, Row, Transaction


class BundleConflictError(BundleError):
    """Report that another operator's change came first."""


class BundleOrderError(BundleError):
    """Report a step that the state of the change doesn't allow."""


class OwnChangeError(BundleError):
    """Report an operator who reviews or signs off a change of their own."""


class UntrustedSignatureError(BundleError):
    """Report a signature that isn't valid under the trusted keys."""


class UnknownChangeError(BundleError):
    """Report a change or a version that doesn't exist."""


class BundleStoreError(BundleError):
    """Report an operation whose rows can't be read or written."""


class OperationTimeoutError(BundleError):
    """Report an operation that the table service did not finish in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeOperation(Message):
    """Ask for one step of a change."""

    operation_id: str
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeBundle(ChangeOperation):
    """Propose new content on top of a version."""

    base_version: int
    summary: str
    content: BundleContent


@dataclass(frozen=True, slots=True, kw_only=True)
class ReviewBundle(ChangeOperation):
    """Confirm that another operator has read the change."""

    note: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SignOffBundle(ChangeOperation):
    """Deliver another operator's signature, in hexadecimal."""

    signature: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptBundle(ChangeOperation):
    """Make a signed-off change the newest version."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectBundle(ChangeOperation):
    """Give up a change."""

    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleQuery(Message):
    """Ask for stored changes or versions."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShowChange(BundleQuery):
    """Ask for one change."""

    change_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListChanges(BundleQuery):
    """Ask for the changes on top of versions near one; 0 stands for the newest."""

    near: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersions(BundleQuery):
    """Ask for the accepted versions near one; 0 stands for the newest."""

    near: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRead(Message):
    """Report that a change's row and the pointer were read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveDue(Message):
    """Tell an operation to find out whether its write took effect."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationDue(Message):
    """Report that an operation's time is over."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationEnded(Command):
    """Give the operator the records that the operation concerned."""

    operation_id: str
    changes: tuple[ChangeRecord, ...] = ()
    versions: tuple[VersionRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationFailed(Command):
    """Tell the operator why the operation had no effect."""

    operation_id: str
    error: BundleError


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleAccepted(Command):
    """Put an accepted bundle into force here and offer it to all processes."""

    bundle: SignedBundle


class SignatureVerifier(Protocol):
    """Check signatures against the trusted operators' keys."""

    def refusal(
        self, signer: str, version: int, payload: bytes, signature: bytes
    ) -> str:
        """Return why the signature can't be trusted, or an empty text if it can."""


@dataclass(slots=True)
class Operation:
    """Hold one operation on a change while its rows are read and written."""

    request: ChangeOperation
    lifecycle: Lifecycle
    change: ChangeRecord | None = None
    change_version: int = ABSENT
    current_version: int = 0
    pointer_row_version: int = ABSENT
    reads: set[str] = field(default_factory=set)
    read_count: int = 0
    transaction: Transaction | None = None
    written: ChangeRecord | None = None
    attempts: int = 0
    conflicted: bool = False


@dataclass(slots=True)
class Query:
    """Hold one query while its rows are read."""

    request: BundleQuery
    reads: set[str] = field(default_factory=set)
    rows: list[Row] = field(default_factory=list)


@dataclass(slots=True)
class BundleChangeState:
    """Own the operations in progress at this entry.

    The fleets are those of the data centres whose workers attach to this entry.
    """

    chart: Chart
    records: RecordReader
    verifier: SignatureVerifier
    fleets: dict[str, Fleet] = field(default_factory=dict)
    operations: dict[str, Operation] = field(default_factory=dict)
    queries: dict[str, Query] = field(default_factory=dict)
