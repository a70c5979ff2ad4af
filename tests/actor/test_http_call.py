"""Test the calls over a pool of connections against a server that misbehaves."""

from __future__ import annotations

import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator

import pytest

from wasabispur_runtime.http_call import (
    CHUNK_BYTES,
    HttpClient,
    HttpResponse,
    HttpResult,
    POOL_TIMEOUT,
    RequestNotSent,
    ResponseLost,
)

TIMEOUT = 0.5
"""Seconds of a call in these tests."""

PATIENCE = 30.0
"""Seconds after which a call counts as hung, however slow the machine is."""

LIMIT = 10 * CHUNK_BYTES
SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Answer = Callable[[socket.socket, threading.Event], None]


def head(length: int) -> bytes:
    """Return the head of a response with a body of a length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


class Server:
    """Answer request /N by the function with that number, and others well.

    Requests name their answers, because a connection's thread may start only after the
    caller has given up and made its next call; answers in order of arrival would be
    shifted then.
    """

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.stopped = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection on a thread."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests on one connection."""
        try:
            with connection:
                while request := connection.recv(65_536):
                    number = int(request.split()[1].removeprefix(b"/"))
                    answers = [*self.answers[number : number + 1], well]
                    answers[0](connection, self.stopped)
        except OSError:
            return

    def close(self) -> None:
        """End the threads."""
        self.stopped.set()
        self.listener.close()


def well(connection: socket.socket, stopped: threading.Event) -> None:
    """Answer as expected."""
    connection.sendall(SMALL)


def half(connection: socket.socket, stopped: threading.Event) -> None:
    """Send all but the end of a body, and then nothing more."""
    connection.sendall(head(3 * CHUNK_BYTES) + bytes(2 * CHUNK_BYTES))
    stopped.wait(PATIENCE)


def half_after_the_deadline(
    connection: socket.socket, stopped: threading.Event
) -> None:
    """Send the larger part of a body late, as to a caller that was paused."""
    connection.sendall(head(3 * CHUNK_BYTES) + bytes(100))
    time.sleep(0.8 * TIMEOUT)
    connection.sendall(bytes(CHUNK_BYTES))
    time.sleep(0.8 * TIMEOUT)
    connection.sendall(bytes(CHUNK_BYTES))
    stopped.wait(PATIENCE)


def trickle(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a body byte by byte, forever."""
    connection.sendall(head(CHUNK_BYTES))
    while not stopped.wait(TIMEOUT / 5):
        connection.sendall(b"x")


def too_long(connection: socket.socket, stopped: threading.Event) -> None:
    """Send more than the caller accepts."""
    connection.sendall(head(2 * LIMIT) + bytes(2 * LIMIT))


def cut(connection: socket.socket, stopped: threading.Event) -> None:
    """Close the connection in the middle of a body."""
    connection.sendall(head(3 * CHUNK_BYTES) + bytes(2 * CHUNK_BYTES))
    connection.close()


def malformed_chunk(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a chunk whose size is no number."""
    head_bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.sendall(head_bytes + b"2\r\nab\r\nzz\r\n")
    connection.close()


def silent(connection: socket.socket, stopped: threading.Event) -> None:
    """Send nothing."""
    stopped.wait(PATIENCE)


def trickle_header(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a header byte by byte, forever."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nX: ")
    while not stopped.wait(TIMEOUT / 5):
        connection.sendall(b"x")


def endless_fields(connection: socket.socket, stopped: threading.Event) -> None:
    """Send header fields without end."""
    connection.sendall(b"HTTP/1.1 200 OK\r\n")
    while not stopped.is_set():
        connection.sendall(b"X: %s\r\n" % (b"x" * 1000))


def endless_field(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a header field without end."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nX: ")
    while not stopped.is_set():
        connection.sendall(bytes(CHUNK_BYTES))


def endless_continue(connection: socket.socket, stopped: threading.Event) -> None:
    """Send interim responses without end."""
    while not stopped.is_set():
        connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)


def endless_chunk_size(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a line with the size of a chunk without end."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;")
    while not stopped.is_set():
        connection.sendall(b"x" * CHUNK_BYTES)


