"""Define the guards of the bundle change state chart.

A guard's subject is the operation in progress at an entry instance: one step of a
change of the bundle of settings, with the change's row as it was read.
"""

from __future__ import annotations

from ..action import Guard, holds, TransitionContext
from .bundle import signature_payload
from .bundle_operation import BundleChangeState, Operation, ProposeBundle, SignOffBundle
from .bundle_record import ChangeRecord, ChangeState


class ChangeGuard(Guard[BundleChangeState, Operation]):
    """Define the base of the guards in the bundle change chart."""

    __slots__ = ()


class StoredProposed(ChangeGuard):
    """Hold if the state in the change's row is proposed."""

    __slots__ = ()


class StoredReviewed(ChangeGuard):
    """Hold if the state in the change's row is reviewed."""

    __slots__ = ()


class StoredSignedOff(ChangeGuard):
    """Hold if the state in the change's row is signed off."""

    __slots__ = ()


class StoredAccepted(ChangeGuard):
    """Hold if the state in the change's row is accepted."""

    __slots__ = ()


class StoredRejected(ChangeGuard):
    """Hold if the state in the change's row is rejected."""

    __slots__ = ()


class OtherOperator(ChangeGuard):
    """Hold if the operator isn't the proposer."""

    __slots__ = ()


class SignatureValid(ChangeGuard):
    """Hold if the sign-off's signature is valid under the operator's keys."""

    __slots__ = ()


class SignOffTrusted(ChangeGuard):
    """Hold if the recorded sign-off is still valid under the trusted keys."""

    __slots__ = ()


class BaseCurrent(ChangeGuard):
    """Hold if the change is based on the newest version."""

    __slots__ = ()


@holds.register
def _(guard: StoredProposed) -> bool:
    return _stored(guard, ChangeState.PROPOSED)


@holds.register
def _(guard: StoredReviewed) -> bool:
    return _stored(guard, ChangeState.REVIEWED)


@holds.register
def _(guard: StoredSignedOff) -> bool:
    return _stored(guard, ChangeState.SIGNED_OFF)


@holds.register
def _(guard: StoredAccepted) -> bool:
    return _stored(guard, ChangeState.ACCEPTED)


@holds.register
def _(guard: StoredRejected) -> bool:
    return _stored(guard, ChangeState.REJECTED)


@holds.register
def _(guard: OtherOperator) -> bool:
    change = guard.subject.change
    return change is not None and guard.subject.request.operator != change.proposer


@holds.register
def _(guard: SignatureValid) -> bool:
    return not signature_refusal(guard)


@holds.register
def _(guard: SignOffTrusted) -> bool:
    change = guard.subject.change
    return change is not None and not _refusal(
        guard.state, change, change.signer, change.signature
    )


@holds.register
def _(guard: BaseCurrent) -> bool:
    operation = guard.subject
    if isinstance(operation.request, ProposeBundle):
        return operation.request.base_version == operation.current_version
    change = operation.change
    return change is not None and change.base_version == operation.current_version


def _stored(guard: ChangeGuard, state: ChangeState) -> bool:
    change = guard.subject.change
    return change is not None and change.state is state


def signature_refusal(scope: TransitionContext[BundleChangeState, Operation]) -> str:
    """Return why a change's signature can't be trusted, or an empty string."""
    request, change = scope.message, scope.subject.change
    if change is None:
        return "the change is not known"
    if isinstance(request, SignOffBundle):
        return _refusal(scope.state, change, request.operator, request.signature)
    return _refusal(scope.state, change, change.signer, change.signature)


def _refusal(
    state: BundleChangeState, change: ChangeRecord, signer: str, signature: str
) -> str:
    if signer == change.proposer:
        return "the signer is the proposer"
    try:
        signature_bytes = bytes.fromhex(signature)
    except ValueError:
        return "the signature is not hexadecimal"
    payload = signature_payload(
        change_id=change.change_id,
        proposer=change.proposer,
        base_version=change.base_version,
        digest=change.digest,
    )
    return state.verifier.refusal(signer, change.version, payload, signature_bytes)
