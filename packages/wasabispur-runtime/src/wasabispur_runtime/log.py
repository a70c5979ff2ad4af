"""Write numbered log events as structured records."""

from __future__ import annotations

import sys
from typing import Any

from loguru import logger

from wasabispur_core.log_event import LogEvent


def configure_log(process: str, level: str = "INFO") -> None:
    """Send records of at least the level to standard error, one JSON a line."""
    logger.remove()
    logger.configure(extra={"process_name": process})
    logger.add(sys.stderr, level=level, serialize=True, backtrace=False)


def log(event: LogEvent, /, **fields: Any) -> None:
    """Write one record of a catalogued event."""
    text = event.text.format(**fields)
    logger.bind(event=event.number, **fields).opt(raw=False).log(
        event.level, text.replace("{", "{{").replace("}", "}}")
    )


def log_failure(event: LogEvent, /, **fields: Any) -> None:
    """Write one record together with the exception being handled."""
    text = event.text.format(**fields)
    logger.bind(event=event.number, **fields).opt(exception=True).log(
        event.level, text.replace("{", "{{").replace("}", "}}")
    )