def endless_trailers(connection: socket.socket, stopped: threading.Event) -> None:
    """Send fields after a chunked body without end."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    while not stopped.is_set():
        connection.sendall(b"X: x\r\n" * 1000)


def endless_body(connection: socket.socket, stopped: threading.Event) -> None:
    """Send a body without a length and without end."""
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    while not stopped.is_set():
        connection.sendall(bytes(CHUNK_BYTES))


BAD_ANSWERS = (
    half,
    half_after_the_deadline,
    trickle,
    too_long,
    cut,
    malformed_chunk,
    silent,
    trickle_header,
    endless_fields,
    endless_field,
    endless_continue,
    endless_chunk_size,
    endless_trailers,
    endless_body,
)


@pytest.fixture
def serve() -> Iterator[Callable[..., Server]]:
    """Return a function that starts a server for the test."""
    servers: list[Server] = []

    def start(*answers: Answer) -> Server:
        servers.append(Server(*answers))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def call(client: HttpClient, number: int, timeout: float = TIMEOUT) -> HttpResult:
    """Return the result of request /number, or fail if the call hangs."""
    results: list[HttpResult] = []

    def run() -> None:
        results.append(
            client.call("GET", f"/{number}", None, LIMIT, timeout=timeout),
        )

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(PATIENCE)
    assert results, "the call hangs"
    return results[0]


def call_well(client: HttpClient, number: int) -> HttpResult:
    """Return the result of a call whose good answer may be late on a busy machine."""
    return call(client, number, PATIENCE)


def new_client(server: Server, connections: int = 1) -> HttpClient:
    """Return a client with few connections."""
    return HttpClient(f"http://127.0.0.1:{server.port}", connections, TIMEOUT)


@pytest.mark.parametrize("answer", BAD_ANSWERS, ids=lambda one: one.__name__)
def test_answer_that_is_not_read_to_its_end_costs_no_connection(serve, answer):
    """Guard against a connection that is not given back, so that later calls hang.

    An entry that was paused applied no configuration any more.
    """
    client = new_client(serve(answer, answer))
    for number in range(2):
        assert isinstance(call(client, number), ResponseLost)
    assert call_well(client, 2) == HttpResponse(200, b"ok")


@pytest.mark.parametrize("answer", [endless_chunk_size, endless_body, endless_field])
def test_endless_answer_takes_little_memory(serve, answer):
    """Guard against a service that exhausts the memory of its clients."""
    client = new_client(serve(answer))
    tracemalloc.start()
    try:
        assert isinstance(call(client, 0), ResponseLost)
        assert tracemalloc.get_traced_memory()[1] < 4 * LIMIT
    finally:
        tracemalloc.stop()


def test_rest_of_an_answer_is_not_taken_for_the_next_one(serve):
    """Guard against a connection that is used again in the middle of a response."""
    client = new_client(serve(half))
    assert isinstance(call(client, 0), ResponseLost)
    for number in range(1, 4):
        assert call_well(client, number) == HttpResponse(200, b"ok")


def test_chunked_and_large_answers_are_read_whole(serve):
    """Guard against a body that ends with the first piece that arrives."""

    def chunked(connection: socket.socket, stopped: threading.Event) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(3):
            connection.sendall(b"4\r\nabcd\r\n")
        connection.sendall(b"0\r\n\r\n")

    def large(connection: socket.socket, stopped: threading.Event) -> None:
        connection.sendall(head(5 * CHUNK_BYTES))
        for _ in range(5):
            connection.sendall(bytes(CHUNK_BYTES))

    client = new_client(serve(chunked, large))
    assert call_well(client, 0) == HttpResponse(200, 3 * b"abcd")
    assert call_well(client, 1) == HttpResponse(200, bytes(5 * CHUNK_BYTES))
    assert call_well(client, 2) == HttpResponse(200, b"ok")


def test_call_does_not_wait_for_a_connection_without_end(serve):
    """Guard against a thread that hangs while all connections are in use."""
    client = HttpClient(f"http://127.0.0.1:{serve(silent).port}", 1, PATIENCE)
    thread = threading.Thread(
        target=lambda: client.call("GET", "/0", None, LIMIT), daemon=True
    )
    thread.start()
    while client.pool.pool.qsize():
        time.sleep(0.01)
    begun = time.monotonic()
    assert isinstance(call(client, 1), RequestNotSent)
    assert time.monotonic() - begun >= POOL_TIMEOUT / 2
