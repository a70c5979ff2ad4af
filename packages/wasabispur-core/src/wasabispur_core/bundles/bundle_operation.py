"""Define operators' requests about bundle changes, and the state of each operation.

The bundle is the versioned set of settings of all entry instances and agents. The
entry instance that gets an operator's request performs it as one operation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..chart import Chart, Lifecycle
from ..command import Command
from ..jobs.fleet import Fleet
from ..message import Message
from ..protocol import SignedBundle
from ..storage.store import ABSENT, Row, Transaction
from .bundle import BundleContent, BundleError
from .bundle_record import ChangeRecord, RecordReader, VersionRecord


class BundleConflictError(BundleError):
    """Report that another operator's write or change took effect first."""


class BundleOrderError(BundleError):
    """Report a step that the state of the change doesn't permit."""


class OwnChangeError(BundleError):
    """Report a review or a sign-off by the proposer of the change."""


class UntrustedSignatureError(BundleError):
    """Report a signature that isn't valid under the trusted keys."""


class UnknownChangeError(BundleError):
    """Report a change or a version that doesn't exist."""


class BundleStoreError(BundleError):
    """Report an operation whose rows can't be read or written."""


class OperationTimeoutError(BundleError):
    """Report an operation that did not finish within the timeout."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeOperation(Message):
    """Define the base of the requests for one step of a change."""

    operation_id: str
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeBundle(ChangeOperation):
    """Propose new content to replace the base version."""

    base_version: int
    summary: str
    content: BundleContent


@dataclass(frozen=True, slots=True, kw_only=True)
class ReviewBundle(ChangeOperation):
    """Confirm that an operator other than the proposer has reviewed the change."""

    note: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SignOffBundle(ChangeOperation):
    """Sign off a change with the operator's signature in hexadecimal."""

    signature: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptBundle(ChangeOperation):
    """Make a signed-off change the newest version."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectBundle(ChangeOperation):
    """Reject a change."""

    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleQuery(Message):
    """Define the base of the queries for stored changes or versions."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShowChange(BundleQuery):
    """Query one change."""

    change_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListChanges(BundleQuery):
    """Query the changes whose base versions are near a version.

    near is the version, and 0 stands for the newest version.
    """

    near: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersions(BundleQuery):
    """Query the accepted versions near a version.

    near is the version, and 0 stands for the newest version.
    """

    near: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRead(Message):
    """Report that a change's row and the pointer were read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveDue(Message):
    """Report that it is time to check whether an operation's write took effect."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationDue(Message):
    """Report that an operation's timeout has expired."""

    operation_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationEnded(Command):
    """Reply to the operator with the changes or versions of a completed operation."""

    operation_id: str
    changes: tuple[ChangeRecord, ...] = ()
    versions: tuple[VersionRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationFailed(Command):
    """Reply to the operator with the error of an operation.

    The operation had no effect, unless the error is an OperationTimeoutError.
    """

    operation_id: str
    error: BundleError


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleAccepted(Command):
    """Put an accepted bundle into force in this process, and offer it to all others."""

    bundle: SignedBundle


class SignatureVerifier(Protocol):
    """Check signatures against the trusted operators' keys."""

    def refusal(
        self, signer: str, version: int, payload: bytes, signature: bytes
    ) -> str:
        """Return why the signature can't be trusted, or an empty string if it can."""


@dataclass(slots=True)
class Operation:
    """Represent an operation in progress on a change.

    change is the change as its row was read, and change_version the version of that
    row. current_version is the newest bundle version. reads contains the names of the
    reads in flight. written is the change as the transaction writes it. attempts counts
    the checks whether the write took effect, and conflicted is set once the conditions
    of the write have failed.
    """

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
    """Represent a query whose rows are being read."""

    request: BundleQuery
    reads: set[str] = field(default_factory=set)
    rows: list[Row] = field(default_factory=list)


@dataclass(slots=True)
class BundleChangeState:
    """Represent the operations and queries in progress at an entry instance.

    fleets contains the workers by data centre, for the data centres whose workers
    attach to this entry instance.
    """

    chart: Chart
    records: RecordReader
    verifier: SignatureVerifier
    fleets: dict[str, Fleet] = field(default_factory=dict)
    operations: dict[str, Operation] = field(default_factory=dict)
    queries: dict[str, Query] = field(default_factory=dict)
