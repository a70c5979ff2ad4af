"""Check the table client against the table service stand-in and its faults."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tests.platform.harness import (
    CALL_TIMEOUT,
    connected_client,
    LONG_CALL_TIMEOUT,
    running_stand_in,
    set_faults,
)

from wasabispur_core.storage.store import (
    Committed,
    Condition,
    Conflicted,
    ROW_LIMIT_BYTES,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
    SUPERSEDED,
    Transaction,
    Write,
)
from wasabispur_runtime.table_client import ApplyTransaction, FetchRows, TableClient
from wasabispur_standins.table_service import TableRoot
from wasabispur_standins.table_state import TableState

SINGLE_FAULTS = {
    "none": None,
    "outage": {"kind": "outage"},
    "throttled": {"kind": "outage", "status": 429},
    "cut before the effect": {"kind": "cut"},
    "answer lost": {"kind": "lose_answer"},
    "error after the effect": {"kind": "fail"},
    "slow": {"kind": "slow", "seconds": 1.0},
    "paused": {"kind": "pause", "seconds": 1.0},
    "request duplicated": {"kind": "duplicate_request"},
    "answer duplicated": {"kind": "duplicate_answer"},
    "truncated": {"kind": "truncate"},
    "garbage": {"kind": "garbage"},
    "oversize": {"kind": "oversize"},
    "silent": {"kind": "silent"},
    "silent after the effect": {"kind": "silent", "effect": True},
}

PERSISTENT_FAULTS = {
    "outage": ({"kind": "outage"}, False),
    "throttled": ({"kind": "outage", "status": 429}, False),
    "cut": ({"kind": "cut"}, True),
    "answer lost": ({"kind": "lose_answer"}, True),
    "truncated": ({"kind": "truncate"}, True),
    "garbage": ({"kind": "garbage"}, True),
    "oversize": ({"kind": "oversize"}, True),
    "silent": ({"kind": "silent"}, True),
}


def put(receiver, operation="op", key="k", version=0, value=1) -> ApplyTransaction:
    """Return a conditional write of one row."""
    return ApplyTransaction(
        transaction=Transaction(
            operation_id=operation,
            conditions=(Condition(key=key, version=version),),
            writes=(Write(key=key, value={"value": value}),),
        ),
        receiver=receiver,
    )


def fetch(receiver, prefix="") -> FetchRows:
    """Return a read of all rows under a prefix."""
    return FetchRows(read_id="read", prefix=prefix, receiver=receiver)


def run_table_scenario(scenario, call_timeout=CALL_TIMEOUT):
    """Run a scenario with a table service stand-in, its state and a client."""

    async def main():
        state = TableState()
        async with (
            running_stand_in("table-service", state, TableRoot) as stand_in,
            connected_client(
                TableClient, stand_in.listener.port, call_timeout
            ) as client,
        ):
            await scenario(stand_in, state, client)

    asyncio.run(main())


@pytest.mark.parametrize("name", SINGLE_FAULTS)
def test_write_is_applied_once_after_a_single_fault(name):
    """Guard against a lost, repeated or misreported write after one fault."""

    async def scenario(stand_in, state, client):
        fault = SINGLE_FAULTS[name]
        if fault is not None:
            set_faults(stand_in, {**fault, "count": 1, "method": "POST"})
        result = (await client.ask(put(client.receive_result)))[0]
        assert result == Committed(operation_id="op", versions={"k": 1})
        assert state.sequence == 1
        again = put(client.receive_result, operation="op2", version=1, value=2)
        result = (await client.ask(again))[0]
        assert isinstance(result, Committed)

    run_table_scenario(scenario)


@pytest.mark.parametrize("name", PERSISTENT_FAULTS)
def test_persistent_fault_reports_whether_the_outcome_is_uncertain(name):
    """Guard against a write reported as without effect although it may have had one."""

    async def scenario(stand_in, state, client):
        fault, uncertain = PERSISTENT_FAULTS[name]
        set_faults(stand_in, fault)
        result = (await client.ask(put(client.receive_result)))[0]
        assert isinstance(result, StoreUnavailable)
        assert result.uncertain is uncertain
        assert result.reason
        if not uncertain:
            assert state.sequence == 0

    # An answer that is late on a busy machine would make the outcome uncertain.
    answered = not PERSISTENT_FAULTS[name][1]
    run_table_scenario(scenario, LONG_CALL_TIMEOUT if answered else CALL_TIMEOUT)


@pytest.mark.parametrize("name", SINGLE_FAULTS)
def test_read_returns_all_rows_after_a_single_fault(name):
    """Guard against missing, repeated or wrong rows after a fault between two pages."""

    async def scenario(stand_in, state, client):
        for number in range(250):
            state.sequence += 1
            state.put(f"row/{number:03}", {"value": number}, "setup")
        fault = SINGLE_FAULTS[name]
        if fault is not None:
            set_faults(stand_in, {**fault, "skip": 1, "count": 1, "method": "GET"})
        result = (await client.ask(fetch(client.receive_result, "row/")))[0]
        assert isinstance(result, RowsRead)
        assert [row.value["value"] for row in result.rows] == list(range(250))

    run_table_scenario(scenario)


def test_a_refused_connection_is_certain_to_have_had_no_effect():
    """Guard against an uncertain result or a hang when no process listens."""

    async def main():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            async with connected_client(TableClient, probe.getsockname()[1]) as client:
                write, read = await client.ask(
                    put(client.receive_result), fetch(client.receive_result)
                )
        assert isinstance(write, StoreUnavailable)
        assert not write.uncertain
        assert isinstance(read, RowsUnavailable)

    asyncio.run(main())


def test_a_conflict_names_the_keys():
    """Guard against a conditional write that overwrites the row of another client."""

    async def scenario(stand_in, state, client):
        state.sequence = 5
        state.put("k", {"value": 0}, "other")
        result = (await client.ask(put(client.receive_result)))[0]
        assert result == Conflicted(operation_id="op", keys=("k",))
        assert state.rows["k"].operation_id == "other"

    run_table_scenario(scenario)


def test_lost_response_is_uncertain_if_the_row_was_replaced():
    """Guard against a definite result after another write replaced the only evidence.

    The row with the operation id of the lost write is overwritten before the lookup.
    """

    async def scenario(stand_in, state, client):
        set_faults(
            stand_in,
            {"kind": "lose_answer", "method": "POST", "count": 1},
            {"kind": "outage", "method": "GET", "path": "/v1/row", "count": 1},
        )
        client.actor.post(put(client.receive_result))
        while client.actor.state.in_flight or not state.sequence:
            await client.step()
        state.sequence = 9
        state.put("k", {"value": 3}, "other")
        result = (await client.wait(1))[0]
        assert isinstance(result, StoreUnavailable)
        assert result.uncertain

    run_table_scenario(scenario)


def test_replaced_row_of_a_lost_transaction_is_superseded():
    """Guard against a commit that reports another client's version of a row.

    A client that takes that version for its own would overwrite the other's row.
    """

    async def scenario(stand_in, state, client):
        set_faults(
            stand_in,
            {"kind": "lose_answer", "method": "POST", "count": 1},
            {"kind": "outage", "method": "GET", "path": "/v1/row", "count": 1},
        )
        transaction = Transaction(
            operation_id="op",
            conditions=(Condition(key="a", version=0),),
            writes=(Write(key="a", value={}), Write(key="b", value={})),
        )
        message = ApplyTransaction(
            transaction=transaction, receiver=client.receive_result
        )
        client.actor.post(message)
        while client.actor.state.in_flight or not state.sequence:
            await client.step()
        state.sequence = 9
        state.put("b", {"value": 3}, "other")
        result = (await client.wait(1))[0]
        assert result.versions == {"a": 1, "b": SUPERSEDED}

    run_table_scenario(scenario)


def test_an_oversize_row_is_refused_before_it_is_sent():
    """Guard against retries of a row that the table service never accepts."""

    async def scenario(stand_in, state, client):
        message = put(client.receive_result, value="x" * ROW_LIMIT_BYTES)
        result = (await client.ask(message))[0]
        assert isinstance(result, StoreUnavailable)
        assert "object store" in result.reason
        assert not result.uncertain

    run_table_scenario(scenario)


def test_client_respects_its_share_of_the_rate_limit():
    """Guard against a client that exceeds its share of the table service's rate."""

    async def scenario(stand_in, state, client):
        writes = [put(client.receive_result, f"op{n}", f"k{n}") for n in range(120)]
        results = await client.ask(*writes)
        assert all(isinstance(result, Committed) for result in results)
        # At 50 writes/s with a burst of 50, 120 writes take 1.4 s.
        assert client.timers.now() >= 1.4

    run_table_scenario(scenario, LONG_CALL_TIMEOUT)


def test_condition_with_a_negative_version_is_refused_for_good():
    """Guard against a stand-in that takes the version of a replaced row for valid.

    The platform's store refuses such a condition as malformed. A conflict in its place
    hid an owner that went on with this version after another entry had claimed its
    shard.
    """

    async def scenario(stand_in, state, client):
        write = put(client.receive_result, version=SUPERSEDED)
        result = (await client.ask(write))[0]
        assert isinstance(result, StoreUnavailable)
        assert result.permanent
        assert not state.rows

    run_table_scenario(scenario)
