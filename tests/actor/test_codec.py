"""Test the encoding of messages between processes."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from wasabispur_core.error import ProtocolError
from wasabispur_core.protocol import (
    AGENT_TO_ENTRY,
    AttemptRunning,
    ENTRY_TO_AGENT,
    ENTRY_TO_ENTRY,
    FRAME_LIMIT_BYTES,
    Heartbeat,
    PermitId,
    StartAttempt,
    Welcome,
)
from wasabispur_runtime.codec import BETWEEN_ENTRIES, FROM_AGENT, TO_AGENT

DIRECTIONS = [
    *((FROM_AGENT, cls) for cls in AGENT_TO_ENTRY),
    *((TO_AGENT, cls) for cls in ENTRY_TO_AGENT),
    *((BETWEEN_ENTRIES, cls) for cls in ENTRY_TO_ENTRY),
]


@pytest.fixture(scope="module", autouse=True)
def encodable_numbers():
    """Draw only numbers that can be encoded; other tests cover the rest."""
    st.register_type_strategy(float, st.floats(allow_nan=False, allow_infinity=False))
    st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))
    yield
    st.register_type_strategy(float, st.floats())
    st.register_type_strategy(int, st.integers())


@pytest.mark.parametrize(
    ("messages", "cls"), DIRECTIONS, ids=lambda value: getattr(value, "__name__", "")
)
@given(data=st.data())
def test_every_message_survives_the_encoding(messages, cls, data):
    """Guard against fields that change between two processes."""
    message = data.draw(st.from_type(cls))
    assert messages.decode(messages.encode(message)) == message


@given(data=st.binary(max_size=200))
def test_random_bytes_give_a_typed_error(data):
    """Guard against bytes that raise anything but ProtocolError."""
    try:
        FROM_AGENT.decode(data)
    except ProtocolError:
        return


def test_message_of_another_direction_is_not_encoded():
    """Guard against messages that the other process can't decode."""
    with pytest.raises(ProtocolError):
        FROM_AGENT.encode(Welcome(entry_id="e", heartbeat_interval=1.0))


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(sequence=2**64, bundle_version=0),
        Heartbeat(sequence=-(2**63) - 1, bundle_version=0),
        AttemptRunning(attempt_id="\udc80"),
    ],
)
def test_field_without_encoding_gives_a_typed_error(message):
    """Guard against an encoding error that is not raised as ProtocolError."""
    with pytest.raises(ProtocolError):
        FROM_AGENT.encode(message)


def test_frame_limit_holds_in_both_directions():
    """Guard against frames that exhaust the memory of the receiver."""
    start = StartAttempt(
        attempt_id="a",
        permit_id=PermitId(incarnation=1, number=1),
        method="POST",
        path="/",
        headers={},
        body=b"x" * FRAME_LIMIT_BYTES,
        remaining=1.0,
    )
    with pytest.raises(ProtocolError, match="exceeds"):
        TO_AGENT.encode(start)
    with pytest.raises(ProtocolError, match="exceeds"):
        TO_AGENT.decode(b"x" * (FRAME_LIMIT_BYTES + 1))


def test_unknown_field_is_ignored():
    """Guard against a release that rejects messages of a release with a new field."""
    heartbeat = Heartbeat(sequence=1, bundle_version=2)
    adapter = FROM_AGENT.adapters["Heartbeat"]
    fields = {"sequence": 1, "bundle_version": 2, "future": True}
    assert adapter.validate_python(fields) == heartbeat
