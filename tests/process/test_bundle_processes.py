"""Test the distribution of bundles on real processes in three regions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from grpclib.client import Channel, StreamStreamMethod
from tests.bundle.operators import content

from wasabispur_core.bundles.bundle import canonical_json
from wasabispur_core.protocol import (
    Heartbeat,
    HeartbeatAck,
    OfferBundle,
    PeerHello,
    SignedBundle,
)
from wasabispur_runtime.codec import BETWEEN_ENTRIES, MessageCodec
from wasabispur_runtime.process import ExitCode
from wasabispur_runtime.stream import PEER_METHOD

from .bundle_system import BundleSystem

PROPAGATION_LIMIT = 5.0
"""Seconds within which a reachable process has to have the newest version (G8)."""

RESTART_TIMEOUT = 20.0
"""Seconds within which a restarted process has to be live at the entries."""


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[BundleSystem]:
    system = BundleSystem(tmp_path_factory.mktemp("bundles"))
    try:
        system.start()
        yield system
    finally:
        system.close()


def plain_content(bound: float) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(canonical_json(content(bound)))
    return value


def accept_next(system: BundleSystem, bound: float, entry: str = "entry-a") -> int:
    change_id = system.sign_off_change(plain_content(bound), entry)
    accepted = system.accept(change_id, entry)
    assert accepted.returncode == 0, accepted.stderr
    return int(json.loads(accepted.stdout)["base_version"]) + 1


def test_accepted_bundle_reaches_every_process(system):
    """Guard against a process that still uses an older bundle after 5 s."""
    version = accept_next(system, 10.0)
    system.wait_for(lambda: system.all_show(version), PROPAGATION_LIMIT)


def test_of_two_racing_operators_one_gets_a_conflict(system):
    """Guard against two accepted changes with the same base version."""
    first = system.sign_off_change(plain_content(20.0), "entry-a")
    second = system.sign_off_change(plain_content(21.0), "entry-b")
    with ThreadPoolExecutor(2) as threads:
        calls = [
            threads.submit(system.accept, first, "entry-a"),
            threads.submit(system.accept, second, "entry-b"),
        ]
    codes = [call.result().returncode for call in calls]
    assert sorted(codes) == [ExitCode.OK, ExitCode.CONFLICT]


def test_table_service_down_before_acceptance(system):
    """Guard against a bundle that is in force but not stored."""
    change_id = system.sign_off_change(plain_content(30.0))
    before = system.versions("entry-a")["entry-a"]
    system.set_faults({"kind": "outage"})
    refused = system.accept(change_id)
    assert refused.returncode in (ExitCode.UNAVAILABLE, ExitCode.OUTCOME_UNKNOWN)
    assert system.versions("entry-a")["entry-a"] == before
    system.set_faults()
    # The circuit breaker of the entry stays open for up to 2 s, and the next test
    # writes immediately.
    system.wait_for(lambda: system.reads_changes("entry-a"), PROPAGATION_LIMIT)


def test_lost_answer_during_acceptance(system):
    """Guard against a failure reported to the operator for a stored bundle.

    The table service applies the transaction, and its answers are lost.
    """
    change_id = system.sign_off_change(plain_content(40.0))
    system.set_faults({"kind": "lose_answer", "path": "/v1/transactions", "count": 3})
    accepted = system.accept(change_id)
    system.set_faults()
    assert accepted.returncode == 0, accepted.stderr
    version = json.loads(accepted.stdout)["base_version"] + 1
    system.wait_for(lambda: system.all_show(version), PROPAGATION_LIMIT)


def test_restarts_while_the_table_service_is_down(system):
    """Guard against restarted processes without the newest version.

    They can't read the table service and get the version from other processes.
    """
    version = accept_next(system, 50.0)
    system.wait_for(lambda: system.all_show(version), PROPAGATION_LIMIT)
    system.set_faults({"kind": "outage"})
    for name in ("agent-a", "entry-b"):
        system.kill(name)
        system.start_member(name)
    system.wait_for(lambda: "agent-a" in system.versions("entry-a"), RESTART_TIMEOUT)
    system.wait_for(lambda: "agent-b" in system.versions("entry-b"), RESTART_TIMEOUT)

    def recovered() -> bool:
        return (
            system.versions("entry-a").get("agent-a") == version
            and system.versions("entry-b").get("entry-b") == version
        )

    system.wait_for(recovered, PROPAGATION_LIMIT)
    system.set_faults()
    system.wait_for(lambda: system.sees_all("entry-b"), RESTART_TIMEOUT)
    system.wait_for(lambda: system.reads_changes("entry-a"), PROPAGATION_LIMIT)


def test_partitioned_regions_catch_up_after_the_partition(system):
    """Guard against a region that keeps an older version after a partition."""
    system.peer_link.cut()
    system.macon_link.cut()
    version = accept_next(system, 60.0)
    system.wait_for(
        lambda: system.versions("entry-b").get("entry-b") == version, PROPAGATION_LIMIT
    )
    system.macon_link.restore()
    system.peer_link.restore()
    system.wait_for(lambda: system.all_show(version), PROPAGATION_LIMIT)


def test_older_version_is_refused(system):
    """Guard against an entry that accepts an older bundle from an outdated peer."""
    version = accept_next(system, 70.0)
    system.wait_for(lambda: system.all_show(version), PROPAGATION_LIMIT)
    stored = json.loads(system.bundle("history").stdout)["versions"][0]
    assert stored["version"] < version
    bundle = SignedBundle(
        version=stored["version"],
        content=stored["content"],
        digest=stored["digest"],
        change_id=stored["change_id"],
        proposer=stored["proposer"],
        signer=stored["signer"],
        signature=bytes.fromhex(stored["signature"]),
    )
    port = system.control_ports["entry-b"]
    assert asyncio.run(version_after_offer(port, bundle)) == version


def test_planned_stop_of_an_entry_is_announced(system):
    """Guard against a planned stop of an entry that peers treat as a crash."""
    system.children["entry-b"].terminate()
    assert system.children["entry-b"].wait(RESTART_TIMEOUT) == 0
    system.wait_for(
        lambda: system.state_at("entry-a", "entry-b") in ("leaving", "dead"),
        PROPAGATION_LIMIT,
    )


async def version_after_offer(port: int, bundle: SignedBundle) -> int:
    """Offer a bundle as a peer entry and return the version that the entry reports."""
    channel = Channel("127.0.0.1", port, codec=MessageCodec())
    method: Any = StreamStreamMethod(
        channel, PEER_METHOD, BETWEEN_ENTRIES, BETWEEN_ENTRIES
    )
    hello = PeerHello(
        entry_id="entry-old", incarnation=1, region="macon", data_centre="macon-1"
    )
    try:
        async with asyncio.timeout(PROPAGATION_LIMIT), method.open() as stream:
            await stream.send_message(hello)
            await stream.send_message(OfferBundle(bundle=bundle))
            await stream.send_message(
                Heartbeat(sequence=1, bundle_version=bundle.version)
            )
            while True:
                reply = await stream.recv_message()
                if isinstance(reply, HeartbeatAck):
                    await stream.cancel()
                    return reply.bundle_version
    finally:
        channel.close()
