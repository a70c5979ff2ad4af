"""Define the base of every typed message."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from typing import ClassVar

WORD_BOUNDARY = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Carry typed fields from one component to another."""

    # Read by pydantic, which validates decoded messages. A lease or interval that
    # is not a number would compare false with every limit.
    __pydantic_config__: ClassVar[dict[str, bool]] = {"allow_inf_nan": False}


@cache
def snake_case(class_name: str) -> str:
    """Return a class name in snake case."""
    return WORD_BOUNDARY.sub("_", class_name).lower()


def event_name(message: Message) -> str:
    """Return the name under which charts and actors handle the message."""
    return snake_case(type(message).__name__)
