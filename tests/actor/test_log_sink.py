"""Test that a slow or closed reader of the log does not affect the process."""

from __future__ import annotations

import json
import os

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
    """Guard against a burst of log records that fills the disk."""
    sink, reader = sink_on_pipe()
    for _ in range(3 * RECORD_RATE_LIMIT):
        log(PROCESS_STARTED, process="p")
    assert len(read_records(reader)) <= 2 * RECORD_RATE_LIMIT + 1
    assert sink.dropped >= RECORD_RATE_LIMIT - 1


def test_closed_log_pipe_does_not_stop_the_process():
    """Guard against a process that ends when the reader of its log ends."""
    sink, reader = sink_on_pipe()
    os.close(reader)
    log(PROCESS_STARTED, process="p")
    assert sink.dropped == 1
