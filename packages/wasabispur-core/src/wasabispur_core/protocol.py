"""Define the messages that cross between the system's processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .limit import BODY_LIMIT_BYTES
from .message import Message

FRAME_LIMIT_BYTES = BODY_LIMIT_BYTES + 64 * 1024
"""Largest encoded message; headers have to fit beside the body."""


class Role(Enum):
    """Tell what an agent stands beside."""

    ENDPOINT = "endpoint"
    WORKER = "worker"


class Reason(Enum):
    """Tell why an attempt or a task did not start or did not finish."""

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
    UNKNOWN_CLASS = "class is not in the bundle"
    LENGTH_UNDECLARED = "response without a declared length"
    LEAVING = "agent is leaving"
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


# Both directions


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Probe the stream; the other side answers with the same sequence.

    The clock is the sender's; only the sender compares it with anything.
    """

    sequence: int
    bundle_version: int
    in_flight: int = 0
    free_slots: int = 0
    clock: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(Message):
    """Answer a heartbeat."""

    sequence: int
    bundle_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SignedBundle:
    """Hold an accepted bundle with what is needed to verify it.

    The signature is Ed25519 over the bytes of signature_payload() in bundle.py.
    """

    version: int
    content: str
    digest: str
    change_id: str
    proposer: str
    signer: str
    signature: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferBundle(Message):
    """Offer an accepted bundle to a process that may not have it yet."""

    bundle: SignedBundle


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleInForce(Message):
    """Report which bundle version is in force in the sending process."""

    version: int


# Agent to entry


@dataclass(frozen=True, slots=True, kw_only=True)
class Announce(Message):
    """Introduce an agent; the first message on its stream.

    The incarnation grows with each start of the agent. Memory is in bytes. A near
    entry is one of the few that the agent sends frequent heartbeats to.
    """

    agent_id: str
    incarnation: int
    role: Role
    region: str
    data_centre: str
    rack: str
    service: str = ""
    slots: int = 0
    accelerators: int = 0
    cores: int = 0
    memory: int = 0
    bundle_version: int = 0
    near: bool = True
    clock: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """Announce a planned stop; no new work may be sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitId:
    """Name one permit by the agent's incarnation and a number that grows in it."""

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitGranted(Message):
    """Allow one start within lifetime seconds of the agent's clock."""

    attempt_id: str
    permit_id: PermitId
    lifetime: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitRefused(Message):
    """Refuse a start; the attempt did not run."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptCompleted(Message):
    """Deliver the endpoint's complete response."""

    attempt_id: str
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNotRun(Message):
    """Prove that the attempt did not run and never will."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptUnknown(Message):
    """Report that the attempt may or may not have run."""

    attempt_id: str
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRunning(Message):
    """Report that the attempt is still running; answers ResolveAttempt."""

    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskReserved(Message):
    """Confirm that accelerators are held for the task."""

    task_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskRefused(Message):
    """Refuse to hold accelerators for the task."""

    task_id: str
    gang_epoch: int
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStarted(Message):
    """Report that the worker runs the task."""

    task_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskFinished(Message):
    """Report the end of a task that ran to its own end."""

    task_id: str
    gang_epoch: int
    succeeded: bool
    result: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStopped(Message):
    """Prove that the task does not run any more."""

    task_id: str
    gang_epoch: int
    reason: Reason
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStatus:
    """Describe one task that an agent holds."""

    task_id: str
    gang_epoch: int
    started: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskInventory(Message):
    """List every task that the agent holds, after it attached to an entry."""

    shard: str
    shard_epoch: int
    tasks: tuple[TaskStatus, ...]


# Entry to agent


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome(Message):
    """Accept an announced agent; interval is in seconds."""

    entry_id: str
    heartbeat_interval: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPermit(Message):
    """Ask for a start permit; remaining is the time to the deadline in seconds."""

    attempt_id: str
    request_id: str
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAttempt(Message):
    """Start an attempt under a permit; remaining is in seconds."""

    attempt_id: str
    permit_id: PermitId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt(Message):
    """Give up an attempt: prevent its start, or drop its response."""

    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveAttempt(Message):
    """Ask how an attempt ended after the stream that carried it was lost."""

    attempt_id: str
    permit_id: PermitId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveTask(Message):
    """Hold accelerators for a task until lease seconds after the anchor.

    The anchor is the clock in the agent's last heartbeat, so that a message that
    arrives late gives no longer lease.
    """

    task_id: str
    job_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    accelerators: int
    command: str
    lease: float
    anchor: float
    accelerator_ids: tuple[int, ...] = ()
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask(Message):
    """Start a task whose accelerators are held."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewTasks(Message):
    """Extend the leases of tasks to lease seconds after the anchor.

    The agent answers with its TaskInventory and with the end of each named task
    that it does not hold.
    """

    shard: str
    shard_epoch: int
    task_ids: tuple[str, ...]
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask(Message):
    """Stop a task or release its accelerators, after a checkpoint if asked."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    reason: Reason
    checkpoint: bool = False


# Entry to entry


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerHello(Message):
    """Introduce an entry; the first message in both directions of a peer stream."""

    entry_id: str
    incarnation: int
    region: str
    data_centre: str
    bundle_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmitted(Message):
    """Tell the shard's owner that a job row was written."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled(Message):
    """Tell the shard's owner that a job row was marked as cancelled."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Describe one process and the bundle version in force there."""

    member_id: str
    kind: str
    region: str
    data_centre: str
    state: str
    bundle_version: int
    entry_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersDigest(Message):
    """Give a peer the members with a stream to the sending entry.

    The epoch grows with each digest of the entry, also across its restarts.
    """

    entry_id: str
    epoch: int = 0
    members: tuple[MemberStatus, ...] = field(default=())


AGENT_TO_ENTRY: tuple[type[Message], ...] = (
    Announce,
    Heartbeat,
    Leaving,
    BundleInForce,
    OfferBundle,
    PermitGranted,
    PermitRefused,
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    AttemptRunning,
    TaskReserved,
    TaskRefused,
    TaskStarted,
    TaskFinished,
    TaskStopped,
    TaskInventory,
)

ENTRY_TO_AGENT: tuple[type[Message], ...] = (
    Welcome,
    HeartbeatAck,
    OfferBundle,
    RequestPermit,
    StartAttempt,
    CancelAttempt,
    ResolveAttempt,
    ReserveTask,
    StartTask,
    RenewTasks,
    StopTask,
)

ENTRY_TO_ENTRY: tuple[type[Message], ...] = (
    PeerHello,
    Heartbeat,
    HeartbeatAck,
    Leaving,
    OfferBundle,
    BundleInForce,
    JobSubmitted,
    JobCancelled,
    MembersDigest,
)
