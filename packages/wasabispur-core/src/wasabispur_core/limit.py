"""Define size limits for data from callers and peers."""

from __future__ import annotations

BODY_LIMIT_BYTES = 1024 * 1024
"""Maximum body of a request or a response."""
