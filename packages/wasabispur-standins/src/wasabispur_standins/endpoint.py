"""Run an endpoint stand-in, a development tool that records runs of requests."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, field
from hashlib import sha256

import cherrypy

from wasabispur.bridge import Bridge
from wasabispur_core.message import Message
from wasabispur_runtime.actor import Actor

from .json_http import error_answer, json_answer
from .stand_in import BODY_LIMIT_BYTES, handle, REPLY_TIMEOUT

RUN_LIMIT = 200_000
"""Maximum number of recorded runs; later runs are only counted."""

DELAY_LIMIT = 60.0
"""Upper limit in seconds of the delay that a caller requests."""


@dataclass(slots=True, kw_only=True)
class Run:
    """Record one run of a request.

    Times are in seconds since the start of the endpoint; ended is None while the run
    is in progress. Key is the idempotency key, digest the SHA-256 of the body.
    """

    number: int
    method: str
    path: str
    key: str
    digest: str
    started: float
    ended: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginRun(Message):
    """Report the start of a run; the reply is the number of the run."""

    method: str
    path: str
    key: str
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRun(Message):
    """Report the end of a run."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRuns(Message):
    """Request the recorded runs whose path starts with a prefix."""

    path: str


@dataclass(slots=True)
class EndpointState:
    """Represent the recorded runs and the counts of all and of running requests."""

    runs: list[Run] = field(default_factory=list)
    total: int = 0
    running: int = 0
    most_running: int = 0


@dataclass(frozen=True, slots=True)
class RunReport:
    """Describe recorded runs, the count of all runs and the peak of running ones."""

    runs: list[Run]
    total: int
    most_running: int


@handle.register
def _(message: BeginRun, state: EndpointState, now: float) -> int:
    number = state.total
    state.total += 1
    state.running += 1
    state.most_running = max(state.most_running, state.running)
    if number < RUN_LIMIT:
        run = Run(
            number=number,
            method=message.method,
            path=message.path,
            key=message.key,
            digest=message.digest,
            started=now,
        )
        state.runs.append(run)
    return number


@handle.register
def _(message: EndRun, state: EndpointState, now: float) -> None:
    state.running -= 1
    if message.number < len(state.runs):
        state.runs[message.number].ended = now


@handle.register
def _(message: ReadRuns, state: EndpointState, now: float) -> RunReport:
    runs = [run for run in state.runs if run.path.startswith(message.path)]
    return RunReport(runs, state.total, state.most_running)


class EndpointRoot:
    """Serve every method and path, and report the runs under /runs.

    The query parameters delay_ms, status and size set the delay, the status and the
    body size of the response.
    """

    def __init__(self, bridge: Bridge, record: Actor) -> None:
        self.bridge = bridge
        self.record = record

    @cherrypy.expose
    def index(self, **query: str) -> bytes:
        """Run a request for the root path."""
        body: bytes = self.default(**query)
        return body

    @cherrypy.expose
    def runs(self, path: str = "") -> bytes:
        """Return the recorded runs whose path starts with the given path, as JSON."""
        message = ReadRuns(path=path)
        report: RunReport = self.bridge.ask(self.record, message, REPLY_TIMEOUT)
        return json_answer(asdict(report))

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Run a request and return its body, or size bytes of filler."""
        try:
            delay = min(float(query.get("delay_ms", 0)) / 1000, DELAY_LIMIT)
            status = int(query.get("status", 200))
            size = min(int(query.get("size", 0)), BODY_LIMIT_BYTES)
        except ValueError:
            return error_answer(
                400, "BadQuery", "delay_ms, status or size is no number", "send numbers"
            )
        body: bytes = cherrypy.request.rfile.read(BODY_LIMIT_BYTES)
        number = self.begin("/" + "/".join(path), body)
        time.sleep(max(delay, 0.0))
        self.bridge.ask(self.record, EndRun(number=number), REPLY_TIMEOUT)
        cherrypy.response.headers["Endpoint-Run"] = str(number)
        cherrypy.response.status = status
        if size:
            return b"x" * size
        content_type = cherrypy.request.headers.get("Content-Type", "text/plain")
        cherrypy.response.headers["Content-Type"] = content_type
        return body

    def begin(self, path: str, body: bytes) -> int:
        """Record the start of a run and return its number."""
        begin = BeginRun(
            method=cherrypy.request.method,
            path=path,
            key=cherrypy.request.headers.get("Idempotency-Key", ""),
            digest=sha256(body).hexdigest(),
        )
        number: int = self.bridge.ask(self.record, begin, REPLY_TIMEOUT)
        return number
