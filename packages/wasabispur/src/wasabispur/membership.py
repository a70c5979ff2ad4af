"""Own the streams of the attached agents and route their messages."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wasabispur_core.command import SendToAgent, SendToEntry
from wasabispur_core.fleet import (
    Worker,
    WorkerAttached,
    WorkerDetached,
    WorkerLeaving,
)
from wasabispur_core.log_event import (
    AGENT_ATTACHED,
    AGENT_DETACHED,
    AGENT_DUPLICATE,
    AGENT_LEAVING,
)
from wasabispur_core.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    Announce,
    Heartbeat,
    Leaving,
    Role,
    TaskFinished,
    TaskInventory,
    TaskRefused,
    TaskReserved,
    TaskStarted,
    TaskStopped,
)
from wasabispur_core.request import AgentAttached, AgentDetached, AgentLeaving
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import execute
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import Outgoing

from .agent_session import AgentSession, SessionEnded, SessionOpened


class Membership(Actor):
    """Own the table of attached agents."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__("membership", timers)
        self.sessions: dict[str, AgentSession] = {}
        self.dispatcher: Actor | None = None
        self.schedulers: dict[str, Actor] = {}

    def on_session_opened(self, message: SessionOpened) -> None:
        """Take a new session; the older process or stream of the agent is ended."""
        announce = message.announce
        previous = self.sessions.get(announce.agent_id)
        if previous is not None:
            if previous.announce.incarnation > announce.incarnation:
                # Two processes with one id would otherwise take turns for ever.
                log(AGENT_DUPLICATE, agent=announce.agent_id)
                message.session.end("a newer process has announced the same id")
                return
            previous.superseded = True
            previous.end("replaced by a newer stream")
        self.sessions[announce.agent_id] = message.session
        log(AGENT_ATTACHED, agent=announce.agent_id)
        report_worker(announce, worker_attached(announce), self)
        if announce.role is Role.ENDPOINT and self.dispatcher is not None:
            self.dispatcher.post_urgent(
                AgentAttached(
                    agent_id=announce.agent_id,
                    service=announce.service,
                    region=announce.region,
                    slots=announce.slots,
                )
            )

    def on_session_ended(self, message: SessionEnded) -> None:
        """Forget an agent whose current session ended."""
        agent_id = message.session.announce.agent_id
        if self.sessions.get(agent_id) is not message.session:
            return
        del self.sessions[agent_id]
        log(AGENT_DETACHED, agent=agent_id, reason=message.reason)
        announce = message.session.announce
        report_worker(announce, WorkerDetached(worker_id=agent_id), self)
        if self.dispatcher is not None:
            self.dispatcher.post_urgent(AgentDetached(agent_id=agent_id))

    def on_send_to_agent(self, message: SendToAgent) -> None:
        """Send a message on the agent's stream if there is one."""
        session = self.sessions.get(message.agent_id)
        if session is not None:
            session.post(Outgoing(message=message.message))

    def on_send_to_entry(self, message: SendToEntry) -> None:
        """Drop a message to peers while there are no peer streams."""

    def on_from_agent(self, message: FromAgent) -> None:
        """Pass an agent's message to the actor that handles its kind."""
        route(message.message, message, self)


def worker_attached(announce: Announce) -> WorkerAttached:
    """Return the report on a worker whose agent attached."""
    worker = Worker(
        worker_id=announce.agent_id,
        region=announce.region,
        data_centre=announce.data_centre,
        rack=announce.rack,
        accelerators=announce.accelerators,
        cores=announce.cores,
        memory=announce.memory,
    )
    return WorkerAttached(worker=worker, clock=announce.clock)


def report_worker(announce: Announce, message: Message, membership: Membership) -> None:
    """Pass a message about a worker to the scheduler of its data centre."""
    scheduler = membership.schedulers.get(announce.data_centre)
    if announce.role is Role.WORKER and scheduler is not None:
        scheduler.post(message)


@singledispatch
def route(content: Message, message: FromAgent, membership: Membership) -> None:
    """Pass a message from an agent to the actor that handles its kind."""
    if membership.dispatcher is not None:
        membership.dispatcher.post(message)


@route.register(Heartbeat)
@route.register(TaskReserved)
@route.register(TaskRefused)
@route.register(TaskStarted)
@route.register(TaskFinished)
@route.register(TaskStopped)
@route.register(TaskInventory)
def _(content: Message, message: FromAgent, membership: Membership) -> None:
    session = membership.sessions.get(message.agent_id)
    if session is not None:
        report_worker(session.announce, message, membership)


@route.register
def _(content: Announce, message: FromAgent, membership: Membership) -> None:
    pass


@route.register
def _(content: Leaving, message: FromAgent, membership: Membership) -> None:
    log(AGENT_LEAVING, agent=message.agent_id)
    session = membership.sessions.get(message.agent_id)
    if session is not None:
        leaving = WorkerLeaving(worker_id=message.agent_id)
        report_worker(session.announce, leaving, membership)
    if membership.dispatcher is not None:
        membership.dispatcher.post_urgent(AgentLeaving(agent_id=message.agent_id))


@execute.register
def _(command: SendToAgent, actor: Any) -> None:
    actor.membership.post(command)
