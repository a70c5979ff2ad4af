"""Manage an entry instance's streams to agents and peers and route their messages."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.bundles.bundle_version import (
    ApplyBundle,
    NoBundleInForce,
    ProcessKind,
    RemoteProcess,
    RemoteProcessLost,
    VersionReported,
)
from wasabispur_core.command import SendToAgent, SendToEntry
from wasabispur_core.jobs.fleet import WorkerDetached
from wasabispur_core.log_event import (
    AGENT_ATTACHED,
    AGENT_DETACHED,
    AGENT_DUPLICATE,
    PEER_CONNECTED,
    PEER_LOST,
)
from wasabispur_core.membership.member import (
    decide,
    DigestDue,
    DisconnectMember,
    FromAgent,
    FromPeer,
    MemberAnnounced,
    MemberLost,
    MemberState,
    merged_statuses,
    next_digest,
)
from wasabispur_core.message import Message
from wasabispur_core.protocol import Announce, MemberStatus, PeerHello, Role
from wasabispur_core.requests.request_message import AgentAttached, AgentDetached
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.stream import Outgoing

from .agent_session import AgentSession, SessionEnded, SessionOpened
from .bridge import Ask
from .member_routing import describe_agent, describe_peer, IncomingMessage, route
from .member_worker import forward_to_scheduler, worker_attached
from .peer_session import PeerEnded, PeerOpened, PeerSession


class Membership(DecisionActor):
    """Manage the streams of this entry and the state of all members.

    The actors that receive messages from the streams are set after construction; None
    stands for an actor that this entry doesn't have.
    """

    def __init__(
        self, timers: TimerService, state: MemberState, own: MemberStatus
    ) -> None:
        super().__init__("membership", timers, state, decide)
        self.own = own
        self.membership: Actor = self
        self.sessions: dict[str, AgentSession] = {}
        self.peers: dict[str, PeerSession] = {}
        self.dispatcher: Actor | None = None
        self.bundles: Actor | None = None
        self.changes: Actor | None = None
        self.schedulers: dict[str, Actor] = {}
        self.receivers: dict[type[Message], Actor] = {}

    def register(self, message_class: type[Message], actor: Actor) -> None:
        """Route messages of a class from agents and peers to an actor."""
        self.receivers[message_class] = actor

    async def opened(self) -> None:
        """Start to send digests."""
        self.post(DigestDue())

    def on_session_opened(self, message: SessionOpened) -> None:
        """Add a new session and end an older one of the same agent."""
        announce, session = message.announce, message.session
        if not self.admit_session(describe_agent(announce), session):
            return
        previous = self.sessions.get(announce.agent_id)
        if previous is not None:
            previous.superseded = True
            previous.end("replaced by a newer stream")
        self.sessions[announce.agent_id] = session
        log(AGENT_ATTACHED, agent=announce.agent_id)
        self.report_version(ProcessKind.AGENT, announce.agent_id, announce)
        forward_to_scheduler(announce, worker_attached(announce), self)
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
        """Remove an agent whose current session ended."""
        agent_id = message.session.announce.agent_id
        if self.sessions.get(agent_id) is not message.session:
            return
        del self.sessions[agent_id]
        log(AGENT_DETACHED, agent=agent_id, reason=message.reason)
        self.record_stream_loss(ProcessKind.AGENT, agent_id)
        announce = message.session.announce
        forward_to_scheduler(announce, WorkerDetached(worker_id=agent_id), self)
        if self.dispatcher is not None:
            self.dispatcher.post_urgent(AgentDetached(agent_id=agent_id))

    def on_peer_opened(self, message: PeerOpened) -> None:
        """Add a new stream to a peer and send a digest to all peers."""
        hello, session = message.hello, message.session
        if not self.admit_session(describe_peer(hello), session):
            return
        previous = self.peers.get(hello.entry_id)
        if previous is not None:
            previous.end("replaced by a newer stream")
        self.peers[hello.entry_id] = session
        log(PEER_CONNECTED, entry=hello.entry_id)
        self.report_version(ProcessKind.ENTRY, hello.entry_id, hello)
        self.post(SendToEntry(entry_id="", message=next_digest(self.state)))

    def on_peer_ended(self, message: PeerEnded) -> None:
        """Remove a peer whose current stream ended."""
        entry_id = message.session.hello.entry_id
        if self.peers.get(entry_id) is not message.session:
            return
        del self.peers[entry_id]
        log(PEER_LOST, entry=entry_id, reason=message.reason)
        self.record_stream_loss(ProcessKind.ENTRY, entry_id)

    def on_send_to_agent(self, message: SendToAgent) -> None:
        """Send a message on the agent's stream if there is one."""
        session = self.sessions.get(message.agent_id)
        if session is not None:
            session.post(Outgoing(message=message.message))

    def on_send_to_entry(self, message: SendToEntry) -> None:
        """Send a message on the stream to one peer or to all of them."""
        for entry_id, session in self.peers.items():
            if message.entry_id in ("", entry_id):
                session.post(Outgoing(message=message.message))

    def on_from_agent(self, message: FromAgent) -> None:
        """Route an agent's message to the actor that handles its class."""
        source = RemoteProcess(kind=ProcessKind.AGENT, process_id=message.agent_id)
        route(message.message, IncomingMessage(message, source), self)

    def on_from_peer(self, message: FromPeer) -> None:
        """Route a peer's message to the actor that handles its class."""
        source = RemoteProcess(kind=ProcessKind.ENTRY, process_id=message.entry_id)
        route(message.message, IncomingMessage(message, source), self)

    def on_ask(self, message: Ask) -> None:
        """Reply with the status of all known processes."""
        message.reply.set_result(merged_statuses(self.state, self.own))

    def on_apply_bundle(self, message: ApplyBundle) -> None:
        """Update this entry's own status with the bundle version in force."""
        self.own = replace(self.own, bundle_version=message.version)

    def on_no_bundle_in_force(self, message: NoBundleInForce) -> None:
        """Keep this entry's own status, which begins without a version."""

    def admit_session(
        self, announced: MemberAnnounced, session: AgentSession | PeerSession
    ) -> bool:
        """Apply a process's announcement and return whether its session is admitted.

        Ends the session if a newer start of the same process is known.
        """
        commands = decide(announced, self.state, self.timers.now())
        for command in commands:
            if isinstance(command, DisconnectMember):
                log(AGENT_DUPLICATE, agent=announced.member_id)
                session.end("a newer start of this process is known")
                return False
            execute(command, self)
        return True

    def report_version(
        self, kind: ProcessKind, process_id: str, report: Announce | PeerHello
    ) -> None:
        """Report a new remote process's bundle version to the bundle manager."""
        if self.bundles is not None:
            source = RemoteProcess(kind=kind, process_id=process_id)
            self.bundles.post(
                VersionReported(source=source, version=report.bundle_version)
            )

    def record_stream_loss(self, kind: ProcessKind, process_id: str) -> None:
        """Report the end of the stream to a process."""
        self.on_message(MemberLost(member_id=process_id))
        if self.bundles is not None:
            source = RemoteProcess(kind=kind, process_id=process_id)
            self.bundles.post_urgent(RemoteProcessLost(source=source))
