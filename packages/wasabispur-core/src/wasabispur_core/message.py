"""Define the base class of all messages and the names of their events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from typing import ClassVar

WORD_BOUNDARY = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Represent an immutable message from one component to another."""

    # Makes pydantic, which validates decoded messages, reject NaN and infinity: a
    # NaN lease or interval compares false with every limit.
    __pydantic_config__: ClassVar[dict[str, bool]] = {"allow_inf_nan": False}


@cache
def snake_case(class_name: str) -> str:
    """Return a class name in snake case."""
    return WORD_BOUNDARY.sub("_", class_name).lower()


def event_name(message: Message) -> str:
    """Return the event name under which charts and actors handle the message."""
    return snake_case(type(message).__name__)
