"""Create CherryPy applications that do only what the processes need."""

from __future__ import annotations

from typing import Any

import cherrypy
from cherrypy.lib import httputil

UNUSED_FIELDS = frozenset(("Content-Disposition", "Content-Type", "Cookie"))
"""Request header fields that no handler reads.

CherryPy parses them with regular expressions in quadratic time, up to 0.6 s for a
permitted header, in which no other thread of the process runs.
"""


class _PlainRequest(cherrypy._cprequest.Request):  # type: ignore[misc]
    """Take header fields as they are.

    CherryPy decodes values by the character set that they name: Python remembers each
    unknown name for good, and the request fails with status 500.
    """

    def process_headers(self) -> None:
        """Store the header fields and check the host."""
        for field, value in self.header_list:
            name = field.title()
            if name not in UNUSED_FIELDS:
                self.headers[name] = value.strip()
        host = self.headers.get("Host")
        if host is None and self.protocol >= (1, 1):
            raise cherrypy.HTTPError(400, "HTTP/1.1 requires the Host header field.")
        if host is not None:
            self.headers["Host"] = httputil.SanitizedHost(host)
        self.base = f"{self.scheme}://{host or self.local.name or self.local.ip}"


class _NoAccessLog(cherrypy._cplogging.LogManager):  # type: ignore[misc]
    """Drop the access log, which nothing reads.

    CherryPy formats a line for each request also where no handler takes it; that took a
    tenth of the processor time of a request.
    """

    def access(self) -> None:
        """Log nothing; the process's own log and metrics describe requests."""


def new_application(root: Any, configuration: dict[str, dict[str, Any]]) -> Any:
    """Return a WSGI application at the root path."""
    application = cherrypy.Application(root, "", configuration)
    application.request_class = _PlainRequest
    application.log = _NoAccessLog(id(application), cherrypy.log.logger_root)
    return application
