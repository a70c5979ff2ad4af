"""Keep a bounded record at an agent of how attempts of requests ended."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from ..message import Message
from ..protocol import AttemptCompleted, AttemptNotRun, AttemptUnknown, PermitId, Reason

TOMBSTONE_LIMIT = 10_000
"""Tombstones that an agent keeps."""

RESULT_LIMIT = 2_000
"""Responses that an agent keeps for delivery on a new stream."""

RESULT_LIMIT_BYTES = 32 * 1024 * 1024
"""Total size of the responses that an agent keeps."""


@dataclass(slots=True)
class Tombstone:
    """Record how an attempt under one permit ended."""

    permit_id: PermitId
    result: Message


@dataclass(slots=True)
class TombstoneStore:
    """Store the tombstones and responses of one incarnation of an agent.

    Every run leaves a tombstone. When the tombstone of a run is dropped,
    highest_dropped_permit is raised to its permit number at least. A permit with a
    higher number and without a tombstone has therefore never run.
    """

    incarnation: int
    tombstones: OrderedDict[str, Tombstone] = field(default_factory=OrderedDict)
    result_sizes: OrderedDict[str, int] = field(default_factory=OrderedDict)
    result_bytes: int = 0
    highest_dropped_permit: int = 0

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self.tombstones

    def add(self, attempt_id: str, permit_id: PermitId, result: Message) -> None:
        """Record the end of an attempt, and drop the oldest records over a limit."""
        self.drop(attempt_id)
        self.tombstones[attempt_id] = Tombstone(permit_id, result)
        size = result_size(result)
        if size:
            self.result_sizes[attempt_id] = size
            self.result_bytes += size
        while self.results_over_limit:
            self.drop_result(next(iter(self.result_sizes)))
        while len(self.tombstones) > TOMBSTONE_LIMIT:
            self.drop(next(iter(self.tombstones)))

    @property
    def results_over_limit(self) -> bool:
        """Return whether more responses are kept than a limit allows."""
        if len(self.result_sizes) > RESULT_LIMIT:
            return True
        return self.result_bytes > RESULT_LIMIT_BYTES

    def drop(self, attempt_id: str) -> None:
        """Remove an attempt's tombstone, and record its number if it may have run."""
        tombstone = self.tombstones.get(attempt_id)
        if tombstone is None:
            return
        self.drop_result(attempt_id)
        del self.tombstones[attempt_id]
        if not isinstance(tombstone.result, AttemptNotRun):
            number = tombstone.permit_id.number
            self.highest_dropped_permit = max(self.highest_dropped_permit, number)

    def drop_result(self, attempt_id: str) -> None:
        """Remove the response of an attempt but keep its tombstone."""
        size = self.result_sizes.pop(attempt_id, None)
        if size is None:
            return
        self.result_bytes -= size
        self.tombstones[attempt_id].result = AttemptUnknown(
            attempt_id=attempt_id, reason=Reason.RESPONSE_LOST
        )

    def resolve(self, attempt_id: str, permit_id: PermitId) -> Message:
        """Return what the records prove about an attempt that is not in progress.

        The answer is "unknown" if the agent restarted after the grant, or if the
        tombstone or the response may have been dropped.
        """
        if permit_id.incarnation != self.incarnation:
            return AttemptUnknown(attempt_id=attempt_id, reason=Reason.AGENT_RESTARTED)
        tombstone = self.tombstones.get(attempt_id)
        if tombstone is not None and tombstone.permit_id == permit_id:
            return tombstone.result
        if permit_id.number <= self.highest_dropped_permit:
            return AttemptUnknown(
                attempt_id=attempt_id, reason=Reason.ATTEMPT_FORGOTTEN
            )
        return AttemptNotRun(attempt_id=attempt_id, reason=Reason.PERMIT_UNKNOWN)


@singledispatch
def result_size(result: Message) -> int:
    """Return the size in bytes of a kept response, or zero if there is none."""
    return 0


@result_size.register
def _(result: AttemptCompleted) -> int:
    headers = sum(len(name) + len(value) for name, value in result.headers.items())
    return len(result.body) + headers + 1
