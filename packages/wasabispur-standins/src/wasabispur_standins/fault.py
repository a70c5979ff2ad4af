"""Define the faults that a stand-in can be told to show."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.token_bucket import TokenBucket

Seconds = Annotated[float, Field(ge=0, le=3600)]
Status = Annotated[int, Field(ge=400, le=599)]


class Fault(BaseModel):
    """Base of all faults, with the choice of the requests that show it.

    The fault passes over the first skip requests that fit and then applies to
    count of them, or to all until it is replaced.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    method: str = ""
    path: str = ""
    skip: Annotated[int, Field(ge=0)] = 0
    count: Annotated[int, Field(ge=1)] | None = None


class Outage(Fault):
    """Answer with a status before any effect."""

    kind: Literal["outage"] = "outage"
    status: Status = 503


class Refuse(Fault):
    """Close the port for a time, so that connections are refused."""

    kind: Literal["refuse"] = "refuse"
    seconds: Seconds


class Pause(Fault):
    """Hold every request until a time after the fault was set."""

    kind: Literal["pause"] = "pause"
    seconds: Seconds


class Slow(Fault):
    """Answer late, after the effect."""

    kind: Literal["slow"] = "slow"
    seconds: Seconds


class Fail(Fault):
    """Answer with a status after the effect."""

    kind: Literal["fail"] = "fail"
    status: Status = 500


class Cut(Fault):
    """Close the connection before the effect."""

    kind: Literal["cut"] = "cut"


class LoseAnswer(Fault):
    """Close the connection after the effect, without an answer."""

    kind: Literal["lose_answer"] = "lose_answer"


class DuplicateRequest(Fault):
    """Apply the request twice and answer as the second time."""

    kind: Literal["duplicate_request"] = "duplicate_request"


class DuplicateAnswer(Fault):
    """Send the answer twice on the same connection."""

    kind: Literal["duplicate_answer"] = "duplicate_answer"


class Truncate(Fault):
    """Send half of the announced body after the effect."""

    kind: Literal["truncate"] = "truncate"


class Garbage(Fault):
    """Send a body that is no JSON after the effect."""

    kind: Literal["garbage"] = "garbage"


class Oversize(Fault):
    """Send a body of the given size after the effect."""

    kind: Literal["oversize"] = "oversize"
    size: Annotated[int, Field(ge=1, le=64 * 1024 * 1024)] = 32 * 1024 * 1024


class Silent(Fault):
    """Keep the connection open and send nothing, with or without the effect."""

    kind: Literal["silent"] = "silent"
    effect: bool = False


class RateLimit(Fault):
    """Answer 429 to requests over a rate."""

    kind: Literal["rate_limit"] = "rate_limit"
    per_second: Annotated[float, Field(gt=0)]


class FailTasks(Fault):
    """Let every task of a worker fail at its end."""

    kind: Literal["fail_tasks"] = "fail_tasks"


class IgnoreStops(Fault):
    """Let a worker go on with tasks that it was told to stop."""

    kind: Literal["ignore_stops"] = "ignore_stops"


AnyFault = Annotated[
    Outage
    | Refuse
    | Pause
    | Slow
    | Fail
    | Cut
    | LoseAnswer
    | DuplicateRequest
    | DuplicateAnswer
    | Truncate
    | Garbage
    | Oversize
    | Silent
    | RateLimit
    | FailTasks
    | IgnoreStops,
    Field(discriminator="kind"),
]

BACKGROUND_FAULTS = (Refuse, FailTasks, IgnoreStops)
"""Faults that don't act on a single request."""


class FaultList(BaseModel):
    """Hold the faults in effect; the first that fits a request applies."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    faults: Annotated[list[AnyFault], Field(max_length=64)] = []


@dataclass(slots=True)
class _Rule:
    fault: Fault
    since: float
    seen: int = 0
    bucket: TokenBucket | None = None

    def fits(self, method: str, path: str) -> bool:
        return self.fault.method in ("", method) and path.startswith(self.fault.path)


@dataclass(slots=True)
class FaultPlan:
    """Choose the fault for each request."""

    rules: list[_Rule] = field(default_factory=list)

    def replace(self, faults: FaultList, now: float) -> None:
        """Put other faults into effect."""
        self.rules = [_Rule(fault, now) for fault in faults.faults]
        for rule in self.rules:
            if isinstance(rule.fault, RateLimit):
                rate = rule.fault.per_second
                rule.bucket = TokenBucket(rate, max(rate, 1.0), now)

    def faults(self) -> FaultList:
        """Return the faults in effect."""
        return FaultList.model_validate(
            {"faults": [rule.fault.model_dump() for rule in self.rules]}
        )

    def take(self, method: str, path: str, now: float) -> Fault | None:
        """Return the fault that this request shall show."""
        for rule in self.rules:
            if rule.fits(method, path) and not isinstance(
                rule.fault, BACKGROUND_FAULTS
            ):
                fault = _due(rule, now)
                if fault is not None:
                    return fault
        return None


def _due(rule: _Rule, now: float) -> Fault | None:
    fault = rule.fault
    rule.seen += 1
    if rule.seen <= fault.skip:
        return None
    if fault.count is not None and rule.seen > fault.skip + fault.count:
        return None
    if isinstance(fault, Pause):
        rest = rule.since + fault.seconds - now
        return Pause(seconds=rest) if rest > 0 else None
    if rule.bucket is not None:
        return None if rule.bucket.take(now) else Outage(status=429)
    return fault
