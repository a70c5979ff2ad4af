"""Bound the sizes of what callers and peers send."""

from __future__ import annotations

BODY_LIMIT_BYTES = 1024 * 1024
"""Largest body of a request or a response."""
