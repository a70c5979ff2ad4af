"""Define the actions of the bundle change state chart.

A change of the bundle of settings is proposed, reviewed, signed off, and accepted or
rejected. Each step is an operation that an operator requests at an entry instance (a
front-end process). An action's subject is the operation in progress, and its state that
of the bundle change component. A step writes the change's row under the condition that
no other operator has written the row since it was read.
"""

from __future__ import annotations

from dataclasses import replace

from ..action import Action, perform
from ..chart import Chart, ChartCatalogue
from ..command import CancelTimer, Command, Transact
from ..storage.store import ABSENT, Condition, Transaction, Write
from .bundle import BundleError, canonical_json, digest_of
from .bundle_guard import ChangeGuard, signature_refusal
from .bundle_operation import (
    BundleChangeState,
    BundleConflictError,
    BundleOrderError,
    Operation,
    OperationFailed,
    OwnChangeError,
    ProposeBundle,
    RejectBundle,
    ReviewBundle,
    SignOffBundle,
    UntrustedSignatureError,
)
from .bundle_record import (
    change_key,
    ChangeRecord,
    ChangeState,
    ChangeStep,
    POINTER_KEY,
    PointerRecord,
    row_value,
    version_key,
    version_record,
)


class ChangeAction(Action[BundleChangeState, Operation]):
    """Define the base of the actions in the bundle change chart."""

    __slots__ = ()


class WriteProposal(ChangeAction):
    """Write the row of a new change."""

    __slots__ = ()


class WriteReview(ChangeAction):
    """Record the review in the change's row."""

    __slots__ = ()


class WriteSignOff(ChangeAction):
    """Record the signature in the change's row."""

    __slots__ = ()


class WriteAcceptance(ChangeAction):
    """Write the version, the pointer to it, and the change in one transaction."""

    __slots__ = ()


class WriteRejection(ChangeAction):
    """Record the rejection in the change's row."""

    __slots__ = ()


class RefuseOutOfOrder(ChangeAction):
    """Refuse a step that the change's state doesn't permit."""

    __slots__ = ()


class RefuseOwnChange(ChangeAction):
    """Refuse a review or a sign-off by the proposer of the change."""

    __slots__ = ()


class RefuseSignature(ChangeAction):
    """Refuse a sign-off whose signature can't be trusted."""

    __slots__ = ()


class RefuseConflict(ChangeAction):
    """Refuse a change whose base isn't the newest version."""

    __slots__ = ()


