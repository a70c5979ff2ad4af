"""Test that answers of the store reach actors whose mailboxes are full."""

from __future__ import annotations

import pytest

from wasabispur_core.command import ReadRows, Transact
from wasabispur_core.storage.store import RowsUnavailable, Transaction
from wasabispur_core.timer import FakeTimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import execute


class FullActor(Actor):
    """Have no room for ordinary messages."""

    mailbox_limit = 0

    def __init__(self, table: Actor | None = None) -> None:
        super().__init__("full", FakeTimerService())
        self.table = table


COMMANDS = [
    ReadRows(read_id="r", prefix="p/"),
    Transact(transaction=Transaction(operation_id="o", conditions=(), writes=())),
]


@pytest.mark.parametrize("command", COMMANDS)
def test_answer_of_the_store_reaches_a_full_actor(command):
    """Guard against a report that is never written again after a lost answer."""
    table = Actor("table", FakeTimerService())
    actor = FullActor(table)
    execute(command, actor)
    table.mailbox.get_nowait().receiver(RowsUnavailable(read_id="r", reason="fault"))
    assert actor.mailbox.qsize() == 1
