"""Call the endpoint beside the agent."""

from __future__ import annotations

import urllib3

from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    BODY_LIMIT_BYTES,
    Reason,
    StartAttempt,
)

CONNECT_TIMEOUT = 1.0


class EndpointClient:
    """Own the HTTP connection pool to one endpoint."""

    def __init__(self, url: str, connections: int) -> None:
        self.pool = urllib3.connection_from_url(url, maxsize=connections, block=True)

    def call(self, start: StartAttempt) -> Message:
        """Return how the attempt ended; takes at most start.remaining seconds."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, total=start.remaining)
        try:
            response = self.pool.urlopen(
                start.method,
                start.path,
                body=start.body,
                headers=start.headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            body = response.read(BODY_LIMIT_BYTES + 1, decode_content=False)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return AttemptNotRun(
                attempt_id=start.attempt_id, reason=Reason.CONNECT_FAILED
            )
        except urllib3.exceptions.HTTPError as error:
            return AttemptUnknown(attempt_id=start.attempt_id, reason=_reason(error))
        if len(body) > BODY_LIMIT_BYTES:
            response.close()
            return AttemptUnknown(
                attempt_id=start.attempt_id, reason=Reason.RESPONSE_TOO_LARGE
            )
        response.release_conn()
        return AttemptCompleted(
            attempt_id=start.attempt_id,
            status=response.status,
            headers=dict(response.headers),
            body=body,
        )


def _reason(error: urllib3.exceptions.HTTPError) -> Reason:
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return Reason.DEADLINE_EXCEEDED
    if isinstance(error, urllib3.exceptions.IncompleteRead):
        return Reason.RESPONSE_TRUNCATED
    return Reason.RESPONSE_LOST
