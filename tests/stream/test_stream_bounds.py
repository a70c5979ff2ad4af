"""Test the limits on sessions, connections, mailboxes and agent ids."""

from __future__ import annotations

import asyncio

from tests.stream.harness import Rig, run, until

from wasabispur_core.error import MailboxFullError
from wasabispur_core.log_event import (
    AGENT_ATTACHED,
    AGENT_DUPLICATE,
    CONNECTIONS_FULL,
    HANDLER_FAILED,
    SESSIONS_FULL,
    STREAM_FAILED,
)
from wasabispur_core.protocol import AttemptRunning, Leaving, RequestPermit
from wasabispur_core.requests.permit import SendToEntryLink
from wasabispur_core.requests.request_message import AgentDetached
from wasabispur_runtime.stream import Outgoing, RECEIVE_BACKLOG_LIMIT


def permit(number) -> RequestPermit:
    return RequestPermit(attempt_id=f"r.{number}", request_id="r", remaining=1.0)


def test_sessions_over_the_limit_are_refused():
    """Guard against more streams than an entry has memory for."""

    async def main() -> None:
        async with Rig(session_limit=2) as rig:
            rig.link("agent-1")
            rig.link("agent-2")
            await rig.attached(2)
            rig.link("agent-3")
            await until(lambda: rig.events.count(SESSIONS_FULL) == 1)
            await until(lambda: rig.events.count(STREAM_FAILED) == 1)
            assert set(rig.membership.sessions) == {"agent-1", "agent-2"}
            await rig.links[0].close()
            await rig.attached(1)
            await rig.redial()
            await until(lambda: "agent-3" in rig.membership.sessions)

    run(main())


def test_connections_over_the_limit_are_refused():
    """Guard against idle connections that use up all sockets."""

    async def main() -> None:
        async with Rig() as rig:
            rig.server.limit = 3
            rig.link()
            await rig.attached()
            writers = []
            for _ in range(4):
                _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
                writers.append(writer)
            await until(lambda: rig.events.count(CONNECTIONS_FULL) == 2)
            assert len(rig.server.connections) == 3
            await rig.beat(2)
            for writer in writers:
                writer.close()

    run(main())


def test_new_process_replaces_the_old_one_with_its_id():
    """Guard against a restarted agent that waits for its own old stream."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link(incarnation=1)
            await rig.attached()
            rig.link(incarnation=2)
            await until(lambda: rig.events.count(AGENT_ATTACHED) == 2)
            assert rig.membership.sessions["agent-1"].announce.incarnation == 2

    run(main())


def test_two_processes_with_one_id_do_not_alternate():
    """Guard against two agents with one id that replace each other endlessly."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link(incarnation=2)
            await rig.attached()
            rig.link(incarnation=1)
            while rig.events.count(AGENT_DUPLICATE) < 4:
                await rig.beat(1)
                await asyncio.sleep(0.01)
            assert rig.events.count(AGENT_ATTACHED) == 1
            assert rig.membership.sessions["agent-1"].announce.incarnation == 2

    run(main())


def test_departure_on_an_old_stream_does_not_detach_the_new_process():
    """Guard against a late message of an old stream that detaches the new process."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link(incarnation=1)
            await rig.attached()
            old = rig.membership.sessions["agent-1"]
            rig.link(incarnation=2)
            await until(lambda: old.superseded)
            old.forward(Leaving())
            await until(lambda: rig.membership.mailbox.empty())
            assert not rig.dispatcher.of_type(AgentDetached)

    run(main())


def test_order_on_one_stream_is_kept():
    """Guard against messages that are reordered or repeated on one stream."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            session = rig.membership.sessions["agent-1"]
            for number in range(500):
                session.post(Outgoing(message=permit(number)))
            await until(lambda: len(rig.received.messages) == 500)
            received = [m.attempt_id for m in rig.received.of_type(RequestPermit)]
            assert received == [f"r.{number}" for number in range(500)]

    run(main())


def test_full_receiver_does_not_end_the_stream():
    """Guard against a full mailbox that stops the reader."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            rig.received.mailbox_limit = 0
            session = rig.membership.sessions["agent-1"]
            for number in range(RECEIVE_BACKLOG_LIMIT * 3):
                session.post(Outgoing(message=permit(number)))
            await rig.beat(5)
            assert not rig.received.messages
            rig.received.mailbox_limit = 100
            # Earlier messages may still be in flight when the mailbox accepts again.
            last = permit(RECEIVE_BACKLOG_LIMIT * 3)
            session.post(Outgoing(message=last))
            await until(lambda: last in rig.received.of_type(RequestPermit))
            assert rig.events.count(STREAM_FAILED) == 0
            assert rig.events.count(HANDLER_FAILED) == 0

    run(main())


def test_full_membership_keeps_the_record_of_sessions():
    """Guard against sessions that stay listed because their end was dropped."""

    async def main() -> None:
        async with Rig() as rig:
            rig.membership.mailbox_limit = 0
            link = rig.link()
            await rig.attached()
            await rig.beat(2)
            running = AttemptRunning(attempt_id="r.1")
            link.post(SendToEntryLink(entry_id=link.address, message=running))
            await rig.beat(1)
            await link.close()
            await until(lambda: not rig.membership.sessions)

    run(main())


def test_outgoing_messages_are_bounded():
    """Guard against unbounded memory use by the queue of a stalled stream."""

    async def main() -> None:
        async with Rig() as rig:
            rig.link()
            await rig.attached()
            session = rig.membership.sessions["agent-1"]
            refused = 0
            for number in range(session.mailbox_limit + 10):
                try:
                    session.post(Outgoing(message=permit(number)))
                except MailboxFullError:
                    refused += 1
            assert refused >= 10
            await until(lambda: session.mailbox.empty())
            await rig.beat(1)
            assert rig.events.count(STREAM_FAILED) == 0

    run(main())
