"""Test that the simulated store refuses what the platform's store refuses."""

from __future__ import annotations

from wasabispur_core.storage.store import (
    Condition,
    StoreUnavailable,
    SUPERSEDED,
    Transaction,
    Write,
)
from wasabispur_standins.simulated_store import SimulatedStore


def test_simulated_store_refuses_a_negative_version_for_good():
    """Guard against a world in which the version of a replaced row gets a conflict.

    The platform's store refuses it as malformed, so that no conflict tells the writer
    to read the row.
    """
    store = SimulatedStore()
    transaction = Transaction(
        operation_id="op",
        conditions=(Condition(key="k", version=SUPERSEDED),),
        writes=(Write(key="k", value={}),),
    )
    result = store.apply(transaction)
    assert isinstance(result, StoreUnavailable)
    assert result.permanent
    assert not result.uncertain
    assert not store.rows
