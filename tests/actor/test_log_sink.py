"""Test that a slow or closed reader of the log does not affect the process."""

from __future__ import annotations

import json
import os
from datetime import datetime, timedelta, UTC
from typing import Any

from loguru import logger

from wasabispur_core.log_event import PROCESS_STARTED, RECORDS_DROPPED
from wasabispur_runtime.log import log, RECORD_RATE_LIMIT, RecordSink


def sink_on_pipe() -> tuple[RecordSink, int]:
    reader, writer = os.pipe()
    sink = RecordSink(writer, "entry-1")
    logger.remove()
    logger.add(sink.write, format="{message}")
    return sink, reader


def read_records(reader: int) -> list[dict]:
    os.set_blocking(reader, False)
    chunks = b""
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        chunks += chunk
    return [json.loads(line) for line in chunks.splitlines()]


def test_full_pipe_drops_records_and_never_waits():
    """Guard against a process that blocks because nothing reads its log."""
    sink, reader = sink_on_pipe()
    for number in range(5000):
        sink.current_second = 0
        log(PROCESS_STARTED, process=f"{number}" + "x" * 200)
    assert sink.dropped > 0
    assert sink.reason == "the reader is slow"
    read_records(reader)
    sink.current_second = 0
    log(PROCESS_STARTED, process="again")
    records = read_records(reader)
    assert records[0]["event"] == RECORDS_DROPPED.number
    assert records[0]["count"] > 0
    assert records[1]["process"] == "again"


def test_rate_is_bounded_and_the_rest_is_counted():
    """Guard against a burst of log records that fills the disk.

    The records have given times, since a burst may take any number of real seconds.
    """
    sink, reader = sink_on_pipe()
    time = datetime(2026, 1, 1, tzinfo=UTC)

    def write(message: Any) -> None:
        message.record["time"] = time
        sink.write(message)

    logger.remove()
    logger.add(write, format="{message}")
    for _ in range(3 * RECORD_RATE_LIMIT):
        log(PROCESS_STARTED, process="p")
    assert len(read_records(reader)) == RECORD_RATE_LIMIT
    assert sink.dropped == 2 * RECORD_RATE_LIMIT
    time += timedelta(seconds=1)
    log(PROCESS_STARTED, process="p")
    dropped, written = read_records(reader)
    assert dropped["event"] == RECORDS_DROPPED.number
    assert dropped["count"] == 2 * RECORD_RATE_LIMIT
    assert written["event"] == PROCESS_STARTED.number


def test_closed_log_pipe_does_not_stop_the_process():
    """Guard against a process that ends when the reader of its log ends."""
    sink, reader = sink_on_pipe()
    os.close(reader)
    log(PROCESS_STARTED, process="p")
    assert sink.dropped == 1
