"""Guard what the table service's client sends while the service may be unreachable."""

from __future__ import annotations

from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.message import Message
from wasabispur_core.storage.circuit import (
    CLOSED,
    HALF_OPEN,
    ServiceReachable,
    ServiceUnreachable,
    TrialDue,
)
from wasabispur_core.storage.store import ABSENT, Condition, Transaction, Write
from wasabispur_core.storage.store_access import SendAllowed, TRIAL_TIMEOUTS
from wasabispur_core.storage.store_call import (
    CallExpired,
    CallLost,
    CallRefused,
    DeliverResult,
    RowsFound,
    RowsRequested,
    SendCall,
    SendLookup,
    SendTransaction,
    TransactionRequested,
)
from wasabispur_core.storage.table_access import decide, new_table_access
from wasabispur_runtime.http_call import CALL_TIMEOUT


class Client:
    """Drive a client, and record the calls and the results that it produces."""

    def __init__(self, allow_trial_writes: bool = False) -> None:
        self.state = new_table_access(
            ChartCatalogue(), Random(1), allow_trial_writes=allow_trial_writes
        )
        self.sent: list[SendCall] = []
        self.results: list[Message] = []
        self.now = 0.0

    def handle(self, message: Message) -> None:
        """Handle a message and record the calls and results that it causes."""
        for command in decide(message, self.state, self.now):
            if isinstance(command, SendCall):
                self.sent.append(command)
            elif isinstance(command, DeliverResult):
                self.results.append(command.result)

    def write(self, call_id: int) -> None:
        """Request a transaction."""
        transaction = Transaction(
            operation_id=f"op-{call_id}",
            conditions=(Condition(key="k", version=ABSENT),),
            writes=(Write(key="k", value={}),),
        )
        self.handle(TransactionRequested(call_id=call_id, transaction=transaction))

    def read(self, call_id: int) -> None:
        """Request rows."""
        self.handle(RowsRequested(call_id=call_id, read_id="r", prefix="k"))


def test_no_write_is_sent_to_a_store_that_another_connection_missed():
    """Guard against unknown outcomes of writes that are sent during an outage.

    The client's first call after each pause was a caller's job. Its lost answer gave
    504, and the caller used up its attempts within half a second.
    """
    client = Client()
    client.handle(ServiceUnreachable())
    client.write(1)
    (trial,) = client.sent
    assert isinstance(trial, SendLookup)
    client.handle(RowsFound(call_id=trial.call_id, rows=()))
    client.now = 1.0
    client.handle(SendAllowed())
    assert isinstance(client.sent[-1], SendTransaction)


def test_other_connection_that_gets_answers_lets_writes_go():
    """Guard against delayed writes after another connection has reached the store."""
    client = Client()
    client.handle(ServiceUnreachable())
    client.handle(ServiceUnreachable())
    client.handle(ServiceReachable())
    client.now = 1.0
    client.write(1)
    assert [type(call) for call in client.sent] == [SendTransaction]


def test_second_miss_refuses_what_waits_as_not_sent():
    """Guard against calls that wait for their deadline in a known outage.

    Their result must say that they had no effect.
    """
    client = Client()
    client.handle(ServiceUnreachable())
    client.write(1)
    client.handle(ServiceUnreachable())
    (result,) = client.results
    assert not result.uncertain
    client.write(2)
    assert not client.results[1].uncertain
    assert not any(isinstance(call, SendTransaction) for call in client.sent)


def test_trial_of_a_store_that_was_down_is_a_read():
    """Guard against a trial call whose lost answer leaves a write's outcome unknown."""
    client = Client()
    client.handle(ServiceUnreachable())
    client.handle(ServiceUnreachable())
    client.handle(TrialDue())
    client.write(1)
    client.read(2)
    (trial,) = client.sent
    assert isinstance(trial, SendLookup)
    client.handle(CallLost(call_id=trial.call_id, reason="no answer"))
    assert not client.results[0].uncertain
    assert client.sent == [trial]


def test_client_without_other_connections_tries_writes():
    """Guard against a client without other connections that never retries its store."""
    client = Client(allow_trial_writes=True)
    for call_id in range(5):
        client.write(call_id)
    for call in list(client.sent):
        client.handle(CallRefused(call_id=call.call_id, reason="status 503"))
    client.handle(TrialDue())
    before = len(client.sent)
    client.write(9)
    assert len(client.sent) == before + 1


def test_write_that_waits_for_a_silent_store_ends_as_not_sent():
    """Guard against a write that waits for ever while no connection gets an answer."""
    client = Client()
    client.handle(ServiceUnreachable())
    client.write(1)
    client.now = client.state.call_deadline
    client.handle(CallExpired(call_id=1))
    (result,) = client.results
    assert not result.uncertain


def opened_client() -> Client:
    """Return a client with a call that hangs, and a circuit that is open."""
    client = Client()
    client.write(1)
    client.handle(ServiceUnreachable())
    client.handle(CallLost(call_id=client.sent[-1].call_id, reason="no answer"))
    client.sent.clear()
    return client


def test_trial_does_not_wait_for_a_caller():
    """Guard against a store that is back for seconds before a call notices it."""
    client = opened_client()
    client.handle(TrialDue())
    (trial,) = client.sent
    assert isinstance(trial, SendLookup)
    assert trial.keys == ("k",)


def test_trial_does_not_wait_for_calls_that_hang():
    """Guard against an outage that lasts longer by the timeouts of earlier calls.

    After 3 s without answers, an owner took up to 4 s more to reach its store again.
    """
    client = opened_client()
    client.handle(TrialDue())
    client.handle(CallLost(call_id=1, reason="no answer"))
    assert client.state.circuit.state == HALF_OPEN
    client.handle(RowsFound(call_id=client.sent[0].call_id, rows=()))
    assert client.state.circuit.state == CLOSED


def test_one_of_several_trials_reaches_a_slow_store():
    """Guard against a store that answers late and is taken for down for ever."""
    client = opened_client()
    timeouts = []
    for _ in TRIAL_TIMEOUTS:
        client.handle(TrialDue())
        trial = client.sent[-1]
        timeouts.append(trial.timeout)
        client.handle(CallLost(call_id=trial.call_id, reason="no answer"))
    assert max(timeouts) == max(TRIAL_TIMEOUTS) > CALL_TIMEOUT / 2
    assert sorted(timeouts)[-2] == min(TRIAL_TIMEOUTS)


def test_only_one_trial_is_in_flight():
    """Guard against trials that pile up behind each other in an outage."""
    client = opened_client()
    client.handle(TrialDue())
    client.handle(SendAllowed())
    client.read(2)
    assert len(client.sent) == 1
