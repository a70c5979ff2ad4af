"""Decide with a circuit breaker whether an external service may be called."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue, Lifecycle
from ..command import Command, SetTimer
from ..message import Message

FAILURE_LIMIT = 5
"""Consecutive failures that open the circuit."""

OPEN_TIME_BASE = 0.5
OPEN_TIME_LIMIT = 2.0
"""Bounds in seconds of the jittered time for which the circuit is open.

This time and the poll interval of the bundle pointer stay below 5 s in total. Within
5 s a process that reaches only the table service has to get a new bundle.
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
    """Report that the service did not answer or is in an outage.

    stale is set for a call that was sent before the present trial.
    """

    stale: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialDue(Message):
    """Report that the time for a trial call has come."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReachable(Message):
    """Report that the service answered another connection of this process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceUnreachable(Message):
    """Report that the service did not answer another connection of this process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialTiming:
    """Define the bounds in seconds of the time for which a circuit is open."""

    base: float = OPEN_TIME_BASE
    limit: float = OPEN_TIME_LIMIT


FREQUENT_TRIALS = TrialTiming(base=0.1, limit=0.4)
"""Timing for processes that place work: all of it stands still until the store is back.

The owner of a shard also loses it to another one if it notices the end later.
"""


@dataclass(slots=True)
class Circuit:
    """Represent the circuit breaker of one service."""

    lifecycle: Lifecycle
    random: Random
    failures: int = 0
    openings: int = 0
    timing: TrialTiming = field(default_factory=TrialTiming)

    @property
    def state(self) -> str:
        """Return the state in the circuit chart."""
        return self.lifecycle.state

    def handle(self, message: Message, now: float) -> list[Command]:
        """Handle the result of a call or the end of the open time."""
        return self.lifecycle.handle(message, self, self, now)


class CircuitAction(Action[Circuit, Circuit]):
    """Define an action of the circuit state chart; its subject is the circuit."""

    __slots__ = ()


class CircuitGuard(Guard[Circuit, Circuit]):
    """Define a guard of the circuit state chart; its subject is the circuit."""

    __slots__ = ()


class CountFailure(CircuitAction):
    """Count a consecutive failure."""

    __slots__ = ()


class ResetFailures(CircuitAction):
    """Reset the counts of failures and openings."""

    __slots__ = ()


class ScheduleTrial(CircuitAction):
    """Schedule a trial after a random delay that grows with each failed trial.

    The random delay keeps many processes from retrying at the same moment.
    """

    __slots__ = ()


class FailureLimitReached(CircuitGuard):
    """Check whether one more failure reaches the limit."""

    __slots__ = ()


class SentBeforeTrial(CircuitGuard):
    """Check whether a failed call gives no information on the present trial."""

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


@holds.register
def _(guard: SentBeforeTrial) -> bool:
    message = guard.message
    return isinstance(message, CallFailed) and message.stale


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
    timing = circuit.timing
    limit = min(timing.limit, timing.base * 2**circuit.openings)
    delay = circuit.random.uniform(timing.base, limit)
    return [SetTimer(timer_id=CIRCUIT_TIMER, delay=delay, message=TrialDue())]
