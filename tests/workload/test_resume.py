"""Guard against a delay before a restarted entry instance owns its shard again."""

from __future__ import annotations

import pytest

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import Transact
from wasabispur_core.sharding.ownership import decide, Ownership, OwnershipTick, read_id
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.storage.store import Row, RowsRead


def claims(entry_id: str, owner: str, resumes: bool) -> bool:
    """Return whether an entry claims the shard after its first read of the row."""
    state = Ownership(
        entry_id,
        "main",
        ownership_chart(ChartCatalogue()).start(),
        lambda: "op",
        resumes=resumes,
    )
    row = Row(
        key=state.key, version=7, operation_id="x", value={"owner": owner, "epoch": 3}
    )
    decide(OwnershipTick(), state, 0.0)
    commands = decide(RowsRead(read_id=read_id(state), rows=(row,)), state, 0.1)
    return any(isinstance(command, Transact) for command in commands)


@pytest.mark.parametrize(
    ("owner", "resumes", "expected"),
    [("a", True, True), ("b", True, False), ("a", False, False), ("", False, True)],
)
def test_restarted_owner_resumes_at_once(owner, resumes, expected):
    """Guard against 2 s without an owner after each restart of the owner.

    All processes were running again 1.7 s after they had been killed, and the first
    task started 2.3 s later.
    """
    assert claims("a", owner, resumes) is expected
