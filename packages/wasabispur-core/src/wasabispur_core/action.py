"""Define the actions and guards that charts name."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any, Generic, TypeVar

from .command import Command
from .error import ChartError
from .message import Message

StateT = TypeVar("StateT")
SubjectT = TypeVar("SubjectT")


@dataclass(frozen=True, slots=True)
class TransitionContext(Generic[StateT, SubjectT]):
    """Hold what an action or a guard may look at.

    The state is all that the component owns, the subject is the object with the
    lifecycle, and now is in monotonic seconds.
    """

    state: StateT
    subject: SubjectT
    message: Message
    now: float


class Action(TransitionContext[StateT, SubjectT]):
    """Name one effect of a transition; perform() holds its body."""

    __slots__ = ()


class Guard(TransitionContext[StateT, SubjectT]):
    """Name one condition of a transition; holds() holds its body."""

    __slots__ = ()


@singledispatch
def perform(action: Action[Any, Any]) -> list[Command]:
    """Apply the action to its subject and return the commands it causes."""
    raise ChartError(
        f"action {type(action).__name__} has no body",
        "register one with perform.register",
    )


@singledispatch
def holds(guard: Guard[Any, Any]) -> bool:
    """Return whether the guard's condition is true."""
    raise ChartError(
        f"guard {type(guard).__name__} has no body",
        "register one with holds.register",
    )
