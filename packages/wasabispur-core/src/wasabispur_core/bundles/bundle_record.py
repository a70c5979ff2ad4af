"""Define the rows of bundle changes, accepted versions and the pointer.

The bundle is the versioned set of settings of all entry instances and agents. The rows
are in the table service. The pointer is one row that names the newest accepted version.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, Protocol

from ..protocol import SignedBundle
from .bundle import BundleContent

RECORD_SCHEMA = 1
"""Schema of the bundle rows that this release reads and writes."""

POINTER_KEY = "bundle/current"
CHANGE_PREFIX = "bundle/change/"
VERSION_PREFIX = "bundle/version/"

VERSION_DIGITS = 9
"""Number of digits of a version in a key, so that keys sort in version order."""


class ChangeState(Enum):
    """Define the states of a change; the names are those of the state chart."""

    PROPOSED = "proposed"
    REVIEWED = "reviewed"
    SIGNED_OFF = "signed_off"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeStep:
    """Describe a step of a change; note is an operator's note or reason."""

    operation_id: str
    step: str
    operator: str
    note: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """Define the row of one change.

    content is the canonical JSON text, digest its SHA-256 digest, and signature the
    signer's signature, both in hexadecimal. steps are in the order of their writes.
    """

    schema: int = RECORD_SCHEMA
    change_id: str
    state: ChangeState
    base_version: int
    proposer: str
    summary: str
    content: str
    digest: str
    signer: str = ""
    signature: str = ""
    steps: tuple[ChangeStep, ...] = ()

    @property
    def version(self) -> int:
        """Return the version that the change becomes when it is accepted."""
        return self.base_version + 1

    def has_operation(self, operation_id: str) -> bool:
        """Return whether a step of this record was written by the operation."""
        return any(step.operation_id == operation_id for step in self.steps)


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRecord:
    """Define the row of one accepted version; signature is in hexadecimal."""

    schema: int = RECORD_SCHEMA
    version: int
    content: str
    digest: str
    change_id: str
    proposer: str
    signer: str
    signature: str

    def signed_bundle(self) -> SignedBundle:
        """Return the bundle in the form that processes exchange."""
        return SignedBundle(
            version=self.version,
            content=self.content,
            digest=self.digest,
            change_id=self.change_id,
            proposer=self.proposer,
            signer=self.signer,
            signature=bytes.fromhex(self.signature),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PointerRecord:
    """Define the row that names the newest accepted version."""

    schema: int = RECORD_SCHEMA
    version: int
    change_id: str


class RecordReader(Protocol):
    """Validate row values; the methods raise StoreError for an invalid value."""

    def change(self, value: dict[str, Any]) -> ChangeRecord:
        """Return the change in a row."""

    def version(self, value: dict[str, Any]) -> VersionRecord:
        """Return the accepted version in a row."""

    def content(self, text: str) -> BundleContent:
        """Return the content of a canonical text, or raise InvalidBundleError."""

    def pointer(self, value: dict[str, Any]) -> PointerRecord:
        """Return the pointer in a row."""


def change_key(change_id: str) -> str:
    """Return the key of a change's row."""
    return CHANGE_PREFIX + change_id


def version_key(version: int) -> str:
    """Return the key of an accepted version's row."""
    return f"{VERSION_PREFIX}{version:0{VERSION_DIGITS}d}"


def block_prefix(prefix: str, version: int) -> str:
    """Return the key prefix of the ten versions that differ in the last digit."""
    return f"{prefix}{version:0{VERSION_DIGITS}d}"[:-1]


def row_value(record: ChangeRecord | VersionRecord | PointerRecord) -> dict[str, Any]:
    """Return the JSON value of a record's row."""
    value = asdict(record)
    if isinstance(record, ChangeRecord):
        value["state"] = record.state.value
        value["steps"] = [asdict(step) for step in record.steps]
    return value


def version_record(change: ChangeRecord) -> VersionRecord:
    """Return the record of the version that an accepted change becomes."""
    return VersionRecord(
        version=change.version,
        content=change.content,
        digest=change.digest,
        change_id=change.change_id,
        proposer=change.proposer,
        signer=change.signer,
        signature=change.signature,
    )
