"""Remember how ended attempts ended, within bounds."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from .message import Message
from .protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    PermitId,
    Reason,
)

TOMBSTONE_LIMIT = 10_000
"""Ended attempts whose end an agent remembers."""

RESULT_LIMIT = 2_000
"""Ended attempts whose response an agent keeps for delivery on a new stream."""

RESULT_LIMIT_BYTES = 32 * 1024 * 1024
"""Bytes of the responses that an agent keeps."""


@dataclass(slots=True)
class Tombstone:
    """Hold how an attempt under one permit ended."""

    permit_id: PermitId
    result: Message


@dataclass(slots=True)
class TombstoneStore:
    """Own the tombstones and responses of one incarnation of an agent.

    Every run leaves a tombstone. Dropping one raises highest_dropped_permit to its
    permit number, so a permit above that number without a tombstone never ran.
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
        """Forget an attempt, and note it if it may have run."""
        tombstone = self.tombstones.get(attempt_id)
        if tombstone is None:
            return
        self.drop_result(attempt_id)
        del self.tombstones[attempt_id]
        if not isinstance(tombstone.result, AttemptNotRun):
            number = tombstone.permit_id.number
            self.highest_dropped_permit = max(self.highest_dropped_permit, number)

    def drop_result(self, attempt_id: str) -> None:
        """Forget the response of an attempt but not that it ended."""
        size = self.result_sizes.pop(attempt_id, None)
        if size is None:
            return
        self.result_bytes -= size
        self.tombstones[attempt_id].result = AttemptUnknown(
            attempt_id=attempt_id, reason=Reason.RESPONSE_LOST
        )

    def resolve(self, attempt_id: str, permit_id: PermitId) -> Message:
        """Return the strongest true statement about an attempt that has ended."""
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
    """Return the bytes that a kept result counts, or zero if it is always kept."""
    return 0


@result_size.register
def _(result: AttemptCompleted) -> int:
    headers = sum(len(name) + len(value) for name, value in result.headers.items())
    return len(result.body) + headers + 1
