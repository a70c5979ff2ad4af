"""Catalogue the numbered log events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Describe one kind of log record.

    The level is one of loguru's; the text may name fields in braces.
    """

    number: int
    level: str
    text: str


# 1xx processes, 2xx streams and members, 3xx requests, 4xx jobs,
# 5xx bundles, 6xx platform clients
PROCESS_STARTED = LogEvent(101, "INFO", "process {process} started")
PROCESS_DRAINING = LogEvent(102, "INFO", "process {process} is draining")
PROCESS_STOPPED = LogEvent(103, "INFO", "process {process} stopped")
HANDLER_FAILED = LogEvent(104, "ERROR", "{actor} failed on {message_name}: {error}")
MESSAGE_REJECTED = LogEvent(105, "WARNING", "{actor} rejected {message_name}: {error}")
MAILBOX_FULL = LogEvent(
    106, "ERROR", "mailbox of {actor} is full; dropped {message_name}"
)
HTTP_FAILED = LogEvent(107, "ERROR", "request for {path} failed: {error}")
AGENT_ATTACHED = LogEvent(201, "INFO", "agent {agent} attached")
AGENT_DETACHED = LogEvent(202, "WARNING", "agent {agent} detached: {reason}")
STREAM_SILENT = LogEvent(203, "WARNING", "stream to {peer} is silent; closing it")
STREAM_OPENED = LogEvent(204, "INFO", "stream to {peer} opened")
STREAM_FAILED = LogEvent(205, "WARNING", "stream to {peer} failed: {reason}")
MESSAGE_MALFORMED = LogEvent(206, "WARNING", "malformed message from {peer}: {error}")
AGENT_LEAVING = LogEvent(207, "INFO", "agent {agent} is leaving")
SESSIONS_FULL = LogEvent(
    221, "ERROR", "refused a stream: {limit} agents are attached already"
)
AGENT_DUPLICATE = LogEvent(
    222, "ERROR", "refused a second process that announced itself as {agent}"
)
CONNECTIONS_FULL = LogEvent(
    223, "ERROR", "refused a connection: {limit} are open already"
)
CONNECTION_UNUSED = LogEvent(
    224, "WARNING", "closed a connection on which no stream was opened"
)
REQUEST_RECEIVED = LogEvent(301, "DEBUG", "request {request} received")
REQUEST_ANSWERED = LogEvent(302, "INFO", "request {request} ended as {outcome}")
ATTEMPT_STARTED = LogEvent(303, "DEBUG", "attempt {attempt} started")
ATTEMPT_ENDED = LogEvent(304, "DEBUG", "attempt {attempt} ended: {result}")
JOB_ROW_MALFORMED = LogEvent(401, "ERROR", "job row {key} can't be used: {error}")
SHARD_OWNED = LogEvent(402, "INFO", "this entry owns shard {shard} in epoch {epoch}")
SHARD_GIVEN_UP = LogEvent(403, "WARNING", "another entry owns shard {shard}")
TASK_STARTED = LogEvent(404, "INFO", "task {task} started")
TASK_ENDED = LogEvent(405, "INFO", "task {task} ended: {result}")
WORKER_FAILED = LogEvent(406, "WARNING", "the worker failed on {path}: {error}")
GUARANTEE_LOST = LogEvent(
    407, "ERROR", "guaranteed shape {shape} of {organisation} can't be met"
)
GUARANTEE_MET = LogEvent(
    408, "INFO", "guaranteed shape {shape} of {organisation} can be met again"
)

STORE_DOWN = LogEvent(601, "ERROR", "{store} gets no answers; calls are held back")
STORE_ANSWERS = LogEvent(602, "INFO", "{store} gets answers again")
RESULT_UNDELIVERED = LogEvent(603, "ERROR", "{store} can't deliver {result}: {error}")


def catalogue() -> dict[int, LogEvent]:
    """Return all log events by number."""
    events = [value for value in globals().values() if isinstance(value, LogEvent)]
    return {event.number: event for event in sorted(events, key=lambda e: e.number)}
