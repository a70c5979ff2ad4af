"""Serve jobs over an entry instance's HTTP interface."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from hashlib import sha256
from typing import Annotated, Any, Literal
from uuid import uuid4

import cherrypy
from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.error import WasabispurError
from wasabispur_core.jobs.explain import remedy_of
from wasabispur_core.jobs.job_call import (
    AnswerCall,
    CancelJob,
    JobCall,
    ListJobs,
    ShowJob,
    SubmitJob,
)
from wasabispur_core.jobs.job_record import JobRecord, JobSpec, new_job_id

from .bridge import Bridge
from .http_error import BadRequestError, http_status, NotFoundError
from .http_request import read_model
from .job_frontend import JobFrontend

CALL_TIMEOUT = 15.0
"""Seconds that a thread waits for the job frontend."""

TASK_LIMIT = 1024
ACCELERATOR_LIMIT = 64
COMMAND_LIMIT_BYTES = 16 * 1024


class JobsUnavailableError(WasabispurError):
    """Report that the table service can't serve the call; nothing was done."""


class JobUncertainError(WasabispurError):
    """Report that the call may or may not have taken effect."""


@http_status.register
def _(error: JobsUnavailableError) -> int:
    return 503


@http_status.register
def _(error: JobUncertainError) -> int:
    return 504


class SubmitBody(BaseModel):
    """Validate a job; the estimate is the run time in seconds."""

    model_config = ConfigDict(extra="forbid", populate_by_name=True)

    organisation: Annotated[str, Field(min_length=1, max_length=64)]
    work_class: Annotated[str, Field(alias="class", min_length=1, max_length=64)]
    command: Annotated[str, Field(max_length=COMMAND_LIMIT_BYTES)]
    tasks: Annotated[int, Field(ge=1, le=TASK_LIMIT)] = 1
    accelerators: Annotated[int, Field(ge=0, le=ACCELERATOR_LIMIT)] = 0
    run: Literal["restartable", "at-most-once"] = "restartable"
    estimate: Annotated[float, Field(ge=0, le=366 * 86400)] = 0.0
    data_centre: str | None = None

    def spec(self) -> JobSpec:
        """Return the job's specification."""
        return JobSpec(
            organisation=self.organisation,
            work_class=self.work_class,
            command=self.command,
            tasks=self.tasks,
            accelerators=self.accelerators,
            at_most_once=self.run == "at-most-once",
            estimate=self.estimate,
        )


@dataclass(slots=True)
class JobResource:
    """Serve /v1/jobs."""

    bridge: Bridge
    frontend: JobFrontend
    data_centre: str

    @cherrypy.expose
    def index(self, data_centre: str | None = None) -> bytes:
        """Accept a job, or list the jobs of a data centre."""
        if cherrypy.request.method == "POST":
            return self.submit(read_model(SubmitBody))
        require_method("GET")
        shard = self.shard(data_centre)
        answer = self.ask(ListJobs(call_id=uuid4().hex, shard=shard))
        return write_json({"jobs": [describe(record) for record in answer.records]})

    @cherrypy.expose
    def default(self, job_id: str, part: str = "") -> bytes:
        """Show, explain or cancel a job."""
        call_id = uuid4().hex
        if part:
            require_method("GET")
            if part != "explanation":
                raise NotFoundError(f"a job has no {part}", "ask for its explanation")
            answer = self.ask(ShowJob(call_id=call_id, job_id=job_id))
            return write_json(explain(answer.records[0]))
        if cherrypy.request.method == "DELETE":
            answer = self.ask(CancelJob(call_id=call_id, job_id=job_id))
            cherrypy.response.status = 202
        else:
            require_method("GET")
            answer = self.ask(ShowJob(call_id=call_id, job_id=job_id))
        return write_json(describe(answer.records[0]))

    def submit(self, body: SubmitBody) -> bytes:
        """Accept a job; calls with the same idempotency key get the same job id."""
        shard = self.shard(body.data_centre)
        key = cherrypy.request.headers.get("Idempotency-Key")
        suffix = uuid4().hex
        if key:
            suffix = sha256(f"{body.organisation}\0{key}".encode()).hexdigest()[:32]
        record = JobRecord(
            job_id=new_job_id(shard, suffix),
            shard=shard,
            spec=body.spec(),
            # Wall-clock milliseconds order the queue; no duration is computed from
            # them.
            sequence=time.time_ns() // 1_000_000,
        )
        answer = self.ask(SubmitJob(call_id=uuid4().hex, record=record))
        cherrypy.response.status = 201
        return write_json(describe(answer.records[0]))

    def shard(self, data_centre: str | None) -> str:
        """Return the shard of a job's data centre; raise BadRequestError.

        Without a data centre, the shard is this entry's own.
        """
        shard = data_centre or self.data_centre
        if shard not in self.frontend.schedulers:
            known = ", ".join(sorted(self.frontend.schedulers))
            raise BadRequestError(
                f"this entry serves no data centre {shard!r}", f"name one of: {known}"
            )
        return shard

    def ask(self, call: JobCall) -> AnswerCall:
        """Return the answer to a call; raise a typed error if the call failed."""
        answer: AnswerCall = self.bridge.ask(self.frontend, call, CALL_TIMEOUT)
        if answer.uncertain:
            raise JobUncertainError(
                f"the table service did not confirm the call: {answer.failure}",
                "look the job up, or send it again with the same Idempotency-Key",
            )
        if answer.failure:
            raise JobsUnavailableError(
                f"the table service can't serve the call: {answer.failure}",
                "retry after some seconds; nothing was done",
            )
        if not answer.found:
            raise NotFoundError("there is no such job", "check the job id")
        return answer


def require_method(name: str) -> None:
    """Raise HTTP error 405 for any other method."""
    if cherrypy.request.method != name:
        raise cherrypy.HTTPError(405)


def describe(record: JobRecord) -> dict[str, Any]:
    """Return the JSON value of a job for callers."""
    spec = record.spec
    return {
        "job_id": record.job_id,
        "state": record.state.value,
        "reason": record.reason,
        "organisation": spec.organisation,
        "class": spec.work_class,
        "tasks": spec.tasks,
        "accelerators": spec.accelerators,
        "run": "at-most-once" if spec.at_most_once else "restartable",
        "estimate": spec.estimate,
        "data_centre": record.shard,
        "gang_epoch": record.gang_epoch,
        "workers": [assignment.worker_id for assignment in record.assignments],
        "results": list(record.results),
    }


def explain(record: JobRecord) -> dict[str, Any]:
    """Return the JSON value that explains a job's state and how to change it."""
    ended = record.state.ended
    return {
        "job_id": record.job_id,
        "state": record.state.value,
        "cause": "" if ended else record.cause.value,
        "remedy": "" if ended else remedy_of(record.cause),
        "last_stop": record.reason,
        "preemptions": record.preemptions,
        "failed_workers": list(record.failed_workers),
        "workers": [assignment.worker_id for assignment in record.assignments],
    }


def write_json(value: Any) -> bytes:
    """Return a JSON body and set its content type."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode()
