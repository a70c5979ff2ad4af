"""Report the service that callers of jobs received, from structured logs."""
