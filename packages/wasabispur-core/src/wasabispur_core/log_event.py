"""Catalogue the numbered log events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Describe one kind of log record.

    level is a level name of loguru, and text is a format string of the fields.
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
RECORDS_DROPPED = LogEvent(108, "WARNING", "{count} log records were dropped: {reason}")
SETTINGS_RELOADED = LogEvent(109, "INFO", "settings reloaded: {changes}")
SETTINGS_REFUSED = LogEvent(
    110, "ERROR", "changed settings rejected; the old ones stay in effect: {error}"
)
LOOP_STALLED = LogEvent(
    111, "WARNING", "the event loop served no message for {seconds} s"
)
HTTP_REFUSED = LogEvent(
    120,
    "WARNING",
    "HTTP server {server} refused or closed {count} requests or connections: {cause}",
)
HTTP_REQUEST_FAILED = LogEvent(107, "ERROR", "request for {path} failed: {error}")
AGENT_ATTACHED = LogEvent(201, "INFO", "agent {agent} attached")
AGENT_DETACHED = LogEvent(202, "WARNING", "agent {agent} detached: {reason}")
STREAM_SILENT = LogEvent(
    203, "WARNING", "no messages on the stream to {peer}; closing it"
)
STREAM_OPENED = LogEvent(204, "INFO", "stream to {peer} opened")
STREAM_FAILED = LogEvent(205, "WARNING", "stream to {peer} failed: {reason}")
MESSAGE_MALFORMED = LogEvent(206, "WARNING", "malformed message from {peer}: {error}")
AGENT_LEAVING = LogEvent(207, "INFO", "agent {agent} is leaving")
ENTRY_ROW_REFUSED = LogEvent(208, "WARNING", "entry row {key} is invalid: {error}")
PEER_CONNECTED = LogEvent(210, "INFO", "peer {entry} connected")
PEER_LOST = LogEvent(211, "WARNING", "peer {entry} lost: {reason}")
MESSAGE_UNROUTED = LogEvent(212, "WARNING", "no handler for {message_name} from {peer}")
SESSIONS_FULL = LogEvent(
    221, "ERROR", "refused an agent's stream: {limit} agents are already attached"
)
AGENT_DUPLICATE = LogEvent(
    222, "ERROR", "refused a second process with the agent id {agent}"
)
CONNECTIONS_FULL = LogEvent(
    223, "ERROR", "refused a connection: {limit} connections are already open"
)
CONNECTION_UNUSED = LogEvent(224, "WARNING", "closed a connection without a stream")
STREAMS_FULL = LogEvent(
    225, "ERROR", "closed a connection with more than {limit} streams"
)
REQUEST_RECEIVED = LogEvent(301, "DEBUG", "request {request} received")
REQUEST_ANSWERED = LogEvent(302, "INFO", "request {request} ended as {outcome}")
ATTEMPT_STARTED = LogEvent(303, "DEBUG", "attempt {attempt} started")
ATTEMPT_ENDED = LogEvent(304, "DEBUG", "attempt {attempt} ended: {result}")
JOB_ROW_MALFORMED = LogEvent(401, "ERROR", "job row {key} is invalid: {error}")
SHARD_OWNED = LogEvent(402, "INFO", "this entry owns shard {shard} in epoch {epoch}")
SHARD_OWNERSHIP_LOST = LogEvent(
    403, "WARNING", "this entry no longer owns shard {shard}"
)
TASK_STARTED = LogEvent(404, "INFO", "task {task} started")
TASK_ENDED = LogEvent(405, "INFO", "task {task} ended: {result}")
WORKER_FAILED = LogEvent(406, "WARNING", "call of {path} at the worker failed: {error}")
GUARANTEE_LOST = LogEvent(
    407, "ERROR", "guaranteed shape {shape} of {organisation} can't be met"
)
GUARANTEE_MET = LogEvent(
    408, "INFO", "guaranteed shape {shape} of {organisation} can be met again"
)
SCHEDULER_FAILED = LogEvent(
    409, "ERROR", "the scheduler failed on {message_name}: {error}"
)
SCHEDULER_RELOADED = LogEvent(
    410, "WARNING", "the scheduler of shard {shard} reads all rows again"
)
SHARD_CLAIMED = LogEvent(
    411,
    "INFO",
    "claiming shard {shard} in epoch {epoch}; the row of owner {former} has been"
    " unchanged for {unchanged} s",
)
TAKEOVER_STEP = LogEvent(
    412,
    "INFO",
    "takeover in epoch {epoch}: {step} is known with {rows} rows {age} s after the"
    " claim, {since_step} s after the step before",
)
TAKEOVER_PENDING = LogEvent(
    413,
    "WARNING",
    "takeover in epoch {epoch}: {age} s after the claim {loading} have yet to be read",
)
FIRST_PLANNING_PASS = LogEvent(
    414,
    "INFO",
    "takeover in epoch {epoch}: the first planning pass begins {age} s after the claim,"
    " {waiting} units wait",
)
SHARD_ROW_REJECTED = LogEvent(
    415,
    "ERROR",
    "the store rejects {key} by itself, so no other row is at fault: {reason};"
    " {waiting} rows wait, the lease ends in {lease_left} s",
)
PLANNING_HELD_BACK = LogEvent(
    416,
    "INFO",
    "a planning pass in epoch {epoch} waits for the store's next confirmation: the lease"
    " of the shard ended {over} s ago",
)

JOB_ACCEPTED = LogEvent(420, "INFO", "job {job} of {organisation} accepted")
JOB_REFUSED = LogEvent(421, "INFO", "job {job} of {organisation} refused: {reason}")
JOB_UNCERTAIN = LogEvent(
    422, "WARNING", "acceptance of job {job} is uncertain: {reason}"
)
CANCELLATION_ANSWERED = LogEvent(423, "INFO", "cancellation of job {job}: {result}")
CALL_UNANSWERED = LogEvent(
    437, "INFO", "{request} on queue {queue} not served: {reason}"
)
JOB_READ_BY_OWNER = LogEvent(
    424, "INFO", "the owning entry read job {job} {age} s after its acceptance"
)
CANCELLATION_READ_BY_OWNER = LogEvent(
    425, "INFO", "the owning entry read the cancellation of job {job}"
)
TOMBSTONE_READ = LogEvent(
    417,
    "INFO",
    "the owning entry read the cancellation of the unknown job {job}; {kept} are kept",
)
TOMBSTONE_REMOVED = LogEvent(
    418, "INFO", "the cancellation of the unknown job {job} is gone; {kept} are kept"
)
UNIT_PLACED = LogEvent(
    426, "INFO", "run {run} of {job}.{unit} placed on {workers} after {waited} s"
)
UNIT_PREEMPTED = LogEvent(
    427, "INFO", "preempting run {run} of {job}.{unit} for {beneficiary}"
)
UNIT_EVACUATED = LogEvent(
    434,
    "INFO",
    "evacuating run {run} of {job}.{unit}: its worker leaves in {leaves_in} s",
)
UNIT_MOVED = LogEvent(
    435, "INFO", "relocating run {run} of {job}.{unit}: no progress for {stalled} s"
)
UNIT_WAITING = LogEvent(
    438,
    "INFO",
    "{job}.{unit} has waited {waited} s: {reason} on {hosts} workers, {fitting} of"
    " {tasks} tasks fit on any; up to {loss_limit} may be lost for it",
)
UNIT_GIVEN_UP = LogEvent(
    439, "WARNING", "{job}.{unit} is given up: {crashes} workers crashed under a task"
)
RUN_ENDED = LogEvent(428, "INFO", "run {run} of {task} on {worker} ended: {how}")
JOB_ENDED = LogEvent(429, "INFO", "job {job} ended as {state} after {took} s")
WORKER_STATE_READ = LogEvent(430, "INFO", "worker {worker} ({incarnation}) is {state}")
WORKER_LOST = LogEvent(
    431, "WARNING", "removed worker {worker} {silent} s after its last report"
)
WORKER_SUSPECTED = LogEvent(
    432, "WARNING", "worker {worker} failed {failures} consecutive runs"
)
WORKER_STALLED = LogEvent(
    436, "WARNING", "runs on worker {worker} made no progress for {stalled} s"
)
FLEET_LOADED = LogEvent(
    433,
    "INFO",
    "the owning entry loaded {jobs} jobs and {workers} workers in epoch {epoch}",
)
RUN_ORDERED = LogEvent(440, "INFO", "agent starts run {run} of {task} on {worker}")
RUN_STOP_ORDERED = LogEvent(441, "INFO", "agent stops run {run} of {task} on {worker}")
RUN_REFUSED = LogEvent(
    442, "WARNING", "run {run} of {task} was refused on {worker}: {reason}"
)
RUN_CONCLUDED = LogEvent(
    443, "INFO", "worker {worker} lists run {run} of {task} as {how}"
)
WORKER_UNREACHABLE = LogEvent(
    444, "WARNING", "worker {worker} is unreachable: {reason}"
)
WORKER_REACHABLE = LogEvent(445, "INFO", "worker {worker} is reachable again")
WORKER_ANNOUNCED = LogEvent(
    446, "INFO", "worker {worker} ({incarnation}) announced itself as {state}"
)
REPORT_FAILED = LogEvent(
    447, "WARNING", "report of worker {worker} was not written: {reason}"
)
JOB_HELD = LogEvent(
    455,
    "ERROR",
    "job {job} is held, as its progress is unreadable; upgrade this process, or cancel",
)
JOB_NOT_STORED = LogEvent(
    456, "ERROR", "job {job} has failed, as row {key} can't be stored: {reason}"
)
ROW_LEFT_OUT = LogEvent(457, "ERROR", "row {key} can't be stored: {reason}")
CHECKPOINT_REFUSED = LogEvent(
    458, "ERROR", "a checkpoint of {task} has {size} bytes; its work is not saved"
)
REPORT_IGNORED = LogEvent(
    454,
    "WARNING",
    "ignored a report on worker {worker} as {incarnation}; {known} is known",
)
RUNS_ABANDONED = LogEvent(
    448, "WARNING", "no ordered run can be on worker {worker} any more: {reason}"
)
POLICY_IN_FORCE = LogEvent(
    450, "INFO", "configuration {version} is in force with {queues} queues"
)
UNITS_LISTED = LogEvent(
    460,
    "INFO",
    "units: {running} run, {offered} wait for room, {changed} for the next pass,"
    " {backoff} after a refusal, {unknown_end} for an end, {no_terms} for a queue,"
    " {held} jobs are held, {not_created} not created, {unlisted} in no list",
)
CAPACITY_ALLOCATED = LogEvent(
    461,
    "INFO",
    "capacity of {service}: {capacity}; allocated {allocated}; unused {unused};"
    " reserved {reserved}",
)
CORDON_REQUESTED = LogEvent(
    470,
    "INFO",
    "data centre {data_centre} with {workers} workers and {runs} runs is cordoned; read"
    " {age} s ago",
)
CORDON_IN_FORCE = LogEvent(
    471,
    "INFO",
    "the cordon of {data_centre} is shown by all agents that report, {age} s after it"
    " was read; {workers} workers, {runs} active runs",
)
CORDON_WITHDRAWN = LogEvent(
    472, "INFO", "the cordon of {data_centre} is withdrawn after {age} s"
)
CORDON_RUNS = LogEvent(
    473, "INFO", "{runs} runs are active in the cordoned data centre {data_centre}"
)
CORDONS_READ = LogEvent(474, "INFO", "cordoned data centres: {data_centres}")
CORDONS_UNREAD = LogEvent(
    475,
    "WARNING",
    "the operators' rows could not be read for {seconds} s; runs are started as ordered",
)
ORDER_WITHDRAWN = LogEvent(
    476,
    "INFO",
    "withdrawing run {run} of {job}.{unit}, not started on cordoned worker {worker}",
)
WORKER_HEALTH_ANSWERED = LogEvent(
    480, "INFO", "worker {worker} answers health checks as {answer} ({changes} changes)"
)
WORKER_TRUST_CHANGED = LogEvent(
    481,
    "INFO",
    "trust in worker {worker} is {trust}: answers as {answer}, {strikes} faults,"
    " {failed_units} failed units, {downs} times down",
)
HEALTH_SIGNAL_DISREGARDED = LogEvent(
    482,
    "WARNING",
    "{down} of {workers} workers of {service} look down; their health is disregarded",
)
HEALTH_SIGNAL_USED = LogEvent(
    483,
    "INFO",
    "{down} of {workers} workers of {service} look down; their health counts again",
)
HEALTH_ANSWERS_COUNTED = LogEvent(
    484,
    "INFO",
    "workers by health: {healthy} healthy, {unhealthy} unhealthy, {unanswered} without"
    " an answer, {unknown} unknown, {doubtful} doubtful",
)
BUNDLE_CORDON_BEGUN = LogEvent(
    485,
    "INFO",
    "the bundle in force cordons {data_centre}: no task is started there from now on",
)
BUNDLE_CORDON_ENDED = LogEvent(
    486, "INFO", "the bundle in force no longer cordons {data_centre}"
)
SHARES_COMPARED = LogEvent(
    499,
    "INFO",
    "{organisation} uses the most of its fair share at priority {priority}: {ratio} times",
)
LOAD_KNOWN = LogEvent(
    487, "INFO", "load {sequence} of owner {epoch} is known, written {age} s ago"
)
LOAD_OUTDATED = LogEvent(
    488,
    "INFO",
    "load {sequence} of owner {epoch}, written {age} s ago, rejects no more jobs",
)
LOAD_UNREADABLE = LogEvent(489, "WARNING", "the load is not known: {error}")
STOP_ACCOUNTED = LogEvent(
    495,
    "INFO",
    "stop of run {run} of {job}.{unit} ({cause}) wasted {wasted} core-seconds, {lost} of"
    " them lost work; estimated {estimated}",
)
EVICTION_ACCOUNTED = LogEvent(
    496,
    "INFO",
    "{victims} stops for {job}.{unit} wasted {wasted} core-seconds, and its room was"
    " idle for {idle}; estimated {estimated}; waited {waited} s",
)
ROW_REFUSED = LogEvent(451, "ERROR", "row {key} is invalid: {error}")
CALL_REFUSED = LogEvent(452, "INFO", "{method} {path} refused: {reason}")
ANNOUNCEMENT_MALFORMED = LogEvent(453, "WARNING", "malformed announcement: {error}")
RUN_TIMES_READ = LogEvent(
    490, "INFO", "read the run times of {runs} steps in {groups} groups"
)
WORKER_SPEED_CHANGED = LogEvent(
    491,
    "INFO",
    "runs on worker {worker} take {factor} times as long as on a typical one, by"
    " {samples} samples; {slow} workers are slow",
)
WORKER_SPEEDS_READ = LogEvent(
    492, "INFO", "read the speeds of {workers} workers, {slow} of them slow"
)

BUNDLE_IN_FORCE = LogEvent(
    501, "INFO", "bundle version {version}, signed off by {signer}, is in force"
)
BUNDLE_REFUSED = LogEvent(502, "ERROR", "bundle version {version} rejected: {reason}")
BUNDLE_ROW_REFUSED = LogEvent(503, "ERROR", "bundle row {key} is invalid: {error}")
BUNDLE_OPERATION_ENDED = LogEvent(504, "INFO", "bundle operation {operation} ended")
BUNDLE_OPERATION_FAILED = LogEvent(
    505, "WARNING", "bundle operation {operation} failed: {error}"
)
STORE_UNAVAILABLE = LogEvent(
    601, "ERROR", "{store} is unavailable; its circuit breaker is open"
)
FEED_LOST = LogEvent(604, "WARNING", "feed of {table} interrupted: {reason}")
FEED_STALE = LogEvent(
    607, "WARNING", "feed of {table} has had no answer for {seconds} s: {reason}"
)
FEED_CALL_ABANDONED = LogEvent(
    608, "ERROR", "a call of the feed of {table} did not end within {seconds} s"
)
TABLE_READ = LogEvent(605, "INFO", "read {rows} rows of {table} at version {version}")
FEED_HISTORY_GONE = LogEvent(
    606, "WARNING", "changes of {table} were missed; reading the whole table"
)
STORE_AVAILABLE = LogEvent(602, "INFO", "{store} is available again")
RESULT_UNDELIVERED = LogEvent(
    603, "ERROR", "{store} could not deliver {result}: {error}"
)


def catalogue() -> dict[int, LogEvent]:
    """Return all log events by number."""
    events = [value for value in globals().values() if isinstance(value, LogEvent)]
    return {event.number: event for event in sorted(events, key=lambda e: e.number)}
