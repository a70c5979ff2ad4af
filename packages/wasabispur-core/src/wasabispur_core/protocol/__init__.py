"""Define the messages that the processes of the system exchange.

An entry instance, or entry, is a front-end process that accepts requests and jobs. An
agent runs beside one endpoint or worker. A permit lets an entry start one attempt of a
request at the agent's endpoint. A bundle is a signed version of the settings of
classes and organisations. The jobs of a shard are scheduled by one entry, its owner;
agents reject commands with an older shard_epoch, the fencing token of the owner.
"""

from __future__ import annotations

from ..limit import BODY_LIMIT_BYTES
from ..message import Message
from .attempt import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptRunning,
    AttemptUnknown,
    CancelAttempt,
    PermitGranted,
    PermitId,
    PermitRefused,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)
from .bundle import BundleInForce, OfferBundle, SignedBundle
from .heartbeat import Heartbeat, HeartbeatAck
from .membership import (
    Announce,
    Leaving,
    MembersDigest,
    MemberStatus,
    PeerHello,
    Welcome,
)
from .reason import Reason, Role
from .task import (
    JobCancelled,
    JobSubmitted,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
    TASK_LEASE,
    TaskFinished,
    TaskInventory,
    TaskRefused,
    TaskReserved,
    TaskStarted,
    TaskStatus,
    TaskStopped,
)

__all__ = [
    "AGENT_TO_ENTRY",
    "Announce",
    "AttemptCompleted",
    "AttemptNotRun",
    "AttemptRunning",
    "AttemptUnknown",
    "BundleInForce",
    "CancelAttempt",
    "ENTRY_TO_AGENT",
    "ENTRY_TO_ENTRY",
    "FRAME_LIMIT_BYTES",
    "Heartbeat",
    "HeartbeatAck",
    "JobCancelled",
    "JobSubmitted",
    "Leaving",
    "MemberStatus",
    "MembersDigest",
    "OfferBundle",
    "PeerHello",
    "PermitGranted",
    "PermitId",
    "PermitRefused",
    "Reason",
    "RenewTasks",
    "RequestPermit",
    "ReserveTask",
    "ResolveAttempt",
    "Role",
    "SignedBundle",
    "StartAttempt",
    "StartTask",
    "StopTask",
    "TASK_LEASE",
    "TaskFinished",
    "TaskInventory",
    "TaskRefused",
    "TaskReserved",
    "TaskStarted",
    "TaskStatus",
    "TaskStopped",
    "Welcome",
]

FRAME_LIMIT_BYTES = BODY_LIMIT_BYTES + 64 * 1024
"""Maximum encoded message; leaves 64 KiB for the headers besides the body."""

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
