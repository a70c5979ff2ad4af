"""Run the entry instance's actors for the bundle in force and for bundle changes."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from wasabispur_core.bundles import bundle_change, bundle_version
from wasabispur_core.bundles.bundle_operation import (
    BundleAccepted,
    BundleChangeState,
    BundleQuery,
    ChangeOperation,
    OperationEnded,
    OperationFailed,
)
from wasabispur_core.bundles.bundle_version import (
    ApplyBundle,
    BundleOffered,
    BundleVersionState,
    NoBundleInForce,
    PollDue,
    ProcessKind,
    SendToRemoteProcess,
)
from wasabispur_core.command import SendToAgent, SendToEntry
from wasabispur_core.log_event import BUNDLE_OPERATION_ENDED, BUNDLE_OPERATION_FAILED
from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log

from .bridge import Ask


@dataclass(frozen=True, slots=True, kw_only=True)
class ShowBundleInForce(Message):
    """Request the signed bundle in force at this entry."""


class BundleManager(DecisionActor):
    """Maintain the bundle version in force at this entry.

    Polls the pointer row, and offers the bundle in force to agents and peers.
    listeners receive ApplyBundle for every new version, and NoBundleInForce with each
    poll before the first one.
    """

    def __init__(
        self,
        timers: TimerService,
        state: BundleVersionState,
        membership: Actor,
        table: Actor,
    ) -> None:
        super().__init__("bundle-manager", timers, state, bundle_version.decide)
        self.membership = membership
        self.table = table
        self.listeners: list[Actor] = []

    async def opened(self) -> None:
        """Read the pointer row at once."""
        self.post(PollDue())

    def on_ask(self, message: Ask) -> None:
        """Reply with the signed bundle in force, or None before the first one."""
        message.reply.set_result(self.state.bundle)


class BundleChangeManager(DecisionActor):
    """Process operators' operations on bundle changes and complete their futures."""

    def __init__(
        self,
        timers: TimerService,
        state: BundleChangeState,
        bundles: Actor,
        table: Actor,
    ) -> None:
        super().__init__("bundle-change-manager", timers, state, bundle_change.decide)
        self.bundles = bundles
        self.table = table
        self.waiting: dict[str, Future[Any]] = {}

    def on_ask(self, message: Ask) -> None:
        """Process an operator's message and keep the future for its reply."""
        asked = message.message
        if isinstance(asked, ChangeOperation | BundleQuery):
            self.waiting[asked.operation_id] = message.reply
        self.on_message(asked)

    def pop_reply(self, operation_id: str) -> Future[Any]:
        """Remove and return the future for an operation's reply.

        Returns a new future, which nobody waits for, if the operation has none.
        """
        return self.waiting.pop(operation_id, None) or Future()


@execute.register
def _(command: SendToRemoteProcess, actor: BundleManager) -> None:
    target = command.remote_process
    if target.kind is ProcessKind.AGENT:
        actor.membership.post(
            SendToAgent(agent_id=target.process_id, message=command.message)
        )
        return
    actor.membership.post(
        SendToEntry(entry_id=target.process_id, message=command.message)
    )


@execute.register(ApplyBundle)
@execute.register(NoBundleInForce)
def _(command: ApplyBundle | NoBundleInForce, actor: BundleManager) -> None:
    for listener in actor.listeners:
        listener.post(command)


@execute.register
def _(command: BundleAccepted, actor: BundleChangeManager) -> None:
    actor.bundles.post(BundleOffered(bundle=command.bundle))


@execute.register
def _(command: OperationEnded, actor: BundleChangeManager) -> None:
    log(BUNDLE_OPERATION_ENDED, operation=command.operation_id)
    actor.pop_reply(command.operation_id).set_result(command)


@execute.register
def _(command: OperationFailed, actor: BundleChangeManager) -> None:
    log(
        BUNDLE_OPERATION_FAILED,
        operation=command.operation_id,
        error=str(command.error),
    )
    actor.pop_reply(command.operation_id).set_exception(command.error)
