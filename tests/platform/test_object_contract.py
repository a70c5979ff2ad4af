"""Check the object client against the object store stand-in and its faults."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tests.platform.harness import connected_client, running_stand_in, set_faults

from wasabispur_core.storage.object_access import (
    digest_key,
    OBJECT_LIMIT_BYTES,
    ObjectDone,
    ObjectMethod,
    ObjectUnavailable,
)
from wasabispur_runtime.object_client import CallObjectStore, ObjectClient
from wasabispur_standins.object_store import ObjectRoot, ObjectState

FAULTS = {
    "outage": {"kind": "outage"},
    "throttled": {"kind": "outage", "status": 429},
    "cut before the effect": {"kind": "cut"},
    "answer lost": {"kind": "lose_answer"},
    "error after the effect": {"kind": "fail"},
    "slow": {"kind": "slow", "seconds": 1.0},
    "request duplicated": {"kind": "duplicate_request"},
    "answer duplicated": {"kind": "duplicate_answer"},
    "truncated": {"kind": "truncate"},
    "garbage": {"kind": "garbage"},
    "oversize": {"kind": "oversize"},
    "silent": {"kind": "silent"},
}

DATA = b"planogram" * 1000
KEY = digest_key("result/j1", DATA)


def run_object_scenario(scenario):
    """Run a scenario with an object store stand-in, its state and a client."""

    async def main():
        state = ObjectState()
        async with (
            running_stand_in("object-store", state, ObjectRoot) as stand_in,
            connected_client(ObjectClient, stand_in.listener.port) as client,
        ):
            await scenario(stand_in, state, client)

    asyncio.run(main())


def call(client, method, key=KEY, data=b""):
    """Return a call message for the object client."""
    return CallObjectStore(
        method=method, key=key, data=data, receiver=client.receive_result
    )


@pytest.mark.parametrize("name", FAULTS)
def test_object_calls_succeed_after_a_single_fault(name):
    """Guard against a lost, damaged or wrong object after one fault per method."""

    async def scenario(stand_in, state, client):
        for method, data, expected in (
            (ObjectMethod.PUT, DATA, b""),
            (ObjectMethod.GET, b"", DATA),
            (ObjectMethod.DELETE, b"", b""),
        ):
            set_faults(stand_in, {**FAULTS[name], "count": 1})
            result = (await client.ask(call(client, method, data=data)))[0]
            assert result == ObjectDone(key=KEY, data=expected)
        assert not state.objects

    run_object_scenario(scenario)


@pytest.mark.parametrize("name", FAULTS)
def test_persistent_fault_gives_a_typed_result(name):
    """Guard against a damaged object or a hanging call while a fault persists."""
    harmless = ("request duplicated", "answer duplicated")

    async def scenario(stand_in, state, client):
        state.objects[KEY] = DATA
        set_faults(stand_in, FAULTS[name])
        result = (await client.ask(call(client, ObjectMethod.GET)))[0]
        if name in harmless:
            assert result == ObjectDone(key=KEY, data=DATA)
            return
        assert isinstance(result, ObjectUnavailable)
        assert result.reason

    run_object_scenario(scenario)


def test_absent_and_oversize_objects():
    """Guard against an absent object reported as empty, and an unbounded upload."""

    async def scenario(stand_in, state, client):
        absent = (await client.ask(call(client, ObjectMethod.GET, key="none")))[0]
        assert absent == ObjectDone(key="none", data=None)
        large = call(client, ObjectMethod.PUT, data=b"x" * (OBJECT_LIMIT_BYTES + 1))
        refused = (await client.ask(large))[0]
        assert isinstance(refused, ObjectUnavailable)
        assert "exceeds" in refused.reason

    run_object_scenario(scenario)


def test_a_refused_connection_ends_in_a_typed_result():
    """Guard against a call that hangs when no process listens on the port."""

    async def main():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            async with connected_client(ObjectClient, probe.getsockname()[1]) as client:
                (result,) = await client.ask(call(client, ObjectMethod.GET))
        assert isinstance(result, ObjectUnavailable)

    asyncio.run(main())
