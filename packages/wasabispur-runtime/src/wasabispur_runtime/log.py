"""Write the catalogued log events as structured records."""

from __future__ import annotations

import json
import os
import sys
from typing import Any

from loguru import logger

from wasabispur_core.log_event import LogEvent, RECORDS_DROPPED

RECORD_RATE_LIMIT = 200
"""Records that a process writes in a second.

Records beyond the limit are dropped and counted, except those of level ERROR.
"""

RECORD_SIZE_LIMIT = 4000
"""Largest record in bytes; a pipe accepts a write of this size whole or not at all."""


class RecordSink:
    """Write records to a file descriptor without waiting for its reader.

    A record that can't be written at once is dropped and counted by reason.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self.descriptor = descriptor
        self.process = process
        self.current_second = 0
        self.written = 0
        self.dropped = 0
        self.reason = ""
        self.total_dropped: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def write(self, text: Any) -> None:
        """Write one record, or count it as dropped."""
        record = text.record
        current_second = int(record["time"].timestamp())
        if current_second != self.current_second:
            self.current_second, self.written = current_second, 0
            self._report_dropped(record)
        if self.written >= RECORD_RATE_LIMIT and record["level"].no < 40:
            self._drop(1, "the rate limit")
            return
        self.written += 1
        self._write_line(self._format_record(record))

    def _report_dropped(self, record: Any) -> None:
        if not self.dropped:
            return
        fields = {"count": self.dropped, "reason": self.reason}
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": RECORDS_DROPPED.level,
            "event": RECORDS_DROPPED.number,
            "process": self.process,
            "text": RECORDS_DROPPED.text.format(**fields),
            **fields,
        }
        dropped, self.dropped = self.dropped, 0
        if not self._write_line(json.dumps(line)):
            self.dropped += dropped

    def _format_record(self, record: Any) -> str:
        extra = record["extra"]
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": extra.get("event", 0),
            "process": self.process,
            "text": record["message"],
            **{key: value for key, value in extra.items() if key != "event"},
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        return json.dumps(line, default=str)[:RECORD_SIZE_LIMIT]

    def _write_line(self, line: str) -> bool:
        try:
            os.write(self.descriptor, line.encode() + b"\n")
        except BlockingIOError:
            self._drop(1, "the reader is slow")
            return False
        except OSError as error:
            self._drop(1, f"standard output failed: {error.strerror}")
            return False
        return True

    def _drop(self, count: int, reason: str) -> None:
        self.dropped += count
        self.reason = reason
        self.total_dropped[reason] = self.total_dropped.get(reason, 0) + count


def configure_log(process: str, level: str = "INFO") -> None:
    """Write records of at least the level to standard error as lines of JSON."""
    logger.remove()
    logger.configure(extra={"process_name": process})
    logger.add(sys.stderr, level=level, serialize=True, backtrace=False)


def configure_output_log(process: str, level: str = "INFO") -> RecordSink:
    """Write records of at least the level to standard output as lines of JSON."""
    logger.remove()
    sink = RecordSink(sys.stdout.fileno(), process)
    logger.add(sink.write, level=level, format="{message}", backtrace=False)
    return sink


def log(event: LogEvent, /, **fields: Any) -> None:
    """Write one record of a catalogued event."""
    _write(event, fields, False)


def log_failure(event: LogEvent, /, **fields: Any) -> None:
    """Write one record together with the exception being handled."""
    _write(event, fields, True)


def _write(event: LogEvent, fields: dict[str, Any], exception: bool) -> None:
    # Loguru formats the message again, so braces in it have to be escaped.
    text = event.text.format(**fields).replace("{", "{{").replace("}", "}}")
    bound = logger.bind(event=event.number, **fields)
    bound.opt(exception=exception).log(event.level, text)
