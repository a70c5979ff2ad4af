"""Create CherryPy applications without an access log."""

from __future__ import annotations

from typing import Any

import cherrypy


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
    application.log = _NoAccessLog(id(application), cherrypy.log.logger_root)
    return application
