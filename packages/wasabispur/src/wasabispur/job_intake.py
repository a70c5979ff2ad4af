"""Process callers' requests about jobs at an entry of the workload plane."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from wasabispur_core.timer import TimerService
from wasabispur_core.workload.intake.intake import decide
from wasabispur_core.workload.intake.intake_message import AnswerCaller, IntakeRequest
from wasabispur_core.workload.intake.intake_state import IntakeState
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute

from .bridge import Ask


class JobIntake(DecisionActor):
    """Process callers' requests about jobs and complete their futures."""

    def __init__(self, timers: TimerService, state: IntakeState, table: Actor) -> None:
        super().__init__("job-intake", timers, state, decide)
        self.table = table
        self.waiting: dict[str, Future[Any]] = {}

    def on_ask(self, message: Ask) -> None:
        """Process a caller's request and keep the future for its answer."""
        request = message.message
        if isinstance(request, IntakeRequest):
            self.waiting[request.call_id] = message.reply
        self.on_message(request)

    def answer(self, command: AnswerCaller) -> None:
        """Complete the future of a waiting caller."""
        reply = self.waiting.pop(command.call_id, None)
        if reply is not None and not reply.done():
            reply.set_result(command)


@execute.register
def _(command: AnswerCaller, actor: JobIntake) -> None:
    actor.answer(command)
