"""Keep rows as the platform's metadata store does."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from bisect import bisect_right
from contextlib import suppress
from dataclasses import dataclass, field
from operator import itemgetter
from typing import Any

from http3 import Answer, Request, Server

ANSWER_TIME = 0.004
TRANSACTION_TIME = 0.008
"""Seconds that a call and a transaction take."""

PAGE_ROWS = 500

Location = tuple[str, str, str]


@dataclass
class Store:
    """Represent the store; versions come from one counter."""

    rows: dict[Location, dict[str, Any]] = field(default_factory=dict)
    history: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    version: int = 0
    waiting: dict[str, set[asyncio.Event]] = field(default_factory=dict)

    async def open(self) -> Server:
        """Serve the store's calls on a free port."""
        server = Server(self.handle)
        await server.open()
        return server

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        await asyncio.sleep(ANSWER_TIME)
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            await asyncio.sleep(TRANSACTION_TIME)
            return await self.transact(request.body)
        if name == "rows-get":
            return self.get(request.query)
        if name == "rows-feed":
            return await self.feed(request.query)
        return Answer(404, {})

    async def transact(self, body: dict[str, Any]) -> Answer:
        """Apply all entries of a transaction, or none."""
        expected = body.get("expected_rev", [])
        if any(self._version(row) != row["ver"] for row in expected):
            found = [self.rows[_location(row)] for row in expected if self._has(row)]
            return Answer(412, {"rows": found})
        self.version += 1
        for row in body.get("puts", []):
            self._record(row, row["value"])
        for row in body.get("remove", []):
            self._record(row, None)
        return self._page([], False)

    def get(self, query: dict[str, str]) -> Answer:
        """Return the rows of a range."""
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        first, end = query.get("from", ""), query.get("target")
        wanted = query["table"], query.get("part", "")
        found = [
            row
            for location, row in sorted(self.rows.items())
            if location[:2] == wanted
            and location[2] >= first
            and (end is None or location[2] < end)
        ]
        return self._page(found[:limit], len(found) > limit)

    async def feed(self, query: dict[str, str]) -> Answer:
        """Return the changes of a table as soon as there is one."""
        after = int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while not (rows := self._changes(query["table"], after)):
            left = until - time.monotonic()
            if left <= 0:
                break
            changed = asyncio.Event()
            waiting = self.waiting.setdefault(query["table"], set())
            waiting.add(changed)
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
            waiting.discard(changed)
        return self._page(rows, False)

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does."""
        content = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": content}
        await self.transact({"puts": [row]})

    def values(self, table: str) -> list[Any]:
        """Return the decoded values of a table."""
        return [
            json.loads(base64.b64decode(row["value"]))["value"]
            for location, row in self.rows.items()
            if location[0] == table
        ]

    def _has(self, row: dict[str, Any]) -> bool:
        return _location(row) in self.rows

    def _version(self, row: dict[str, Any]) -> int:
        known = self.rows.get(_location(row))
        return known["ver"] if known else 0

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        history = self.history.get(table, [])
        return history[bisect_right(history, after, key=itemgetter("ver")) :]

    def _record(self, row: dict[str, Any], value: str | None) -> None:
        location = _location(row)
        entry = dict(zip(("table", "part", "key"), location, strict=True))
        entry |= {"value": value or "", "ver": self.version}
        if value is None:
            self.rows.pop(location, None)
            entry["tombstone"] = True
        else:
            self.rows[location] = entry
        self.history.setdefault(location[0], []).append(entry)
        for changed in self.waiting.get(location[0], ()):
            changed.set()

    def _page(self, rows: list[dict[str, Any]], more: bool) -> Answer:
        body = {"rows": rows, "has_more": more, "ver": self.version}
        return Answer(200, body | {"now_ms": int(time.monotonic() * 1000)})


def _location(row: dict[str, Any]) -> Location:
    return row["table"], row.get("part", ""), row["key"]
