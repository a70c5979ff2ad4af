"""Stand in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import json
import random
import time
from base64 import b64encode
from contextlib import suppress
from typing import Any

from .wire import Request, Response, Server

ANSWER_TIME = 0.004
"""Seconds that an answer takes."""

TRANSACTION_TIME = 0.008
"""Seconds that a transaction takes."""

PAGE_ROWS = 500

Location = tuple[str, str, str]


class Store:
    """Keep rows and their history, and serve each process on a port of its own.

    modes maps the name of a process to how it is turned away: busy, many, reset or
    silent. lost is the share of the writes that are done and not answered, and with
    late set they are done 1 to 6 s later. late_writes has, by table, the seconds by
    which the next writes to it are done late and not answered.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.version = 0
        self.rows: dict[Location, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.modes: dict[str, str] = {}
        self.lost = 0.0
        self.late = False
        self.late_writes: dict[str, list[float]] = {}
        self.names: dict[int, str] = {}
        self.servers: list[Server] = []
        self.background: set[asyncio.Task[None]] = set()

    async def listen(self, name: str) -> int:
        """Return the port on which a process reaches the store."""
        server = Server(self.handle)
        await server.start()
        self.servers.append(server)
        self.names[server.port] = name
        return server.port

    def close(self) -> None:
        """Close all connections."""
        for server in self.servers:
            server.abort()
        for task in self.background:
            task.cancel()

    def forget(self) -> None:
        """Forget the history, so that readers have to read the tables again."""
        self.history.clear()
        self.forgotten = self.version

    async def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator does."""
        text = b64encode(json.dumps(value).encode()).decode()
        await self._apply({"puts": [{"table": table, "key": key, "value": text}]})

    async def handle(self, request: Request) -> Response:
        """Serve one call, unless its caller is turned away."""
        mode = self.modes.get(self.names[request.port], "")
        if mode == "busy":
            return Response(503)
        if mode == "many":
            return Response(429)
        if mode == "reset":
            return Response()
        if mode == "silent":
            await asyncio.sleep(60)
            return Response()
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            return await self._transact(request.body)
        await asyncio.sleep(ANSWER_TIME)
        if name == "rows-get":
            return self._get(request.query)
        if name == "rows-feed":
            return await self._feed(request.query)
        return Response(404)

    async def _transact(self, body: dict[str, Any]) -> Response:
        await asyncio.sleep(TRANSACTION_TIME)
        delay = self._chosen_delay(body)
        if delay is None:
            if self.random.random() >= self.lost:
                return await self._apply(body)
            if not self.late:
                await self._apply(body)
                return Response()
            delay = self.random.uniform(1, 6)
        task = asyncio.create_task(self._apply_later(body, delay))
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        await asyncio.sleep(delay)
        return Response()

    def _chosen_delay(self, body: dict[str, Any]) -> float | None:
        """Return by how much a write is late, if the script has chosen it."""
        for row in body.get("puts", []):
            chosen = self.late_writes.get(row["table"])
            if chosen:
                return chosen.pop(0)
        return None

    async def _apply_later(self, body: dict[str, Any], delay: float) -> None:
        await asyncio.sleep(delay)
        await self._apply(body)

    async def _apply(self, body: dict[str, Any]) -> Response:
        expected = body.get("expected_rev", [])
        for row in expected:
            present = self.rows.get(_location(row))
            if (present["ver"] if present else 0) != row["ver"]:
                found = [self.rows.get(_location(row)) for row in expected]
                return Response(412, {"rows": [row for row in found if row]})
        self.version += 1
        for row in body.get("puts", []):
            table, part, key = _location(row)
            stored = {"table": table, "part": part, "key": key, "value": row["value"]}
            stored["ver"] = self.version
            self.rows[table, part, key] = stored
            self.history.append(stored)
        for row in body.get("remove", []):
            table, part, key = _location(row)
            if self.rows.pop((table, part, key), None) is not None:
                gone = {"table": table, "part": part, "key": key, "tombstone": True}
                self.history.append({**gone, "ver": self.version})
        async with self.changed:
            self.changed.notify_all()
        return Response(200, self._page([]))

    def _get(self, query: dict[str, str]) -> Response:
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        found = [
            self.rows[at]
            for at in sorted(self.rows, key=lambda one: one[2].encode())
            if at[:2] == (table, part)
            and at[2] >= query.get("from", "")
            and ("target" not in query or at[2] < query["target"])
        ]
        return Response(
            200, {**self._page(found[:limit]), "has_more": len(found) > limit}
        )

    async def _feed(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.forgotten:
                return Response(410)
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["ver"] > after
            ]
            left, seen = until - time.monotonic(), self.version
            if rows or left <= 0:
                return Response(200, self._page(rows))
            with suppress(TimeoutError):
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait_for(lambda at=seen: self.version != at)

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "now_ms": now}


def _location(row: dict[str, Any]) -> Location:
    return row["table"], row.get("part", ""), row["key"]
