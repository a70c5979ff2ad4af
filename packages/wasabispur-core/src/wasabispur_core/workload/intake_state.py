"""Hold the callers' requests in progress at one entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..chart import Chart, Lifecycle
from ..command import Command, Transact
from ..store import Condition, Row, Transaction, Write
from .intake_message import IntakeRequest
from .policy import FleetPolicy, Queue


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """Hold one caller's request while the store is asked."""

    request: IntakeRequest
    queue: Queue
    organisation: str
    job_id: str
    lifecycle: Lifecycle
    rows_by_key: dict[str, tuple[Row, ...]] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class IntakeState:
    """Own the callers' requests in progress at one entry.

    store_offset is the store's clock less this process's in seconds. uncertain holds
    the jobs that may have been accepted by an attempt whose answer was lost.
    """

    charts: dict[str, Chart]
    new_operation_id: Callable[[], str]
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    calls: dict[str, PendingCall] = field(default_factory=dict)
    operations: dict[str, str] = field(default_factory=dict)
    uncertain: dict[str, None] = field(default_factory=dict)
    store_offset: float = 0.0


def conditional_write(
    call: PendingCall,
    state: IntakeState,
    conditions: tuple[Condition, ...],
    write: Write,
) -> Command:
    """Return the command that writes a row for a call under conditions."""
    operation_id = state.new_operation_id()
    state.operations[operation_id] = call.request.call_id
    return Transact(
        transaction=Transaction(
            operation_id=operation_id, conditions=conditions, writes=(write,)
        )
    )
