"""Serve organisations' explanations over an entry instance's HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import cherrypy

from wasabispur_core.jobs.job_call import AnswerCall, ExplainOrganisation
from wasabispur_core.jobs.job_record import JobState

from .http_error import NotFoundError
from .job_resource import JobResource, require_method, write_json


@dataclass(slots=True)
class OrganisationResource:
    """Serve /v1/organisations."""

    jobs: JobResource

    @cherrypy.expose
    def default(
        self, name: str, part: str = "", data_centre: str | None = None
    ) -> bytes:
        """Explain an organisation's usage, waiting jobs and guarantees."""
        require_method("GET")
        if part != "explanation":
            raise NotFoundError(
                f"an organisation has no {part or 'page'}", "ask for its explanation"
            )
        shard = self.jobs.shard(data_centre)
        answer = self.jobs.ask(ExplainOrganisation(call_id=uuid4().hex, shard=shard))
        return write_json(explain(name, answer))


def explain(name: str, answer: AnswerCall) -> dict[str, Any]:
    """Return the organisation's usage, waiting jobs and guarantees."""
    own = [record for record in answer.records if record.spec.organisation == name]
    return {
        "organisation": name,
        "accelerators_in_use": sum(
            len(assignment.accelerators)
            for record in own
            for assignment in record.assignments
        ),
        "waiting": {
            record.job_id: record.cause.value
            for record in own
            if record.state is JobState.QUEUED
        },
        "held": [r.job_id for r in own if r.state is JobState.HELD],
        "guarantees": [
            {"shape": g.shape, "met": g.met, "workers": list(g.workers)}
            for g in answer.guarantees
            if g.organisation == name
        ],
    }
