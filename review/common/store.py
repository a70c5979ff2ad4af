"""Stand in for the platform's metadata store: rows, transactions and feeds."""

from __future__ import annotations

import json
import threading
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wire import Answer, Call, JsonServer, SILENCE

ROW_BYTES = 65_536
TRANSACTION_BYTES = 1_000_000
TRANSACTION_ENTRIES = 100
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
PROTECTED_TABLES = ("op", "servers")
RESERVED = 403

Location = tuple[str, str, str]


@dataclass(slots=True)
class StoredRow:
    """Describe the newest state of one row; a value of None is a removed row."""

    location: Location
    value: str | None
    version: int

    def body(self) -> dict[str, Any]:
        """Return the row as it is sent."""
        table, part, key = self.location
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if self.value is None:
            return {**row, "value": "", "tombstone": True}
        return {**row, "value": self.value}


class Store:
    """Keep rows with versions; all answers are linearizable.

    disturb, if set, gets the body of each transaction and returns the seconds after
    which it is applied without an answer, or None to serve it normally.
    """

    def __init__(self, port: int) -> None:
        self.changed = threading.Condition()
        self.version = 0
        self.rows: dict[Location, StoredRow] = {}
        self.disturb: Callable[[dict[str, Any]], float | None] | None = None
        self.server = JsonServer(self.handle, port)

    def handle(self, call: Call) -> Answer:
        """Serve one call."""
        name = call.path.rpartition("/")[2]
        if name == "rows-tx":
            return self._transact(call)
        if name == "rows-get":
            return self._get(call.query)
        if name == "rows-feed":
            return self._feed(call.query)
        return Answer(404)

    def put(self, table: str, key: str, value: Any) -> int:
        """Write one row as the operator does, and return its version."""
        encoded = b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._apply([((table, "", key), encoded)])
            return self.version

    def read(self, table: str, part: str, key: str) -> Any:
        """Return the decoded value of one row, or None."""
        with self.changed:
            row = self.rows.get((table, part, key))
        if row is None or row.value is None:
            return None
        return json.loads(b64decode(row.value))

    def count(self, table: str) -> int:
        """Return the number of rows of one table."""
        with self.changed:
            rows = list(self.rows.values())
        return sum(r.location[0] == table and r.value is not None for r in rows)

    def _transact(self, call: Call) -> Answer:
        body = call.body
        problem = _problem(call.content, body)
        if problem:
            return Answer(problem, {"reason": "refused"})
        delay = self.disturb(body) if self.disturb else None
        if delay is not None:
            threading.Thread(
                target=self._commit_late, args=(body, delay), daemon=True
            ).start()
            return Answer(SILENCE)
        return self._commit(body)

    def _commit_late(self, body: dict[str, Any], delay: float) -> None:
        time.sleep(delay)
        self._commit(body)

    def _commit(self, body: dict[str, Any]) -> Answer:
        with self.changed:
            expected = body.get("expected_rev", [])
            current = [self.rows.get(_location(row)) for row in expected]
            versions = [
                row.version if row and row.value is not None else 0 for row in current
            ]
            wanted = [row["ver"] for row in expected]
            if versions != wanted:
                rows = [r.body() for r in current if r and r.value is not None]
                return Answer(412, {**self._head(), "rows": rows})
            self._apply(
                [(_location(row), row["value"]) for row in body.get("puts", [])]
                + [(_location(row), None) for row in body.get("remove", [])]
            )
            return Answer(200, self._head())

    def _apply(self, writes: list[tuple[Location, str | None]]) -> None:
        self.version += 1
        for location, value in writes:
            self.rows[location] = StoredRow(location, value, self.version)
        self.changed.notify_all()

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        with self.changed:
            found = sorted(
                (row for row in self.rows.values() if row.value is not None),
                key=lambda row: row.location[2].encode(),
            )
            found = [
                row
                for row in found
                if row.location[:2] == (table, part)
                and row.location[2] >= query.get("from", "")
                and ("target" not in query or row.location[2] < query["target"])
            ]
            page: list[StoredRow] = []
            size = 0
            for row in found[:limit]:
                size += len(row.value or "")
                if page and size > PAGE_BYTES:
                    break
                page.append(row)
            more = len(page) < len(found)
            rows = [row.body() for row in page]
            return Answer(200, {**self._head(), "rows": rows, "has_more": more})

    def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while True:
                found = [
                    row
                    for row in self.rows.values()
                    if row.location[0] == table and row.version > after
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            found.sort(key=lambda row: row.version)
            rows = [row.body() for row in found]
            return Answer(200, {**self._head(), "rows": rows})

    def _head(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}


def _location(row: dict[str, Any]) -> Location:
    return row["table"], row.get("part", ""), row["key"]


def _problem(content: bytes, body: dict[str, Any]) -> int:
    """Return the status with which a transaction is refused, or 0."""
    written = [*body.get("puts", []), *body.get("remove", [])]
    entries = [*body.get("expected_rev", []), *written]
    if len(content) > TRANSACTION_BYTES:
        return 413
    if len(entries) > TRANSACTION_ENTRIES:
        return 400
    if len({row.get("part", "") for row in entries}) > 1:
        return 400
    if any(row["table"] in PROTECTED_TABLES for row in written):
        return RESERVED
    if any(len(b64decode(row["value"])) > ROW_BYTES for row in body.get("puts", [])):
        return 400
    return 0
