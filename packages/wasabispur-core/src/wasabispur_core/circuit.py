"""Decide whether an outside service may be called after failures."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .action import Action, Guard, holds, perform
from .chart import Chart, ChartCatalogue, Lifecycle
from .command import Command, SetTimer
from .message import Message

FAILURE_LIMIT = 5
"""Failures in a row that open the circuit."""

OPEN_TIME_BASE = 0.5
OPEN_TIME_LIMIT = 2.0
"""Bounds in seconds of the jittered time for which the circuit is open.

With the poll of the bundle pointer it stays below the 5 s in which a process that
reaches nothing but the table service has to get a new bundle.
"""

CLOSED = "closed"
OPEN = "open"
HALF_OPEN = "half_open"

CIRCUIT_TIMER = "circuit"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallSucceeded(Message):
    """Report that the service answered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed(Message):
    """Report that the service did not answer, or refused because of an outage."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialDue(Message):
    """Report that the service may be tried again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReachable(Message):
    """Report that the service answers on another connection of this process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceUnreachable(Message):
    """Report that the service gave no answer on another connection."""


@dataclass(slots=True)
class Circuit:
    """Hold the state of the circuit breaker for one service."""

    lifecycle: Lifecycle
    random: Random
    failures: int = 0
    openings: int = 0

    @property
    def state(self) -> str:
        """Return the state in the circuit chart."""
        return self.lifecycle.state

    def handle(self, message: Message, now: float) -> list[Command]:
        """Take the result of a call or the end of the waiting time."""
        return self.lifecycle.handle(message, self, self, now)


class CircuitAction(Action[Circuit, Circuit]):
    """Name an effect in the circuit chart."""

    __slots__ = ()


class CircuitGuard(Guard[Circuit, Circuit]):
    """Name a condition in the circuit chart."""

    __slots__ = ()


class CountFailure(CircuitAction):
    """Count one more failure in a row."""

    __slots__ = ()


class ResetFailures(CircuitAction):
    """Forget the failures."""

    __slots__ = ()


class ScheduleTrial(CircuitAction):
    """Wait for a random time, longer after each failed trial.

    The random time keeps many processes from returning at the same moment.
    """

    __slots__ = ()


class FailureLimitReached(CircuitGuard):
    """Hold if one more failure reaches the limit."""

    __slots__ = ()


def circuit_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the circuit chart bound to its actions and guards."""
    return catalogue.bind(
        "circuit",
        actions=CircuitAction.__subclasses__(),
        guards=CircuitGuard.__subclasses__(),
    )


@holds.register
def _(guard: FailureLimitReached) -> bool:
    return guard.subject.failures + 1 >= FAILURE_LIMIT


@perform.register
def _(action: CountFailure) -> list[Command]:
    action.subject.failures += 1
    return []


@perform.register
def _(action: ResetFailures) -> list[Command]:
    action.subject.failures = 0
    action.subject.openings = 0
    return []


@perform.register
def _(action: ScheduleTrial) -> list[Command]:
    circuit = action.subject
    circuit.openings += 1
    limit = min(OPEN_TIME_LIMIT, OPEN_TIME_BASE * 2**circuit.openings)
    delay = circuit.random.uniform(OPEN_TIME_BASE, limit)
    return [SetTimer(timer_id=CIRCUIT_TIMER, delay=delay, message=TrialDue())]
