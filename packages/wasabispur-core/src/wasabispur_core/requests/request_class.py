"""Apply the workload classes of the settings bundle in force to new requests."""

from __future__ import annotations

from dataclasses import dataclass

from ..command import Command
from ..message import Message
from ..work_class import WorkClass
from .request import decide, RequestState


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassesChanged(Message):
    """Report the classes of the bundle that came into force."""

    classes: tuple[WorkClass, ...]


@decide.register
def _(message: ClassesChanged, state: RequestState, now: float) -> list[Command]:
    # Requests in progress keep the class under which they were received.
    before = state.classes
    state.classes = {rule.name: rule for rule in message.classes}
    for name in list(state.retry_budgets):
        if state.classes.get(name) != before.get(name):
            del state.retry_budgets[name]
    return []
