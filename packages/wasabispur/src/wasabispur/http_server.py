"""Run the HTTP server of an entry instance on its own threads."""

from __future__ import annotations

from threading import Thread
from typing import Any

import cherrypy
from cheroot.wsgi import Gateway_10, Server

from wasabispur_core.error import AddressInUseError
from wasabispur_core.limit import BODY_LIMIT_BYTES

SHUTDOWN_TIMEOUT = 2.5
"""Seconds to wait for the requests in progress during a planned stop."""

CONNECTION_QUEUE_SIZE = 128
"""Connections that the operating system holds until the server accepts them.

Beyond that it drops the first packet of a connection, which its client sends again
only after a second.
"""

cherrypy.config.update({"environment": "embedded", "log.screen": False})


class _Gateway(Gateway_10):
    """Close each connection that carried a chunked request.

    cheroot does not skip the unread rest of a chunked body and would parse it as the
    next request on the connection.
    """

    def respond(self) -> None:
        self.req.close_connection |= self.req.chunked_read
        super().respond()


class HttpServer:
    """Serve one WSGI application on one port."""

    def __init__(self, application: Any, host: str, port: int, threads: int) -> None:
        self.address = (host, port)
        self.server = Server(
            self.address,
            application,
            numthreads=threads,
            request_queue_size=CONNECTION_QUEUE_SIZE,
        )
        self.server.gateway = _Gateway
        self.server.shutdown_timeout = SHUTDOWN_TIMEOUT
        self.server.max_request_body_size = BODY_LIMIT_BYTES
        self.thread = Thread(target=self.server.serve, name="http", daemon=True)

    def start(self) -> None:
        """Bind the port and start to serve; raise AddressInUseError if binding fails."""
        try:
            self.server.prepare()
        except OSError as error:
            host, port = self.address
            raise AddressInUseError(
                f"HTTP address {host}:{port} can't be bound: {error}",
                "choose a free port in http_port or stop the process that uses it",
            ) from error
        self.thread.start()

    def stop(self) -> None:
        """Stop accepting, finish the requests in progress, and join the threads."""
        self.server.stop()
        self.thread.join()
