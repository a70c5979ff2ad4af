"""Serve the list of known processes over an entry instance's HTTP interface."""

from __future__ import annotations

from dataclasses import asdict, dataclass

import cherrypy

from wasabispur_core.message import Message

from .bridge import Bridge
from .bundle_resource import require_method, write_json
from .membership import Membership

REPLY_TIMEOUT = 5.0
"""Seconds that a thread waits for the membership's reply."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListMembers(Message):
    """Request the status of all known processes."""


@dataclass(slots=True)
class MemberResource:
    """Serve /v1/members."""

    bridge: Bridge
    membership: Membership

    @cherrypy.expose
    def index(self) -> bytes:
        """List the known processes with the bundle version in force in each."""
        require_method("GET")
        members = self.bridge.ask(self.membership, ListMembers(), REPLY_TIMEOUT)
        return write_json({"members": [asdict(member) for member in members]})
