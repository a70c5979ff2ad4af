"""Stand in for an endpoint that counts the runs of each request."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, field
from hashlib import sha256

import cherrypy

from wasabispur.bridge import Bridge
from wasabispur_core.message import Message
from wasabispur_runtime.actor import Actor

from .json_http import error_answer, json_answer
from .stand_in import answer, BODY_LIMIT_BYTES, REPLY_TIMEOUT

RUN_LIMIT = 200_000
"""Runs that are remembered; later ones are only counted."""

DELAY_LIMIT = 60.0
"""Longest delay in seconds that a caller can ask for."""


@dataclass(slots=True, kw_only=True)
class Run:
    """Record one run; times are in seconds since the start of the endpoint."""

    number: int
    method: str
    path: str
    key: str
    digest: str
    started: float
    ended: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginRun(Message):
    """Record that a request began to run."""

    method: str
    path: str
    key: str
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRun(Message):
    """Record that a request ran to its end."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRuns(Message):
    """Ask for the recorded runs under a path."""

    path: str


@dataclass(slots=True)
class EndpointState:
    """Own the record of runs."""

    runs: list[Run] = field(default_factory=list)
    total: int = 0
    running: int = 0
    most_running: int = 0


@dataclass(frozen=True, slots=True)
class RunReport:
    """Hold the recorded runs and the largest number of them at once."""

    runs: list[Run]
    total: int
    most_running: int


@answer.register
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


@answer.register
def _(message: EndRun, state: EndpointState, now: float) -> None:
    state.running -= 1
    if message.number < len(state.runs):
        state.runs[message.number].ended = now


@answer.register
def _(message: ReadRuns, state: EndpointState, now: float) -> RunReport:
    runs = [run for run in state.runs if run.path.startswith(message.path)]
    return RunReport(runs, state.total, state.most_running)


class EndpointRoot:
    """Answer every method and path, and report the runs under /runs.

    A caller may ask for delay_ms, status and size of the answer in the query.
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
        """Return the recorded runs, at most once each if nothing ran twice."""
        message = ReadRuns(path=path)
        report: RunReport = self.bridge.ask(self.record, message, REPLY_TIMEOUT)
        return json_answer(asdict(report))

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Run a request and echo its body."""
        try:
            delay = min(float(query.get("delay_ms", 0)) / 1000, DELAY_LIMIT)
            status = int(query.get("status", 200))
            size = min(int(query.get("size", 0)), BODY_LIMIT_BYTES)
        except ValueError:
            return error_answer(
                400, "BadQuery", "delay_ms, status or size is no number", "correct it"
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
