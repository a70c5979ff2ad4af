"""Define the rows that hold bundle changes, accepted versions and the pointer."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, Protocol

from .bundle import BundleContent
from .protocol import SignedBundle

RECORD_SCHEMA = 1
"""Newest schema of the bundle rows that this release understands."""

POINTER_KEY = "bundle/current"
CHANGE_PREFIX = "bundle/change/"
VERSION_PREFIX = "bundle/version/"

VERSION_DIGITS = 9
"""Digits of a version in a key, so that keys sort like versions."""


class ChangeState(Enum):
    """List the states of a change; the names are those of the chart."""

    PROPOSED = "proposed"
    REVIEWED = "reviewed"
    SIGNED_OFF = "signed_off"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeStep:
    """Record who took which step of a change in which operation."""

    operation_id: str
    step: str
    operator: str
    note: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """Hold the row of one change; the signature is in hexadecimal."""

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
        """Return the version that the change has once it is accepted."""
        return self.base_version + 1

    def has_operation(self, operation_id: str) -> bool:
        """Return whether the operation took effect on this record."""
        return any(step.operation_id == operation_id for step in self.steps)


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRecord:
    """Hold the row of one accepted version; the signature is in hexadecimal."""

    schema: int = RECORD_SCHEMA
    version: int
    content: str
    digest: str
    change_id: str
    proposer: str
    signer: str
    signature: str

    def signed_bundle(self) -> SignedBundle:
        """Return the bundle as processes exchange it."""
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
    """Hold the row that names the newest accepted version."""

    schema: int = RECORD_SCHEMA
    version: int
    change_id: str


class RecordReader(Protocol):
    """Validate row values; they raise StoreError for an unusable one."""

    def change(self, value: dict[str, Any]) -> ChangeRecord:
        """Return the change in a row."""

    def version(self, value: dict[str, Any]) -> VersionRecord:
        """Return the accepted version in a row."""

    def content(self, text: str) -> BundleContent:
        """Return the content in a canonical text; raise InvalidBundleError."""

    def pointer(self, value: dict[str, Any]) -> PointerRecord:
        """Return the pointer in its row."""


def change_key(change_id: str) -> str:
    """Return the key of a change's row."""
    return CHANGE_PREFIX + change_id


def version_key(version: int) -> str:
    """Return the key of an accepted version's row."""
    return f"{VERSION_PREFIX}{version:0{VERSION_DIGITS}d}"


def block_prefix(prefix: str, version: int) -> str:
    """Return the key prefix shared by the ten versions around a version."""
    return f"{prefix}{version:0{VERSION_DIGITS}d}"[:-1]


def row_value(record: ChangeRecord | VersionRecord | PointerRecord) -> dict[str, Any]:
    """Return the JSON value of a record's row."""
    value = asdict(record)
    if isinstance(record, ChangeRecord):
        value["state"] = record.state.value
        value["steps"] = [asdict(step) for step in record.steps]
    return value


def version_record(change: ChangeRecord) -> VersionRecord:
    """Return the version that an accepted change becomes."""
    return VersionRecord(
        version=change.version,
        content=change.content,
        digest=change.digest,
        change_id=change.change_id,
        proposer=change.proposer,
        signer=change.signer,
        signature=change.signature,
    )
