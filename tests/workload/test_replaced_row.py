"""Test what a table client reports of a written row that was replaced since."""

from __future__ import annotations

import pytest

from wasabispur_core.storage.store import (
    Committed,
    Condition,
    Row,
    StoreUnavailable,
    SUPERSEDED,
    Transaction,
    Write,
)
from wasabispur_core.storage.store_access import SendAllowed
from wasabispur_core.storage.store_call import (
    CallLost,
    ConditionsFailed,
    RowsFound,
    SendLookup,
    SendTransaction,
    TransactionRequested,
)

from .test_store_trial import Client

REPLACED = Row(key="k", version=9, operation_id="other", value={})


def answer_lost(client: Client, keys: tuple[str, ...]) -> None:
    """Send a transaction that writes the keys, and lose its answer."""
    transaction = Transaction(
        operation_id="op",
        conditions=(Condition(key="k", version=3),),
        writes=tuple(Write(key=key, value={}) for key in keys),
    )
    client.handle(TransactionRequested(call_id=1, transaction=transaction))
    client.handle(CallLost(call_id=1, reason="no answer"))
    assert isinstance(client.sent[-1], SendLookup)


@pytest.mark.parametrize("found", [(REPLACED,), ()])
def test_replaced_row_of_a_single_write_is_no_commit(found):
    """Guard against an agent that takes SUPERSEDED for the version of its report.

    Its transaction writes one row, and the agent takes the version without a check.
    """
    client = Client()
    answer_lost(client, ("k",))
    client.handle(RowsFound(call_id=1, rows=found))
    client.now = 5.0
    client.handle(SendAllowed())
    assert isinstance(client.sent[-1], SendTransaction)
    client.handle(ConditionsFailed(call_id=1, keys=("k",)))
    client.handle(RowsFound(call_id=1, rows=found))
    (result,) = client.results
    assert isinstance(result, StoreUnavailable)
    assert result.uncertain


def test_replaced_row_among_several_is_superseded():
    """Guard against a former owner that isn't told of its replaced shard row."""
    client = Client()
    answer_lost(client, ("k", "progress"))
    own = Row(key="progress", version=7, operation_id="op", value={})
    client.handle(RowsFound(call_id=1, rows=(REPLACED, own)))
    (result,) = client.results
    assert isinstance(result, Committed)
    assert result.versions == {"k": SUPERSEDED, "progress": 7}
