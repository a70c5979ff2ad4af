"""Define the steps of the table service feature, which use the stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when
from tests.platform.harness import connected_client, running_stand_in, set_faults

from wasabispur_core.storage.store import (
    Committed,
    Condition,
    Conflicted,
    RowsRead,
    StoreUnavailable,
    Transaction,
    Write,
)
from wasabispur_runtime.table_client import ApplyTransaction, FetchRows, TableClient
from wasabispur_standins.table_service import TableRoot
from wasabispur_standins.table_state import TableState

NOTHING = "nothing"


def prepare_table(context: Any, fault: str, **where: Any) -> None:
    """Store an empty table, and the fault that its service injects, in the context."""
    context.table_state = TableState()
    context.faults = [] if fault == NOTHING else [{"kind": fault, **where}]


async def call_table_service(context: Any, build_message: Any) -> Any:
    """Run the stand-in and return the result of one message to a client of it."""
    async with (
        running_stand_in("table-service", context.table_state, TableRoot) as stand_in,
        connected_client(TableClient, stand_in.listener.port) as client,
    ):
        set_faults(stand_in, *context.faults)
        return (await client.ask(build_message(client.receive_result)))[0]


@given('a table service that shows "{fault}" on the next write')
def given_one_fault(context: Any, fault: str) -> None:
    """Inject a fault into one write."""
    prepare_table(context, fault, method="POST", count=1)


@given('a table service that shows "{fault}" on every call')
def given_lasting_fault(context: Any, fault: str) -> None:
    """Inject a fault into every call."""
    prepare_table(context, fault)


@given('a table service with {number:d} rows that shows "{fault}" on the second page')
def given_rows(context: Any, number: int, fault: str) -> None:
    """Write rows and inject a fault into the read of their second page."""
    prepare_table(context, fault, method="GET", skip=1, count=1)
    context.number = number
    for index in range(number):
        context.table_state.sequence += 1
        context.table_state.put(f"row/{index:04}", {"index": index}, "setup")


@given("another operator has written the row")
def given_other_row(context: Any) -> None:
    """Write the row as another operator."""
    context.table_state.sequence = 1
    context.table_state.put("bundle/current", {"version": 7}, "other")


@when("a client writes a new row")
def when_write(context: Any) -> None:
    """Write the row on the condition that it doesn't exist."""
    transaction = Transaction(
        operation_id="mine",
        conditions=(Condition(key="bundle/current", version=0),),
        writes=(Write(key="bundle/current", value={"version": 8}),),
    )
    context.result = asyncio.run(
        call_table_service(
            context, lambda to: ApplyTransaction(transaction=transaction, receiver=to)
        )
    )


@when("a client reads all rows")
def when_read(context: Any) -> None:
    """Read all rows with the prefix."""
    context.result = asyncio.run(
        call_table_service(
            context, lambda to: FetchRows(read_id="r", prefix="row/", receiver=to)
        )
    )


@then("the write is reported as committed")
def then_committed(context: Any) -> None:
    """Require success."""
    assert isinstance(context.result, Committed), context.result


@then("the row was written once")
def then_once(context: Any) -> None:
    """Require exactly one write of the row."""
    assert context.table_state.sequence == 1, context.table_state.sequence
    assert context.table_state.rows["bundle/current"].operation_id == "mine"


@then("the write is reported as not run")
def then_not_run(context: Any) -> None:
    """Require a certain report of no effect, and an empty table."""
    assert isinstance(context.result, StoreUnavailable), context.result
    assert not context.result.uncertain
    assert not context.table_state.rows


@then("the write is reported as possibly in effect")
def then_uncertain(context: Any) -> None:
    """Require a report that the outcome is uncertain."""
    assert isinstance(context.result, StoreUnavailable), context.result
    assert context.result.uncertain


@then("the write is reported as a conflict")
def then_conflict(context: Any) -> None:
    """Require a conflict on the row."""
    assert isinstance(context.result, Conflicted), context.result
    assert context.result.keys == ("bundle/current",)


@then("the other operator's row is in place")
def then_other_row(context: Any) -> None:
    """Require the other operator's row."""
    assert context.table_state.rows["bundle/current"].operation_id == "other"


@then("it gets each row once, in order")
def then_rows(context: Any) -> None:
    """Require all rows, each once and in order."""
    assert isinstance(context.result, RowsRead), context.result
    indexes = [row.value["index"] for row in context.result.rows]
    assert indexes == list(range(context.number))
