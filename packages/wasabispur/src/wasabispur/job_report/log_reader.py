"""Read the records of several logs in the order of their times."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import BinaryIO

from .log_record import LogRecord, parse_line, UnreadLine

LINE_LIMIT_BYTES = 65_536
"""Longest line that is read; processes write records of at most 4,000 bytes."""


@dataclass(slots=True, kw_only=True)
class ReadCounts:
    """Count the records that were read, and the lines that are none by reason."""

    records: int = 0
    unread: Counter[UnreadLine] = field(default_factory=Counter)


def read_records(logs: Iterable[BinaryIO], counts: ReadCounts) -> Iterator[LogRecord]:
    """Yield the records of all logs; each log is in the order of its times, or nearly.

    One record of each log is held at a time.
    """
    streams = [_read_log(log, counts) for log in logs]
    return heapq.merge(*streams, key=lambda record: record.time.timestamp())


def _read_log(log: BinaryIO, counts: ReadCounts) -> Iterator[LogRecord]:
    for line in _lines(log):
        if not line.strip():
            continue
        record = parse_line(line)
        if isinstance(record, UnreadLine):
            counts.unread[record] += 1
        else:
            counts.records += 1
            yield record


def _lines(log: BinaryIO) -> Iterator[bytes]:
    """Yield the lines of a log; of one beyond the limit, only its beginning."""
    while line := log.readline(LINE_LIMIT_BYTES):
        yield line
        while len(line) == LINE_LIMIT_BYTES and not line.endswith(b"\n"):
            line = log.readline(LINE_LIMIT_BYTES)
