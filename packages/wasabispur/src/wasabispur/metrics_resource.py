"""Serve the metrics of an entry."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

import cherrypy

from .bridge import Bridge
from .metrics_reader import MetricsReader, MetricsReport, ReadMetrics

READ_TIMEOUT = 5.0
"""Seconds that a thread waits for the metrics."""


@dataclass(slots=True)
class MetricsResource:
    """Serve the metrics of an entry as JSON."""

    bridge: Bridge
    reader: MetricsReader

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self) -> bytes:
        """Return every series with its current value."""
        report: MetricsReport = self.bridge.ask(
            self.reader, ReadMetrics(), READ_TIMEOUT
        )
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps(asdict(report)).encode()
