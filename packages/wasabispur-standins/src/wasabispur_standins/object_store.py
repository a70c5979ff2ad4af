"""Run a stand-in of the platform's object store, a development tool."""

from __future__ import annotations

from dataclasses import dataclass, field

import cherrypy

from wasabispur.bridge import Bridge
from wasabispur_core.message import Message
from wasabispur_runtime.actor import Actor

from .json_http import error_answer, json_answer, method_not_allowed
from .stand_in import BODY_LIMIT_BYTES, handle, REPLY_TIMEOUT

STORE_LIMIT_BYTES = 256 * 1024 * 1024
"""Maximum bytes of all objects together, which are kept in memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PutObject(Message):
    """Request to store bytes under a key; the reply is False if the store is full."""

    key: str
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class GetObject(Message):
    """Request the bytes under a key; the reply is None for an unknown key."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteObject(Message):
    """Request to delete the bytes under a key; the reply says if there were any."""

    key: str


@dataclass(slots=True)
class ObjectState:
    """Represent the stored objects and the sum of their sizes in bytes."""

    objects: dict[str, bytes] = field(default_factory=dict)
    size: int = 0


@handle.register
def _(message: PutObject, state: ObjectState, now: float) -> bool:
    size = state.size + len(message.data) - len(state.objects.get(message.key, b""))
    if size > STORE_LIMIT_BYTES:
        return False
    state.objects[message.key] = message.data
    state.size = size
    return True


@handle.register
def _(message: GetObject, state: ObjectState, now: float) -> bytes | None:
    return state.objects.get(message.key)


@handle.register
def _(message: DeleteObject, state: ObjectState, now: float) -> bool:
    data = state.objects.pop(message.key, None)
    state.size -= len(data or b"")
    return data is not None


class ObjectResource:
    """Serve the HTTP resource of each object under its key."""

    def __init__(self, bridge: Bridge, store: Actor) -> None:
        self.bridge = bridge
        self.store = store

    @cherrypy.expose
    def default(self, *path: str) -> bytes:
        """Handle PUT, GET and DELETE of one object."""
        key = "/".join(path)
        method = cherrypy.request.method
        if method == "PUT":
            return self.put(key)
        if method == "GET":
            return self.get(key)
        if method == "DELETE":
            self.bridge.ask(self.store, DeleteObject(key=key), REPLY_TIMEOUT)
            return json_answer({})
        return method_not_allowed()

    def put(self, key: str) -> bytes:
        """Store the body of the request."""
        data = cherrypy.request.rfile.read(BODY_LIMIT_BYTES)
        if self.bridge.ask(self.store, PutObject(key=key, data=data), REPLY_TIMEOUT):
            return json_answer({})
        return error_answer(507, "Full", "the store is full", "delete objects")

    def get(self, key: str) -> bytes:
        """Return the stored bytes, or an error with status 404."""
        data: bytes | None = self.bridge.ask(
            self.store, GetObject(key=key), REPLY_TIMEOUT
        )
        if data is None:
            return error_answer(404, "NotFound", f"no object {key}", "check the key")
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        return data


class ObjectApiV1:
    """Route the paths under /v1."""

    def __init__(self, bridge: Bridge, store: Actor) -> None:
        self.objects = ObjectResource(bridge, store)


class ObjectRoot:
    """Route the paths of the object store."""

    def __init__(self, bridge: Bridge, store: Actor) -> None:
        self.v1 = ObjectApiV1(bridge, store)
