"""Test the stream between agent and entry under link faults."""

from __future__ import annotations

import pytest
from tests.stream.harness import Rig, run, until

from wasabispur_core.log_event import (
    AGENT_DETACHED,
    STREAM_FAILED,
    STREAM_OPENED,
    STREAM_SILENT,
)
from wasabispur_core.protocol import AttemptCompleted, RequestPermit
from wasabispur_core.requests.permit import SendToEntryLink
from wasabispur_runtime.stream import Outgoing
from wasabispur_standins.relay import RelayFault

# The fault, whether the agent can attach again only after its end, the number of
# STREAM_SILENT records on both sides together, and the cause that the entry counts.
LINK_FAULTS = [
    (RelayFault.CUT, False, 0, "lost"),
    (RelayFault.REFUSED, True, 0, "lost"),
    (RelayFault.SILENT, True, 2, "silent"),
    (RelayFault.ESTABLISHED_SILENT, False, 2, "silent"),
]


@pytest.mark.parametrize(("fault", "lift", "silent", "cause"), LINK_FAULTS)
def test_fault_ends_stream_on_both_sides_and_link_redials(fault, lift, silent, cause):
    """Guard against a lost link that either side keeps open."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            await rig.beat(3)
            await rig.fault(fault)
            if silent:
                await rig.silence()
            await until(lambda: rig.events.count(AGENT_DETACHED) == 1)
            await until(lambda: rig.events.count(STREAM_FAILED) >= 1)
            assert rig.events.count(STREAM_SILENT) == silent
            assert rig.losses()[cause] >= 1
            if lift:
                await rig.redial()
                assert rig.events.count(STREAM_OPENED) == 1
                await rig.fault(RelayFault.NONE)
            while rig.events.count(STREAM_OPENED) < 2:
                await rig.redial()
                await until(lambda: rig.links[0].mailbox.empty())
                await rig.silence()
            await rig.attached()

    run(main())


def test_slow_link_is_kept():
    """Guard against closing a delayed link as a silent one."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            await rig.fault(RelayFault.NONE, delay=0.02)
            await rig.beat(10)
            assert rig.events.count(STREAM_SILENT) == 0
            assert rig.events.count(STREAM_FAILED) == 0

    run(main())


def test_silent_link_closes_the_sockets():
    """Guard against sockets that a silent link leaves open at the entry."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            connection = next(iter(rig.server.connections))
            await rig.fault(RelayFault.SILENT)
            await rig.silence()
            await until(lambda: rig.events.count(STREAM_SILENT) == 2)
            await until(lambda: connection not in rig.server.connections)

    run(main())


def test_silent_link_ends_a_send_that_waits_for_flow_control():
    """Guard against a stream actor that blocks forever on a send."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            await rig.fault(RelayFault.SILENT)
            session = rig.membership.sessions["agent-1"]
            large = RequestPermit(
                attempt_id="a" * 900_000, request_id="r", remaining=1.0
            )
            for _ in range(20):
                session.post(Outgoing(message=large))
            await until(lambda: session.mailbox.qsize() < 20)
            await rig.silence()
            await until(lambda: rig.events.count(AGENT_DETACHED) == 1)
            assert rig.events.count(STREAM_SILENT) == 2

    run(main())


def test_planned_stop_delivers_queued_messages():
    """Guard against responses that a stopping agent queues but never sends."""

    async def main() -> None:
        async with Rig() as rig:
            link = rig.link()
            await rig.attached()
            for number in range(300):
                completed = AttemptCompleted(
                    attempt_id=f"r.{number}", status=200, headers={}, body=b"x" * 5000
                )
                link.post(SendToEntryLink(entry_id=link.address, message=completed))
            await link.close()
            await until(lambda: len(rig.dispatcher.of_type(AttemptCompleted)) == 300)

    run(main())


def test_messages_that_arrived_before_a_cut_are_delivered():
    """Guard against responses lost between the socket and the receiver."""

    async def main() -> None:
        async with Rig() as rig:
            link = rig.link()
            await rig.attached()
            session = rig.membership.sessions["agent-1"]
            taken = []
            session.receiver = taken.append
            session.post_urgent(
                Outgoing(
                    message=RequestPermit(
                        attempt_id="r.1", request_id="r", remaining=1.0
                    )
                )
            )
            await until(lambda: rig.received.of_type(RequestPermit))
            for number in range(50):
                completed = AttemptCompleted(
                    attempt_id=f"r.{number}", status=200, headers={}, body=b""
                )
                link.post(SendToEntryLink(entry_id=link.address, message=completed))
            await until(lambda: taken)
            await until(lambda: len(taken) == 50)
            await rig.fault(RelayFault.CUT)
            await until(lambda: rig.events.count(AGENT_DETACHED) == 1)
            assert [m.attempt_id for m in taken] == [f"r.{n}" for n in range(50)]

    run(main())


def test_backoff_grows_with_jitter_and_stays_bounded():
    """Guard against synchronised or undelayed dials of an unreachable entry."""

    async def main() -> None:
        async with Rig() as rig:
            await rig.fault(RelayFault.REFUSED)
            delays = []
            link = rig.link()
            link.set_timer = lambda timer_id, delay, message: delays.append(
                (delay, message)
            )
            for count in range(1, 13):
                await until(lambda n=count: len(delays) == n)
                link.post(delays[-1][1])
            await until(lambda: len(delays) == 13)
            waits = [delay for delay, _ in delays]
            assert all(0.2 <= wait <= 5.0 for wait in waits)
            assert len(set(waits)) == len(waits)
            assert max(waits[6:]) > max(waits[:2])

    run(main())