def bundle_change_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the bundle change chart bound to its actions and guards."""
    return catalogue.bind(
        "bundle_change",
        actions=ChangeAction.__subclasses__(),
        guards=ChangeGuard.__subclasses__(),
    )


@perform.register
def _(action: WriteProposal) -> list[Command]:
    request = action.message
    if not isinstance(request, ProposeBundle):
        return []
    content = canonical_json(request.content)
    change = ChangeRecord(
        change_id=request.change_id,
        state=ChangeState.PROPOSED,
        base_version=request.base_version,
        proposer=request.operator,
        summary=request.summary,
        content=content,
        digest=digest_of(content),
    )
    return _write(action.subject, change, "propose", "")


@perform.register
def _(action: WriteReview) -> list[Command]:
    request, change = action.message, action.subject.change
    if not isinstance(request, ReviewBundle) or change is None:
        return []
    change = replace(change, state=ChangeState.REVIEWED)
    return _write(action.subject, change, "review", request.note)


@perform.register
def _(action: WriteSignOff) -> list[Command]:
    request, change = action.message, action.subject.change
    if not isinstance(request, SignOffBundle) or change is None:
        return []
    change = replace(
        change,
        state=ChangeState.SIGNED_OFF,
        signer=request.operator,
        signature=request.signature,
    )
    return _write(action.subject, change, "sign-off", "")


@perform.register
def _(action: WriteRejection) -> list[Command]:
    request, change = action.message, action.subject.change
    if not isinstance(request, RejectBundle) or change is None:
        return []
    change = replace(change, state=ChangeState.REJECTED)
    return _write(action.subject, change, "reject", request.reason)


@perform.register
def _(action: WriteAcceptance) -> list[Command]:
    operation = action.subject
    if operation.change is None:
        return []
    change = replace(operation.change, state=ChangeState.ACCEPTED)
    # change.version is the bundle version that the change becomes: its base plus one.
    pointer = PointerRecord(version=change.version, change_id=change.change_id)
    return _write(
        operation,
        change,
        "accept",
        "",
        conditions=(
            Condition(key=POINTER_KEY, version=operation.pointer_row_version),
            Condition(key=version_key(change.version), version=ABSENT),
        ),
        writes=(
            Write(key=POINTER_KEY, value=row_value(pointer)),
            Write(
                key=version_key(change.version),
                value=row_value(version_record(change)),
            ),
        ),
    )


@perform.register
def _(action: RefuseOutOfOrder) -> list[Command]:
    return fail_operation(
        action.state, action.subject, out_of_order_error(action.subject)
    )


@perform.register
def _(action: RefuseOwnChange) -> list[Command]:
    request = action.subject.request
    error = OwnChangeError(
        f"change {request.change_id} was proposed by {request.operator}, who can't "
        f"review it or sign it off",
        "ask another operator to review it and sign it off",
    )
    return fail_operation(action.state, action.subject, error)


@perform.register
def _(action: RefuseSignature) -> list[Command]:
    # The operators' public keys are in the local settings of each process, not in the
    # bundle.
    error = UntrustedSignatureError(
        f"the sign-off of change {action.subject.request.change_id} is refused: "
        f"{signature_refusal(action)}",
        "sign with a key whose public part is in the settings of all processes",
    )
    return fail_operation(action.state, action.subject, error)


@perform.register
def _(action: RefuseConflict) -> list[Command]:
    return fail_operation(action.state, action.subject, conflict_error(action.subject))


def out_of_order_error(operation: Operation) -> BundleOrderError:
    """Return the error for a step that the change's state doesn't permit."""
    state = operation.change.state.value if operation.change else "unknown"
    return BundleOrderError(
        f"change {operation.request.change_id} is {state.replace('_', ' ')}",
        "a change is proposed, reviewed, signed off and accepted, in this order",
    )


def conflict_error(operation: Operation) -> BundleConflictError:
    """Return the error for a write whose conditions failed."""
    return BundleConflictError(
        f"change {operation.request.change_id} was not written, since another "
        f"operator's write came first; the newest version read is "
        f"{operation.current_version}",
        "show the change, and rebase it on the newest version if that has moved",
    )


def fail_operation(
    state: BundleChangeState, operation: Operation, error: BundleError
) -> list[Command]:
    """Remove an operation, and return the commands that report its error."""
    operation_id = operation.request.operation_id
    state.operations.pop(operation_id, None)
    timer = CancelTimer(timer_id=operation_id)
    return [timer, OperationFailed(operation_id=operation_id, error=error)]


def _write(
    operation: Operation,
    change: ChangeRecord,
    step: str,
    note: str,
    conditions: tuple[Condition, ...] = (),
    writes: tuple[Write, ...] = (),
) -> list[Command]:
    request = operation.request
    change_step = ChangeStep(
        operation_id=request.operation_id,
        step=step,
        operator=request.operator,
        note=note,
    )
    change = replace(change, steps=(*change.steps, change_step))
    key = change_key(change.change_id)
    # The operation keeps the change as it is being written. change_version is the
    # version of the change's row as it was read.
    operation.written = change
    operation.transaction = Transaction(
        operation_id=request.operation_id,
        conditions=(
            Condition(key=key, version=operation.change_version),
            *conditions,
        ),
        writes=(Write(key=key, value=row_value(change)), *writes),
    )
    return [Transact(transaction=operation.transaction)]
