"""Decide how the table client sends transactions and reads to the table service."""

from __future__ import annotations

from functools import singledispatch
from random import Random

from ..chart import ChartCatalogue
from ..command import Command
from ..message import Message
from .circuit import TrialTiming
from .row_read import row_read_chart
from .store_access import (
    CALL_DEADLINE,
    DEFAULT_TRIAL_TIMING,
    new_store_access,
    start_call,
    StoreAccess,
)
from .store_call import ReadCall, RowsRequested, TransactionCall, TransactionRequested
from .store_decision import decide_call
from .transaction import transaction_chart

WRITES_PER_SECOND = 50.0
READS_PER_SECOND = 200.0
"""Rate limits of one process.

The table service accepts several hundred writes and 2,000 reads a second, so eight
entries at these rates leave headroom.
"""

TRANSACTION = "transaction"
ROW_READ = "row_read"


def new_table_access(
    catalogue: ChartCatalogue,
    random: Random,
    writes_per_second: float = WRITES_PER_SECOND,
    reads_per_second: float = READS_PER_SECOND,
    call_deadline: float = CALL_DEADLINE,
    allow_trial_writes: bool = True,
    timing: TrialTiming = DEFAULT_TRIAL_TIMING,
) -> StoreAccess:
    """Return the state of the calls to the table service.

    call_deadline is in seconds.
    """
    charts = {
        TRANSACTION: transaction_chart(catalogue),
        ROW_READ: row_read_chart(catalogue),
    }
    access = new_store_access(
        catalogue, charts, random, writes_per_second, reads_per_second, timing
    )
    access.call_deadline = call_deadline
    access.allow_trial_writes = allow_trial_writes
    return access


@singledispatch
def decide(message: Message, state: StoreAccess, now: float) -> list[Command]:
    """Return the commands for a message about the table service."""
    return decide_call(message, state, now)


@decide.register
def _(message: TransactionRequested, state: StoreAccess, now: float) -> list[Command]:
    call = TransactionCall(
        call_id=message.call_id,
        lifecycle=state.call_charts[TRANSACTION].start(),
        deadline=now + state.call_deadline,
        transaction=message.transaction,
    )
    return start_call(message, call, state, now)


@decide.register
def _(message: RowsRequested, state: StoreAccess, now: float) -> list[Command]:
    call = ReadCall(
        call_id=message.call_id,
        lifecycle=state.call_charts[ROW_READ].start(),
        deadline=now + state.call_deadline,
        read_id=message.read_id,
        prefix=message.prefix,
    )
    return start_call(message, call, state, now)
