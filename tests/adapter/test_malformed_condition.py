"""Test that the stand-in of the metadata store refuses what the store refuses."""

from __future__ import annotations

from concurrent.futures import Future

import pytest

from wasabispur.bridge import Ask
from wasabispur_core.timer import FakeTimerService
from wasabispur_platform_standin.store import StoreActor, StoreAnswer, StoreCall


def transact(store: StoreActor, version: object) -> StoreAnswer:
    """Send a transaction on condition that a row has a version."""
    row = {"table": "shard", "part": "", "key": "main"}
    body = {"expected_rev": [{**row, "ver": version}], "puts": [{**row, "value": ""}]}
    reply: Future[StoreAnswer] = Future()
    call = StoreCall(name="rows-tx", query={}, body=body)
    store.on_ask(Ask(message=call, reply=reply))
    return reply.result(timeout=0)


@pytest.mark.parametrize("version", [-1, "1", None])
def test_store_refuses_a_condition_with_an_invalid_version(version):
    """Guard against an owner that sends the version of a replaced row unnoticed.

    The platform's store refused every transaction of such an owner with 400, while the
    stand-in answered 412, after which the owner read its row and gave the shard up.
    """
    store = StoreActor(FakeTimerService(0.0))
    assert transact(store, version).status == 400
    assert not store.state.rows
    assert transact(store, 0).status == 200
    assert transact(store, 0).status == 412
