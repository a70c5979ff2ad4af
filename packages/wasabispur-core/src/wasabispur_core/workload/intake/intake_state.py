"""Define the state of the job intake of an entry instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from ...chart import Chart, Lifecycle
from ...command import Command, Transact
from ...storage.store import Condition, Row, Transaction, Write
from ..admission.admission import Rejection
from ..admission.load_knowledge import LoadKnowledge
from ..policies.policy import FleetPolicy, Queue
from .intake_message import IntakeRequest
from .tombstone_limit import TombstoneLimit


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """Represent a caller's request whose rows are being read or written.

    rows_by_key contains the rows that have been read, with an empty tuple for each key
    whose read is in flight. rejection is why the load rejects the call's job, if it
    does.
    """

    request: IntakeRequest
    queue: Queue
    organisation: str
    job_id: str
    lifecycle: Lifecycle
    rows_by_key: dict[str, tuple[Row, ...]] = field(default_factory=dict)
    rejection: Rejection | None = None


@dataclass(slots=True, kw_only=True)
class IntakeState:
    """Represent the intake of one entry instance.

    calls contains the requests in progress by their call ids, and operations the call
    id of each read or write in flight. uncertain contains the ids of jobs that may have
    been accepted or cancelled by a write whose answer was lost. store_offset is the
    table service's clock minus this process's clock, in seconds. policy_lost_at is the
    time since which the configuration is not confirmed, in monotonic seconds. cordoned
    contains the cordoned data centres. load is what is known of the fleet's load, or
    None if jobs are accepted whatever it is. tombstones limits the cancellations of
    unknown jobs.
    """

    charts: dict[str, Chart]
    new_operation_id: Callable[[], str]
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    calls: dict[str, PendingCall] = field(default_factory=dict)
    operations: dict[str, str] = field(default_factory=dict)
    uncertain: dict[str, None] = field(default_factory=dict)
    store_offset: float = 0.0
    policy_lost_at: float = inf
    cordoned: frozenset[str] = frozenset()
    load: LoadKnowledge | None = None
    tombstones: TombstoneLimit = field(default_factory=TombstoneLimit)


def conditional_write(
    call: PendingCall,
    state: IntakeState,
    conditions: tuple[Condition, ...],
    write: Write,
) -> Command:
    """Return the command that writes a row if all conditions hold."""
    operation_id = state.new_operation_id()
    state.operations[operation_id] = call.request.call_id
    return Transact(
        transaction=Transaction(
            operation_id=operation_id, conditions=conditions, writes=(write,)
        )
    )
