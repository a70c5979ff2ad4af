"""Serve the HTTP interface of the worker stand-in, a development tool."""

from __future__ import annotations

from dataclasses import asdict
from typing import Annotated, Any

import cherrypy
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabispur.bridge import Bridge
from wasabispur.http_error import BadRequestError, http_status, NotFoundError
from wasabispur.http_request import read_model
from wasabispur_core.message import Message
from wasabispur_runtime.actor import Actor

from .json_http import json_answer, method_not_allowed
from .stand_in import REPLY_TIMEOUT
from .worker_message import (
    CheckpointCall,
    ReadStarts,
    ReadTask,
    ReadTasks,
    ReadUsage,
    RenewCall,
    StartTaskCall,
    StopCall,
    TaskCommand,
    ThrottleCall,
)
from .worker_state import NoCapacityError, TaskConflictError, UnknownTaskError

LEASE_LIMIT = 3600.0
"""Longest lease in seconds."""

Lease = Annotated[float, Field(gt=0, le=LEASE_LIMIT)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class StartBody(_Body):
    """Validate the body of a start; lease is in seconds, memory in bytes.

    lease_end is a time on the worker's clock.
    """

    task_id: Annotated[str, Field(min_length=1, max_length=128)]
    accelerators: Annotated[int, Field(ge=0)] = 0
    cores: Annotated[int, Field(ge=0)] = 0
    memory: Annotated[int, Field(ge=0)] = 0
    command: Annotated[str, Field(max_length=64 * 1024)] = "{}"
    lease: Lease
    lease_end: float | None = None
    checkpoint: str = ""

    def call(self) -> StartTaskCall:
        """Return the message for the start; raise BadRequestError for a bad command."""
        try:
            command = TaskCommand.model_validate_json(self.command)
        except ValidationError as error:
            raise BadRequestError(
                f"command is not valid: {error.errors(include_url=False)[0]['msg']}",
                'send a JSON text such as {"run_time": 1.5, "result": "..."}',
            ) from error
        return StartTaskCall(
            task_id=self.task_id,
            accelerators=self.accelerators,
            command=command,
            lease=self.lease,
            lease_end=self.lease_end,
            checkpoint=self.checkpoint,
        )


class RenewBody(_Body):
    """Validate the body of a renewal; lease is in seconds.

    lease_end is a time on the worker's clock.
    """

    lease: Lease
    lease_end: float | None = None


class ThrottleBody(_Body):
    """Validate the body of a throttle call; share is relative to full speed."""

    share: Annotated[float, Field(ge=0, le=1)]


@http_status.register
def _(error: UnknownTaskError) -> int:
    return 404


@http_status.register
def _(error: TaskConflictError) -> int:
    return 409


@http_status.register
def _(error: NoCapacityError) -> int:
    return 409


class TasksResource:
    """Serve /v1/tasks."""

    def __init__(self, bridge: Bridge, tasks: Actor) -> None:
        self.bridge = bridge
        self.tasks = tasks

    def ask(self, message: Message) -> Any:
        """Send a message to the actor with the tasks and return its reply."""
        return self.bridge.ask(self.tasks, message, REPLY_TIMEOUT)

    @cherrypy.expose
    def index(self) -> bytes:
        """Start a task with POST, or list all tasks with GET."""
        if cherrypy.request.method == "POST":
            return json_answer(asdict(self.ask(read_model(StartBody).call())))
        if cherrypy.request.method == "GET":
            return json_answer(asdict(self.ask(ReadTasks())))
        return method_not_allowed()

    @cherrypy.expose
    def default(self, task_id: str, command: str = "") -> bytes:
        """Return a task with GET, or apply a command to it with POST."""
        method = cherrypy.request.method
        if not command and method == "GET":
            return json_answer(asdict(self.ask(ReadTask(task_id=task_id))))
        if method != "POST":
            return method_not_allowed()
        return json_answer(asdict(self.ask(read_command(task_id, command))))


def read_command(task_id: str, command: str) -> Message:
    """Return the message for a command on a task; raise NotFoundError if unknown."""
    match command:
        case "renew":
            body = read_model(RenewBody)
            return RenewCall(
                task_id=task_id, lease=body.lease, lease_end=body.lease_end
            )
        case "throttle":
            return ThrottleCall(task_id=task_id, share=read_model(ThrottleBody).share)
        case "checkpoint":
            return CheckpointCall(task_id=task_id)
        case "stop":
            return StopCall(task_id=task_id)
        case _:
            raise NotFoundError(
                f"{command!r} is not a task command",
                "use renew, checkpoint, throttle or stop",
            )


class WorkerApiV1:
    """Route the paths under /v1."""

    def __init__(self, bridge: Bridge, tasks: Actor) -> None:
        self.tasks = TasksResource(bridge, tasks)

    @cherrypy.expose
    def usage(self) -> bytes:
        """Return the usage as of the usage lag ago, or null without such a sample."""
        sample = self.tasks.ask(ReadUsage())
        return json_answer({"usage": None if sample is None else asdict(sample)})


class WorkerRoot:
    """Route the paths of a worker."""

    def __init__(self, bridge: Bridge, tasks: Actor) -> None:
        self.v1 = WorkerApiV1(bridge, tasks)

    @cherrypy.expose
    def starts(self) -> bytes:
        """Return all recorded starts of tasks."""
        starts = self.v1.tasks.ask(ReadStarts())
        return json_answer({"starts": [asdict(start) for start in starts]})
