"""Serve bundle changes and versions over an entry instance's HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Annotated, Any
from uuid import uuid4

import cherrypy
from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.bundles.bundle import BundleError
from wasabispur_core.bundles.bundle_change import OPERATION_TIMEOUT
from wasabispur_core.bundles.bundle_operation import (
    AcceptBundle,
    BundleConflictError,
    BundleOrderError,
    BundleStoreError,
    ChangeOperation,
    ListChanges,
    ListVersions,
    OperationEnded,
    OperationTimeoutError,
    OwnChangeError,
    ProposeBundle,
    RejectBundle,
    ReviewBundle,
    ShowChange,
    SignOffBundle,
    UnknownChangeError,
    UntrustedSignatureError,
)
from wasabispur_core.bundles.bundle_record import row_value, VERSION_DIGITS
from wasabispur_core.message import Message
from wasabispur_core.protocol import SignedBundle
from wasabispur_runtime.bundle_codec import parse_content

from .bridge import Bridge
from .bundle_manager import BundleChangeManager, BundleManager, ShowBundleInForce
from .http_error import BadRequestError, http_status, NotFoundError
from .http_request import read_model

REPLY_GRACE = 1.0
"""Seconds that a thread waits beyond the timeout of the operation."""

Operator = Annotated[str, Field(min_length=1, max_length=64)]
Note = Annotated[str, Field(max_length=500)]


class _OperatorBody(BaseModel):
    model_config = ConfigDict(extra="forbid")

    operator: Operator


class ProposeBody(_OperatorBody):
    """Validate a proposal."""

    base_version: Annotated[int, Field(ge=0)]
    summary: Note = ""
    content: dict[str, Any]


class NoteBody(_OperatorBody):
    """Validate a review, an acceptance or a rejection."""

    note: Note = ""


class SignOffBody(_OperatorBody):
    """Validate a sign-off; the signature is in hexadecimal."""

    signature: Annotated[str, Field(pattern=r"^[0-9a-f]{128}$")]


@dataclass(slots=True)
class BundleResource:
    """Serve /v1/bundles."""

    bridge: Bridge
    changes: BundleChangeManager
    bundles: BundleManager

    @cherrypy.expose
    def index(self, near: str = "0") -> bytes:
        """List changes, or propose one."""
        if cherrypy.request.method == "POST":
            return self.propose()
        require_method("GET")
        reply = self.ask(ListChanges(operation_id=new_id(), near=read_version(near)))
        return write_json({"changes": [summarise(row_value(c)) for c in reply.changes]})

    @cherrypy.expose(["in-force"])
    def in_force(self) -> bytes:
        """Show the bundle in force at this entry."""
        require_method("GET")
        bundle = self.bridge.ask(
            self.bundles, ShowBundleInForce(), OPERATION_TIMEOUT + REPLY_GRACE
        )
        if bundle is None:
            raise NotFoundError(
                "no bundle is in force at this entry", "accept a first bundle"
            )
        return write_json(describe_bundle(bundle))

    @cherrypy.expose
    def versions(self, near: str = "0") -> bytes:
        """List accepted versions."""
        require_method("GET")
        reply = self.ask(ListVersions(operation_id=new_id(), near=read_version(near)))
        return write_json({"versions": [row_value(v) for v in reply.versions]})

    @cherrypy.expose
    def default(self, change_id: str, step: str = "") -> bytes:
        """Show a change, or apply a step to it."""
        if not step:
            require_method("GET")
            reply = self.ask(ShowChange(operation_id=new_id(), change_id=change_id))
            return write_changes(reply)
        require_method("POST")
        read_step = STEPS.get(step)
        if read_step is None:
            raise NotFoundError(
                f"there is no step {step!r}", f"use one of {', '.join(STEPS)}"
            )
        return write_changes(self.ask(read_step(change_id)))

    def propose(self) -> bytes:
        """Propose a change and return it with its id."""
        body = read_model(ProposeBody)
        operation = ProposeBundle(
            operation_id=new_id(),
            change_id=new_change_id(body.base_version),
            operator=body.operator,
            base_version=body.base_version,
            summary=body.summary,
            content=parse_content(body.content),
        )
        cherrypy.response.status = 201
        return write_changes(self.ask(operation))

    def ask(self, message: Message) -> OperationEnded:
        """Return the result of an operation; raise its BundleError."""
        reply: OperationEnded = self.bridge.ask(
            self.changes, message, OPERATION_TIMEOUT + REPLY_GRACE
        )
        return reply


def read_review(change_id: str) -> ChangeOperation:
    """Return the review in the current HTTP request."""
    body = read_model(NoteBody)
    return ReviewBundle(
        operation_id=new_id(),
        change_id=change_id,
        operator=body.operator,
        note=body.note,
    )


def read_sign_off(change_id: str) -> ChangeOperation:
    """Return the sign-off in the current HTTP request."""
    body = read_model(SignOffBody)
    return SignOffBundle(
        operation_id=new_id(),
        change_id=change_id,
        operator=body.operator,
        signature=body.signature,
    )


def read_acceptance(change_id: str) -> ChangeOperation:
    """Return the acceptance in the current HTTP request."""
    body = read_model(NoteBody)
    return AcceptBundle(
        operation_id=new_id(), change_id=change_id, operator=body.operator
    )


def read_rejection(change_id: str) -> ChangeOperation:
    """Return the rejection in the current HTTP request."""
    body = read_model(NoteBody)
    return RejectBundle(
        operation_id=new_id(),
        change_id=change_id,
        operator=body.operator,
        reason=body.note,
    )


STEPS: dict[str, Callable[[str], ChangeOperation]] = {
    "review": read_review,
    "sign-off": read_sign_off,
    "accept": read_acceptance,
    "reject": read_rejection,
}


def new_id() -> str:
    """Return a new operation id."""
    return uuid4().hex


def new_change_id(base_version: int) -> str:
    """Return a new change id, which sorts by the base version."""
    return f"{base_version:0{VERSION_DIGITS}d}-{uuid4().hex[:12]}"


def read_version(text: str) -> int:
    """Return the version in a query parameter; raise BadRequestError."""
    if not text.isascii() or not text.isdigit() or len(text) > VERSION_DIGITS:
        raise BadRequestError(f"near is {text!r}", "send a version number")
    return int(text)


def require_method(method: str) -> None:
    """Raise HTTP error 405 for any other method."""
    if cherrypy.request.method != method:
        raise cherrypy.HTTPError(405, f"use {method}")


def describe_bundle(bundle: SignedBundle) -> dict[str, Any]:
    """Return the JSON value of a signed bundle."""
    value = asdict(bundle)
    value["signature"] = bundle.signature.hex()
    return value


def summarise(change: dict[str, Any]) -> dict[str, Any]:
    """Return a change without its content and signature."""
    return {k: v for k, v in change.items() if k not in ("content", "signature")}


def write_changes(reply: OperationEnded) -> bytes:
    """Return the JSON body with the only change of a reply."""
    return write_json(row_value(reply.changes[0]))


def write_json(value: dict[str, Any]) -> bytes:
    """Return a JSON body and set its content type."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode()


@http_status.register
def _(error: BundleError) -> int:
    return 400


@http_status.register(BundleConflictError)
@http_status.register(BundleOrderError)
def _(error: BundleConflictError | BundleOrderError) -> int:
    return 409


@http_status.register(OwnChangeError)
@http_status.register(UntrustedSignatureError)
def _(error: OwnChangeError | UntrustedSignatureError) -> int:
    return 403


@http_status.register
def _(error: UnknownChangeError) -> int:
    return 404


@http_status.register
def _(error: BundleStoreError) -> int:
    return 503


@http_status.register
def _(error: OperationTimeoutError) -> int:
    return 504
