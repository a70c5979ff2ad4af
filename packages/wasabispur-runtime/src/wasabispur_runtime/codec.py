"""Encode, decode and validate the messages between processes."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgpack
from grpclib.encoding.base import CodecBase
from pydantic import TypeAdapter, ValidationError

from wasabispur_core.error import ProtocolError
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    AGENT_TO_ENTRY,
    ENTRY_TO_AGENT,
    ENTRY_TO_ENTRY,
    FRAME_LIMIT_BYTES,
)

SAME_VERSION_REMEDY = "run the same release of wasabispur on both sides"


class MessageSchema:
    """Encode and validate the message classes of one direction of a stream."""

    def __init__(self, classes: Iterable[type[Message]]) -> None:
        self.adapters: dict[str, TypeAdapter[Any]] = {
            cls.__name__: TypeAdapter(cls) for cls in classes
        }

    def encode(self, message: Message) -> bytes:
        """Return the encoded message.

        Raises ProtocolError if the class does not belong to this direction, if a
        field has no encoding, or if the message exceeds the frame limit.
        """
        name = type(message).__name__
        adapter = self.adapters.get(name)
        if adapter is None:
            raise ProtocolError(
                f"a {name} message can't be sent on this stream",
                "send it in the direction that allows its class",
            )
        try:
            data: bytes = msgpack.packb(
                [name, adapter.dump_python(message, mode="python")],
                default=_encode_enum,
            )
        except (TypeError, ValueError, OverflowError) as error:
            raise ProtocolError(
                f"a field of a {name} message can't be encoded: {error}",
                "use 64-bit integers and valid Unicode text",
            ) from error
        _check_size(data)
        return data

    def decode(self, data: bytes) -> Message:
        """Return the validated message; raise ProtocolError if it is malformed."""
        _check_size(data)
        try:
            name, fields = msgpack.unpackb(data)
            adapter = self.adapters[name]
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            raise ProtocolError(
                f"the peer sent a frame that is not a known message: {error!r}",
                SAME_VERSION_REMEDY,
            ) from error
        try:
            message: Message = adapter.validate_python(fields)
        except ValidationError as error:
            raise ProtocolError(
                f"the peer sent an invalid {name} message: {error.errors()[0]['msg']}",
                SAME_VERSION_REMEDY,
            ) from error
        return message


FROM_AGENT = MessageSchema(AGENT_TO_ENTRY)
TO_AGENT = MessageSchema(ENTRY_TO_AGENT)
BETWEEN_ENTRIES = MessageSchema(ENTRY_TO_ENTRY)


class MessageCodec(CodecBase):
    """Adapt MessageSchema to grpclib, with msgpack as the encoding."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Message, message_type: MessageSchema) -> bytes:
        """Return the bytes of a message."""
        return message_type.encode(message)

    def decode(self, data: bytes, message_type: MessageSchema) -> Message:
        """Return the message in the bytes."""
        return message_type.decode(data)


def _encode_enum(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"{value!r} has no encoding")


def _check_size(data: bytes) -> None:
    if len(data) > FRAME_LIMIT_BYTES:
        raise ProtocolError(
            f"a message of {len(data)} bytes exceeds the limit of {FRAME_LIMIT_BYTES}",
            "send a smaller body",
        )
