"""Call the worker beside the agent over HTTP."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated, Any

import urllib3
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from wasabispur_core.log_event import WORKER_FAILED
from wasabispur_core.protocol import ReserveTask
from wasabispur_runtime.log import log

CONNECT_TIMEOUT = 1.0
CALL_TIMEOUT = 2.0
"""Limits in seconds on connecting to the worker and on a whole call."""

CONNECTION_LIMIT = 8
"""Connections to the worker that may be open at once."""

CHECKPOINT_LIMIT = 4096
"""Characters of a checkpoint."""

ENDED_STATES = frozenset(("finished", "failed", "stopped", "expired"))
"""States of a task that no longer runs."""


class TaskView(BaseModel):
    """Represent a task in an answer of the worker."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    task_id: str
    state: str
    result: str = ""
    checkpoint: Annotated[str, Field(max_length=CHECKPOINT_LIMIT)] = ""

    @property
    def ended(self) -> bool:
        """Return whether the task no longer runs."""
        return self.state in ENDED_STATES


class TaskList(BaseModel):
    """Represent the worker's list of tasks, and the worker's clock in seconds."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    tasks: tuple[TaskView, ...]
    clock: float

    @property
    def by_id(self) -> dict[str, TaskView]:
        """Return the tasks by id."""
        return {task.task_id: task for task in self.tasks}


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Report that the worker answered with an error status."""

    status: int


@dataclass(frozen=True, slots=True)
class NoResponse:
    """Report that no valid answer arrived.

    sent is set if the request may have been sent, so the call may have had an effect.
    """

    sent: bool


Answer = TaskView | ErrorResponse | NoResponse

TASK_ADAPTER = TypeAdapter(TaskView)
TASK_LIST_ADAPTER = TypeAdapter(TaskList)


class WorkerClient:
    """Manage tasks at one worker over an HTTP connection pool."""

    def __init__(self, url: str) -> None:
        self.pool = urllib3.connection_from_url(
            url, maxsize=CONNECTION_LIMIT, block=True
        )

    def start(self, reserve: ReserveTask, lease: float, lease_end: float) -> Answer:
        """Start a task under a lease in seconds that ends by a time at the worker.

        A repeated call does not start the task a second time.
        """
        body = {
            "task_id": reserve.task_id,
            "accelerators": reserve.accelerators,
            "command": reserve.command,
            "lease": lease,
            "lease_end": lease_end,
            "checkpoint": reserve.checkpoint,
        }
        return self._call_task("POST", "/v1/tasks", body)

    def renew(self, task_id: str, lease: float, lease_end: float) -> Answer:
        """Extend a task's lease by seconds from now, up to a time at the worker."""
        body = {"lease": lease, "lease_end": lease_end}
        return self._call_task("POST", f"/v1/tasks/{task_id}/renew", body)

    def stop(self, task_id: str) -> Answer:
        """Request that a task stops; the task may take some time to end."""
        return self._call_task("POST", f"/v1/tasks/{task_id}/stop", {})

    def checkpoint(self, task_id: str) -> Answer:
        """Request that a task saves a checkpoint of its progress."""
        return self._call_task("POST", f"/v1/tasks/{task_id}/checkpoint", {})

    def tasks(self) -> TaskList | None:
        """Return all tasks, or None if the worker gave no valid answer."""
        answer = self._call("GET", "/v1/tasks", None, TASK_LIST_ADAPTER)
        return answer if isinstance(answer, TaskList) else None

    def _call_task(self, method: str, path: str, body: dict[str, Any]) -> Answer:
        answer: Answer = self._call(method, path, body, TASK_ADAPTER)
        return answer

    def _call(
        self, method: str, path: str, body: dict[str, Any] | None, adapter: Any
    ) -> Any:
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, total=CALL_TIMEOUT),
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            log(WORKER_FAILED, path=path, error=str(error))
            return NoResponse(sent=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log(WORKER_FAILED, path=path, error=str(error))
            return NoResponse(sent=True)
        if response.status != 200:
            return ErrorResponse(response.status)
        try:
            return adapter.validate_json(response.data)
        except ValidationError as error:
            log(WORKER_FAILED, path=path, error=str(error))
            return NoResponse(sent=True)
