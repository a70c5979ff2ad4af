"""Serve the metrics of an entry instance over its HTTP interface."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

import cherrypy

from wasabispur_core.burn import SlotCount

from .bridge import Bridge
from .metrics_reader import MetricsReader, MetricsReport, ReadCounts, ReadMetrics

READ_TIMEOUT = 5.0
"""Seconds that a thread waits for the metrics reader's reply."""


@dataclass(slots=True)
class MetricsResource:
    """Serve /v1/metrics."""

    bridge: Bridge
    reader: MetricsReader

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self) -> bytes:
        """Return every series with its current value."""
        report: MetricsReport = self.bridge.ask(
            self.reader, ReadMetrics(), READ_TIMEOUT
        )
        return _json(asdict(report))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def counts(self) -> bytes:
        """Return the request counts of the last three days by slot, for report burn."""
        counts: list[SlotCount] = self.bridge.ask(
            self.reader, ReadCounts(), READ_TIMEOUT
        )
        return _json([asdict(count) for count in counts])


def _json(content: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(content).encode()
