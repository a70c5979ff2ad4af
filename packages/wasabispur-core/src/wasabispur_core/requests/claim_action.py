"""Implement the claim actions and guards of the request's state chart."""

from __future__ import annotations

from functools import singledispatch

from ..action import holds, perform
from ..command import Command, ReadRows, SetTimer, Transact
from ..message import Message
from ..storage.store import (
    ABSENT,
    Committed,
    Condition,
    StoreUnavailable,
    Transaction,
    Write,
)
from .claim import (
    claim_key,
    claim_value,
    ClaimCompleted,
    CLAIMED,
    ClaimFree,
    ClaimOwned,
    completed_value,
    fingerprint,
    RELEASED,
)
from .request import Request, RequestAction, RequestGuard
from .request_message import ClaimCheckDue
from .request_reply import reply_with_response

CLAIM_CHECK_BASE_DELAY = 0.2
CLAIM_CHECK_DELAY_LIMIT = 5.0
"""Base and limit in seconds of the jittered delay before the next claim check."""

CLAIM_CHECK_COUNT_LIMIT = 240
"""Checks before a request gives up its claim.

At the longest delay they last 10 minutes on average.
"""


class WriteClaim(RequestAction):
    """Write the claim row if no request holds the claim."""

    __slots__ = ()


class ReadClaim(RequestAction):
    """Read the claim row."""

    __slots__ = ()


class RecordClaimVersion(RequestAction):
    """Record the row version of the claim that this request holds."""

    __slots__ = ()


class WriteResult(RequestAction):
    """Store the response in the claim row."""

    __slots__ = ()


class ReleaseClaim(RequestAction):
    """Release the claim of a request that did not run, so that its key is reusable."""

    __slots__ = ()


class SetClaimTimer(RequestAction):
    """Schedule the next claim check after a jittered delay."""

    __slots__ = ()


class ReportStoredResponse(RequestAction):
    """Reply to the caller with the stored response of the first run."""

    __slots__ = ()


class NeedsClaim(RequestGuard):
    """Check that the class does not allow a request to run more than once."""

    __slots__ = ()


class ClaimUncertain(RequestGuard):
    """Check that the failed write of the claim may have taken effect."""

    __slots__ = ()


class ResultToStore(RequestGuard):
    """Check that the request ran under its claim and its response is known."""

    __slots__ = ()


class ClaimToRelease(RequestGuard):
    """Check that the request has a claim and none of its attempts may have run."""

    __slots__ = ()


class ClaimChecksLeft(RequestGuard):
    """Check that the limit of claim checks is not reached."""

    __slots__ = ()


@holds.register
def _(guard: NeedsClaim) -> bool:
    return not guard.subject.work_class.idempotent


@holds.register
def _(guard: ClaimUncertain) -> bool:
    message = guard.message
    return isinstance(message, StoreUnavailable) and message.uncertain


@holds.register
def _(guard: ResultToStore) -> bool:
    request = guard.subject
    return request.claim_version != ABSENT and request.response is not None


@holds.register
def _(guard: ClaimToRelease) -> bool:
    request = guard.subject
    if request.claim_version == ABSENT or request.may_have_run:
        return False
    return request.response is None


@holds.register
def _(guard: ClaimChecksLeft) -> bool:
    return guard.subject.claim_checks < CLAIM_CHECK_COUNT_LIMIT


@singledispatch
def claim_row_version(message: Message, key: str) -> int:
    """Return the version of the claim row that a message reports, or ABSENT."""
    return ABSENT


@claim_row_version.register(ClaimFree)
@claim_row_version.register(ClaimOwned)
def _(message: ClaimFree | ClaimOwned, key: str) -> int:
    return message.version


@claim_row_version.register
def _(message: Committed, key: str) -> int:
    return message.versions.get(key, ABSENT)


@perform.register
def _(action: WriteClaim) -> list[Command]:
    request = action.subject
    version = claim_row_version(action.message, _key(request))
    value = claim_value(request.received.request_id, _digest(request), CLAIMED)
    return [_write(request, version, value)]


@perform.register
def _(action: ReadClaim) -> list[Command]:
    request = action.subject
    return [ReadRows(read_id=request.next_operation_id(), prefix=_key(request))]


@perform.register
def _(action: RecordClaimVersion) -> list[Command]:
    request = action.subject
    request.claim_version = claim_row_version(action.message, _key(request))
    return []


@perform.register
def _(action: WriteResult) -> list[Command]:
    request = action.subject
    if request.response is None:
        return []
    value = completed_value(
        request.received.request_id, _digest(request), request.response
    )
    return [_write(request, request.claim_version, value)]


@perform.register
def _(action: ReleaseClaim) -> list[Command]:
    request = action.subject
    # The row is kept. A deleted row would restart at version 1, and a late write of
    # this request could then overwrite the claim of the next request.
    value = claim_value(request.received.request_id, _digest(request), RELEASED)
    return [_write(request, request.claim_version, value)]


@perform.register
def _(action: SetClaimTimer) -> list[Command]:
    request = action.subject
    limit = min(
        CLAIM_CHECK_DELAY_LIMIT, CLAIM_CHECK_BASE_DELAY * 2.0**request.claim_checks
    )
    request.claim_checks += 1
    request_id = request.received.request_id
    return [
        SetTimer(
            timer_id=f"claim/{request_id}",
            delay=action.state.random.uniform(CLAIM_CHECK_BASE_DELAY / 2, limit),
            message=ClaimCheckDue(request_id=request_id),
        )
    ]


@perform.register
def _(action: ReportStoredResponse) -> list[Command]:
    message = action.message
    if not isinstance(message, ClaimCompleted):
        return []
    return reply_with_response(action, message)


def _key(request: Request) -> str:
    received = request.received
    return claim_key(received.organisation, received.idempotency_key)


def _digest(request: Request) -> str:
    received = request.received
    return fingerprint(received.service, received.method, received.path, received.body)


def _write(request: Request, version: int, value: dict[str, object]) -> Transact:
    key = _key(request)
    return Transact(
        transaction=Transaction(
            operation_id=request.next_operation_id(),
            conditions=(Condition(key=key, version=version),),
            writes=(Write(key=key, value=value),),
        )
    )
