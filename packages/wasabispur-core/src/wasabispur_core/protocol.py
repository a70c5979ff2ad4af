"""Define the messages that the processes of the system exchange.

An entry instance, or entry, is a front-end process that accepts requests and jobs. An
agent runs beside one endpoint or worker. A permit lets an entry start one attempt of a
request at the agent's endpoint. A bundle is a signed version of the settings of
classes and organisations. The jobs of a shard are scheduled by one entry, its owner;
agents reject commands with an older shard_epoch, the fencing token of the owner.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .limit import BODY_LIMIT_BYTES
from .message import Message

FRAME_LIMIT_BYTES = BODY_LIMIT_BYTES + 64 * 1024
"""Maximum encoded message; leaves 64 KiB for the headers besides the body."""


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
    """Probe the stream; the receiver acknowledges with the same sequence.

    clock is in seconds of the sender's clock. A receiver may send it back, but
    can't compare it with its own clock.
    """

    sequence: int
    bundle_version: int
    in_flight: int = 0
    free_slots: int = 0
    clock: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(Message):
    """Acknowledge a heartbeat."""

    sequence: int
    bundle_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SignedBundle:
    """Describe an accepted bundle and the data that verifies it.

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
    """Offer an accepted bundle to a process that may lack it."""

    bundle: SignedBundle


@dataclass(frozen=True, slots=True, kw_only=True)
class BundleInForce(Message):
    """Report which bundle version is in force in the sending process."""

    version: int


# Agent to entry


@dataclass(frozen=True, slots=True, kw_only=True)
class Announce(Message):
    """Register an agent with an entry; the first message on its stream.

    incarnation increases with each start of the agent, memory is in bytes, and
    clock is in seconds of the agent's clock. near is set for the few entries to
    which the agent sends frequent heartbeats.
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
    """Announce a planned stop of the sender, which accepts no new work."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitId:
    """Identify a permit by the agent's incarnation and an increasing number in it."""

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitGranted(Message):
    """Permit one start within lifetime seconds of the agent's clock."""

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
    """Confirm that the attempt did not run and will not run."""

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
    """Confirm that accelerators are reserved for the task."""

    task_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskRefused(Message):
    """Refuse to reserve accelerators for the task."""

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
    """Report that a task exited by itself, with success or failure."""

    task_id: str
    gang_epoch: int
    succeeded: bool
    result: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStopped(Message):
    """Confirm that the task no longer runs."""

    task_id: str
    gang_epoch: int
    reason: Reason
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStatus:
    """Describe one reserved or started task of an agent."""

    task_id: str
    gang_epoch: int
    started: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskInventory(Message):
    """List all reserved and started tasks of the agent for the owner of a shard."""

    shard: str
    shard_epoch: int
    tasks: tuple[TaskStatus, ...]


# Entry to agent


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome(Message):
    """Accept an announced agent; heartbeat_interval is in seconds."""

    entry_id: str
    heartbeat_interval: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPermit(Message):
    """Request a start permit; remaining is the time to the deadline in seconds."""

    attempt_id: str
    request_id: str
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAttempt(Message):
    """Start an attempt with its permit; remaining is the seconds to the deadline."""

    attempt_id: str
    permit_id: PermitId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    remaining: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt(Message):
    """Cancel an attempt: prevent its start, or discard its response."""

    attempt_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveAttempt(Message):
    """Ask for the outcome of an attempt after the loss of its stream."""

    attempt_id: str
    permit_id: PermitId


TASK_LEASE = 15.0
"""Length of a task's lease in seconds; an agent grants no longer one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveTask(Message):
    """Reserve accelerators for a task until lease seconds after the anchor.

    anchor is the clock in the agent's last heartbeat, so that a late message does
    not extend the lease.
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
    """Start a task whose accelerators are reserved."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewTasks(Message):
    """Extend the leases of tasks to lease seconds after the anchor.

    The agent answers with its TaskInventory, and with TaskFinished or TaskStopped
    for each listed task that it no longer has.
    """

    shard: str
    shard_epoch: int
    task_ids: tuple[str, ...]
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask(Message):
    """Stop a task or release its accelerators, after a checkpoint if requested."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    reason: Reason
    checkpoint: bool = False


# Entry to entry


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerHello(Message):
    """Identify an entry; the first message in both directions of a peer stream."""

    entry_id: str
    incarnation: int
    region: str
    data_centre: str
    bundle_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmitted(Message):
    """Notify the shard's owner that a job row was written."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled(Message):
    """Notify the shard's owner that a job row was marked as cancelled."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Describe one process and the bundle version in force in it."""

    member_id: str
    kind: str
    region: str
    data_centre: str
    state: str
    bundle_version: int
    entry_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersDigest(Message):
    """List the members that have a stream to the sending entry.

    epoch increases with each digest of the entry, also across its restarts.
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
