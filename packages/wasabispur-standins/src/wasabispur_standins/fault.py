"""Define the faults that a stand-in injects, and select the fault of each request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.storage.token_bucket import TokenBucket

Seconds = Annotated[float, Field(ge=0, le=3600)]
Status = Annotated[int, Field(ge=400, le=599)]


class Fault(BaseModel):
    """Define the fields of all faults.

    A fault matches requests by method and path prefix; an empty value matches every
    request. It skips the first skip matching requests and applies to the next count
    of them; without a count it applies until the faults are replaced.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    method: str = ""
    path: str = ""
    skip: Annotated[int, Field(ge=0)] = 0
    count: Annotated[int, Field(ge=1)] | None = None


class Outage(Fault):
    """Answer with a status; the request has no effect."""

    kind: Literal["outage"] = "outage"
    status: Status = 503


class Refuse(Fault):
    """Close the port for some seconds, so that connections are refused."""

    kind: Literal["refuse"] = "refuse"
    seconds: Seconds


class Pause(Fault):
    """Delay every request until some seconds after the fault was set."""

    kind: Literal["pause"] = "pause"
    seconds: Seconds


class Slow(Fault):
    """Apply the request and delay the response by some seconds."""

    kind: Literal["slow"] = "slow"
    seconds: Seconds


class Fail(Fault):
    """Apply the request and answer with an error status."""

    kind: Literal["fail"] = "fail"
    status: Status = 500


class Cut(Fault):
    """Close the connection; the request has no effect."""

    kind: Literal["cut"] = "cut"


class LoseAnswer(Fault):
    """Apply the request and close the connection without a response."""

    kind: Literal["lose_answer"] = "lose_answer"


class DuplicateRequest(Fault):
    """Apply the request twice and return the second response."""

    kind: Literal["duplicate_request"] = "duplicate_request"


class DuplicateAnswer(Fault):
    """Apply the request once and send its response twice on the same connection."""

    kind: Literal["duplicate_answer"] = "duplicate_answer"


class Truncate(Fault):
    """Apply the request, send half of the announced body and close the connection."""

    kind: Literal["truncate"] = "truncate"


class Garbage(Fault):
    """Apply the request and send a body that is not JSON."""

    kind: Literal["garbage"] = "garbage"


class Oversize(Fault):
    """Apply the request and send a body of the given size in bytes."""

    kind: Literal["oversize"] = "oversize"
    size: Annotated[int, Field(ge=1, le=64 * 1024 * 1024)] = 32 * 1024 * 1024


class Silent(Fault):
    """Keep the connection open and send nothing.

    The request is applied only if effect is set.
    """

    kind: Literal["silent"] = "silent"
    effect: bool = False


class RateLimit(Fault):
    """Answer requests above a rate with status 429; they have no effect."""

    kind: Literal["rate_limit"] = "rate_limit"
    per_second: Annotated[float, Field(gt=0)]


class FailTasks(Fault):
    """Make every task of a worker fail at the end of its run time."""

    kind: Literal["fail_tasks"] = "fail_tasks"


class IgnoreStops(Fault):
    """Make a worker ignore stop commands, so that its tasks run on."""

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
"""Faults that act on the port or on tasks instead of on single requests."""


class FaultList(BaseModel):
    """Validate a list of faults; the first that is due for a request applies."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    faults: Annotated[list[AnyFault], Field(max_length=64)] = []


@dataclass(slots=True)
class _Rule:
    fault: Fault
    set_at: float
    matched: int = 0
    bucket: TokenBucket | None = None

    def matches(self, method: str, path: str) -> bool:
        return self.fault.method in ("", method) and path.startswith(self.fault.path)


@dataclass(slots=True)
class FaultPlan:
    """Select the fault for each request from the faults in effect."""

    rules: list[_Rule] = field(default_factory=list)

    def replace(self, faults: FaultList, now: float) -> None:
        """Replace the faults in effect and reset their counts."""
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
        """Return the fault that applies to this request, or None.

        The request counts as seen by each matching fault up to the selected one.
        """
        for rule in self.rules:
            if rule.matches(method, path) and not isinstance(
                rule.fault, BACKGROUND_FAULTS
            ):
                fault = _select_fault(rule, now)
                if fault is not None:
                    return fault
        return None


def _select_fault(rule: _Rule, now: float) -> Fault | None:
    fault = rule.fault
    rule.matched += 1
    if rule.matched <= fault.skip:
        return None
    if fault.count is not None and rule.matched > fault.skip + fault.count:
        return None
    if isinstance(fault, Pause):
        rest = rule.set_at + fault.seconds - now
        return Pause(seconds=rest) if rest > 0 else None
    if rule.bucket is not None:
        return None if rule.bucket.take(now) else Outage(status=429)
    return fault
