"""Drive the permit component of one agent with single messages."""

from __future__ import annotations

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import Command
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    AttemptCompleted,
    PermitGranted,
    PermitId,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)
from wasabispur_core.requests.permit import (
    decide,
    FromEntry,
    PermitState,
    SendToEntryLink,
)
from wasabispur_core.requests.permit_action import attempt_chart

ENTRY = "entry"


class AgentProbe:
    """Pass messages to the permit component, and return its replies."""

    def __init__(self, incarnation: int = 1, slots: int = 8) -> None:
        chart = attempt_chart(ChartCatalogue())
        self.state = PermitState(slots=slots, chart=chart, incarnation=incarnation)
        self.now = 0.0

    def decide(self, message: Message) -> list[Command]:
        """Return all commands that the message causes."""
        return decide(message, self.state, self.now)

    def tell(self, message: Message) -> list[Message]:
        """Return the replies to a message from the entry."""
        commands = self.decide(FromEntry(entry_id=ENTRY, message=message))
        return [c.message for c in commands if isinstance(c, SendToEntryLink)]

    def grant(self, attempt_id: str) -> PermitId:
        """Request a permit and return its id."""
        ask = RequestPermit(attempt_id=attempt_id, request_id="r", remaining=9.0)
        (granted,) = self.tell(ask)
        assert isinstance(granted, PermitGranted)
        return granted.permit_id

    def start(self, attempt_id: str, permit_id: PermitId) -> list[Message]:
        """Start an attempt and return the replies."""
        start = StartAttempt(
            attempt_id=attempt_id,
            permit_id=permit_id,
            method="POST",
            path="/",
            headers={},
            body=b"",
            remaining=9.0,
        )
        return self.tell(start)

    def run(self, attempt_id: str, body: bytes = b"done") -> PermitId:
        """Run an attempt to its end."""
        permit_id = self.grant(attempt_id)
        self.start(attempt_id, permit_id)
        self.decide(completed(attempt_id, body))
        return permit_id

    def resolve(self, attempt_id: str, permit_id: PermitId) -> Message:
        """Return the agent's answer to ResolveAttempt."""
        ask = ResolveAttempt(attempt_id=attempt_id, permit_id=permit_id)
        (answer,) = self.tell(ask)
        return answer


def completed(attempt_id: str, body: bytes = b"done") -> AttemptCompleted:
    """Return a complete response."""
    return AttemptCompleted(attempt_id=attempt_id, status=200, headers={}, body=body)
