"""Describe the agents and peers that an entry knows."""

from __future__ import annotations

from dataclasses import dataclass

from .message import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class FromAgent(Message):
    """Wrap a message with the id of the agent that sent it."""

    agent_id: str
    message: Message
