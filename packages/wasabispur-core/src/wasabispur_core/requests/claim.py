"""Describe the claim row of a non-idempotent request.

The row in the table service lets only one request run for an idempotency key. The
claim is released if that request certainly did not run, and completed with the
response if it ran.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any
from urllib.parse import quote

from ..message import Message
from ..protocol import AttemptCompleted
from ..storage.store import ABSENT, Row, ROW_LIMIT_BYTES, row_size

CLAIM_SCHEMA = 1
"""Version of the format of claim rows."""

CLAIMED = "claimed"
COMPLETED = "completed"
RELEASED = "released"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOwned(Message):
    """Report that the claim row belongs to this request."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFree(Message):
    """Report that no request holds the claim."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimPending(Message):
    """Report that another request holds the claim and has no stored result."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimCompleted(Message):
    """Report the stored response of the run that held the claim."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimResponseTooLarge(Message):
    """Report that the run completed but its response was too large to store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimMismatched(Message):
    """Report that the idempotency key was used for another request."""


def claim_key(organisation: str, idempotency_key: str) -> str:
    """Return the key of the claim row.

    Quoting prevents two organisations from sharing a key.
    """
    return f"claim/{quote(organisation, safe='')}/{quote(idempotency_key, safe='')}"


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that detects the use of one idempotency key for other requests.

    Repeats of the same request have the same digest.
    """
    digest = sha256()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def claim_value(request_id: str, digest: str, state: str) -> dict[str, Any]:
    """Return the value of the claim row without a response."""
    return {
        "schema": CLAIM_SCHEMA,
        "state": state,
        "request_id": request_id,
        "fingerprint": digest,
    }


def completed_value(
    request_id: str, digest: str, response: AttemptCompleted
) -> dict[str, Any]:
    """Return the value of the claim row, with the response if it fits in a row."""
    value = claim_value(request_id, digest, COMPLETED)
    whole = value | {
        "status": response.status,
        "headers": response.headers,
        "body": b64encode(response.body).decode(),
    }
    return whole if row_size(whole) <= ROW_LIMIT_BYTES else value


def claim_status(
    rows: tuple[Row, ...], key: str, request_id: str, digest: str
) -> Message:
    """Return the state of a request's claim according to the rows that were read."""
    row = next((row for row in rows if row.key == key), None)
    if row is None:
        return ClaimFree(version=ABSENT)
    value = row.value
    if value.get("schema") != CLAIM_SCHEMA:
        # A newer software version wrote the row in a format that this one can't read,
        # so the request must not run again.
        return ClaimPending()
    if value.get("state") == RELEASED:
        return ClaimFree(version=row.version)
    if value.get("request_id") == request_id:
        return ClaimOwned(version=row.version)
    if value.get("fingerprint") != digest:
        return ClaimMismatched()
    if value.get("state") != COMPLETED:
        return ClaimPending()
    if "status" not in value:
        return ClaimResponseTooLarge()
    return ClaimCompleted(
        status=int(value["status"]),
        headers=dict(value["headers"]),
        body=b64decode(value["body"]),
    )
