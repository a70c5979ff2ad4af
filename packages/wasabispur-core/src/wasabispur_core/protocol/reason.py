"""Define the kinds of agents, and why work did not start or finish."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Distinguish agents of an endpoint from agents of a worker."""

    ENDPOINT = "endpoint"
    WORKER = "worker"


class Reason(Enum):
    """Define why an attempt or a task did not start or did not finish."""

    NO_FREE_SLOT = "no free slot"
    NO_ENDPOINT = "no endpoint can take the request"
    STREAM_LOST = "stream to the agent lost before the start"
    AGENT_RESTARTED = "agent restarted after it granted the permit"
    ATTEMPT_FORGOTTEN = "agent no longer remembers the attempt"
    TABLE_UNAVAILABLE = "table service can't take the claim"
    QUEUE_FULL = "queue of the class is full"
    WAIT_TOO_LONG = "expected wait is longer than the deadline"
    ENTRY_LEAVING = "entry is leaving"
    KEY_MISSING = "class needs the Idempotency-Key header"
    KEY_REUSED = "idempotency key was used for another request"
    BUNDLE_UNKNOWN = "entry has yet to learn which bundle is in force"
    UNKNOWN_CLASS = "class is not in the bundle"
    LENGTH_UNDECLARED = "response without a declared length"
    LEAVING = "agent is leaving"
    CORDONED = "data centre is cordoned"
    PERMIT_EXPIRED = "start permit expired"
    PERMIT_UNKNOWN = "start permit unknown"
    CANCELLED = "cancelled before the start"
    NEVER_STARTED = "never started"
    DEADLINE_EXCEEDED = "deadline exceeded"
    CONNECT_FAILED = "connection refused before the request was sent"
    RESPONSE_LOST = "connection lost after the request was sent"
    RESPONSE_TRUNCATED = "response truncated"
    RESPONSE_TOO_LARGE = "response larger than the limit"
    STALE_EPOCH = "command from an older epoch"
    NO_CAPACITY = "not enough free accelerators"
    LEASE_EXPIRED = "lease expired"
    GANG_INCOMPLETE = "another member of the gang is missing"
    TASK_FAILED = "task failed"
    WORKER_UNREACHABLE = "worker unreachable"
    RECLAIMED = "capacity reclaimed by its organisation"
