"""Define the base classes of the actions and guards of state charts.

A chart refers to a class by its name in snake case. The implementation of a class is
registered with perform or holds.
"""

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
    """Describe the transition for which an action or a guard is evaluated.

    state is the whole state of the component, subject is the object whose
    lifecycle makes the transition, message is the event, and now is in monotonic
    seconds.
    """

    state: StateT
    subject: SubjectT
    message: Message
    now: float


class Action(TransitionContext[StateT, SubjectT]):
    """Define one effect of a transition, implemented with perform.register."""

    __slots__ = ()


class Guard(TransitionContext[StateT, SubjectT]):
    """Define one condition of a transition, implemented with holds.register."""

    __slots__ = ()


@singledispatch
def perform(action: Action[Any, Any]) -> list[Command]:
    """Apply the action to its subject and return the resulting commands."""
    raise ChartError(
        f"action {type(action).__name__} has no implementation",
        "register one with perform.register",
    )


@singledispatch
def holds(guard: Guard[Any, Any]) -> bool:
    """Return whether the guard's condition is true."""
    raise ChartError(
        f"guard {type(guard).__name__} has no implementation",
        "register one with holds.register",
    )
