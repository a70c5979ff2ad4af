"""Assemble the HTTP interface of an entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import cherrypy

from .bridge import Bridge
from .bundle_resource import BundleResource
from .http_application import new_application
from .http_error import handle_error, handle_http_error
from .job_resource import JobResource
from .member_resource import MemberResource
from .metrics_resource import MetricsResource
from .organisation_resource import OrganisationResource
from .request_dispatcher import RequestDispatcher
from .request_resource import RequestResource
from .service_resource import ServiceResource

CONFIGURATION = {
    "/": {
        "request.error_response": handle_error,
        "request.show_tracebacks": False,
        "request.process_request_body": False,
        "error_page.default": handle_http_error,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
    }
}


class RootResource:
    """Serve the health checks, and the versioned resources under v1."""

    def __init__(self, version_1: VersionOneResource) -> None:
        self.v1 = version_1

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Return 200 while the process runs."""
        return b"ok\n"

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Return 200 while new requests are accepted, and 503 during a drain."""
        if self.v1.readiness.ready:
            return b"ready\n"
        cherrypy.response.status = 503
        return b"leaving\n"


@dataclass(slots=True)
class Readiness:
    """Represent whether the entry accepts new requests."""

    ready: bool = True


class VersionOneResource:
    """Group the resources under /v1; a resource is None if the entry lacks it."""

    jobs: JobResource | None = None
    organisations: OrganisationResource | None = None
    bundles: BundleResource | None = None
    members: MemberResource | None = None
    metrics: MetricsResource | None = None

    def __init__(self, bridge: Bridge, dispatcher: RequestDispatcher) -> None:
        self.readiness = Readiness()
        self.services = ServiceResource(bridge, dispatcher)
        self.requests = RequestResource(bridge, dispatcher)


def build_application(version_1: VersionOneResource) -> Any:
    """Return the WSGI application of an entry."""
    return new_application(RootResource(version_1), CONFIGURATION)
