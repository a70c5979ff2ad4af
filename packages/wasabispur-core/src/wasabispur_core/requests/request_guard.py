"""Implement the guards of the request's state chart."""

from __future__ import annotations

from ..action import holds
from ..protocol import Reason
from .admission import Rejection
from .request import RequestAction, RequestGuard
from .request_reply import failure_reason
from .retry import ATTEMPT_LIMIT
from .routing import serving_endpoints


class Admissible(RequestGuard):
    """Check that the queue has capacity and the expected wait fits the deadline."""

    __slots__ = ()


class TransientRefusal(RequestGuard):
    """Check that the permit was refused for lack of a slot or a planned stop."""

    __slots__ = ()


class EndpointAvailable(RequestGuard):
    """Check that an endpoint of the service accepts new work."""

    __slots__ = ()


class RetryAllowed(RequestGuard):
    """Check that time, attempts and retry budget are left for another attempt."""

    __slots__ = ()


class Idempotent(RequestGuard):
    """Check that the class allows a request to run more than once."""

    __slots__ = ()


class Repeatable(RequestGuard):
    """Check that no attempt may have run, or that the class allows several runs."""

    __slots__ = ()


@holds.register
def _(guard: EndpointAvailable) -> bool:
    service = guard.subject.received.service
    return bool(serving_endpoints(guard.state.endpoints.values(), service))


@holds.register
def _(guard: Admissible) -> bool:
    return check_admission(guard) is None


@holds.register
def _(guard: TransientRefusal) -> bool:
    return failure_reason(guard.message) in (Reason.NO_FREE_SLOT, Reason.LEAVING)


@holds.register
def _(guard: RetryAllowed) -> bool:
    request = guard.subject
    if request.attempts >= ATTEMPT_LIMIT or guard.now >= request.deadline:
        return False
    return guard.state.budget(request.work_class).available


@holds.register
def _(guard: Idempotent) -> bool:
    return guard.subject.work_class.idempotent


@holds.register
def _(guard: Repeatable) -> bool:
    return guard.subject.work_class.idempotent or not guard.subject.may_have_run


def check_admission(scope: RequestAction | RequestGuard) -> Rejection | None:
    """Return why the request can't be admitted, or None if it can."""
    request = scope.subject
    remaining = request.deadline - scope.now
    return scope.state.admission.check(request.queue_key, request.work_class, remaining)
