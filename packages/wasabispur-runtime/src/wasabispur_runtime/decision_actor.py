"""Run a decision component of the core in an actor."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from wasabispur_core.command import CancelTimer, Command, SetTimer, WriteLog
from wasabispur_core.error import UnhandledMessageError
from wasabispur_core.log_event import catalogue
from wasabispur_core.message import Message
from wasabispur_core.timer import TimerService

from .actor import Actor
from .log import log

Decide = Callable[[Message, Any, float], list[Command]]
Observer = Callable[[Message, list[Command], float], None]

LOG_EVENTS = catalogue()


class DecisionActor(Actor):
    """Pass messages to a decision component and execute its commands.

    An observer, if set, receives each message with the resulting commands before
    they are executed.
    """

    def __init__(
        self, name: str, timers: TimerService, state: Any, decide: Decide
    ) -> None:
        super().__init__(name, timers)
        self.state = state
        self.decide = decide
        self.observer: Observer | None = None

    def on_message(self, message: Message) -> None:
        """Decide on the message and execute the resulting commands in order."""
        now = self.timers.now()
        commands = self.decide(message, self.state, now)
        if self.observer is not None:
            self.observer(message, commands, now)
        for command in commands:
            execute(command, self)


@singledispatch
def execute(command: Command, actor: Any) -> None:
    """Execute one command on behalf of the actor."""
    raise UnhandledMessageError(
        f"actor {actor.name} can't execute {type(command).__name__}",
        "register an implementation with execute.register",
    )


@execute.register
def _(command: SetTimer, actor: Any) -> None:
    actor.set_timer(command.timer_id, command.delay, command.message)


@execute.register
def _(command: CancelTimer, actor: Any) -> None:
    actor.cancel_timer(command.timer_id)


@execute.register
def _(command: WriteLog, actor: Any) -> None:
    log(LOG_EVENTS[command.number], **command.fields)
