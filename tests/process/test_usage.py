"""Test the error messages of both programs for wrong settings, options and calls."""

from __future__ import annotations

import json
import socket
import subprocess
import sys

import pytest
import urllib3

from wasabispur_runtime.process import ExitCode
from wasabispur_standins.process import free_ports, ProcessGroup, wait_for

ENTRY = ("wasabispur", "entry")
AGENT = ("wasabispur_agent",)

PROCESS_TIMEOUT = 60.0
"""Seconds within which a process has to end."""

BODY_LIMIT_BYTES = 1024 * 1024

PATH = "/v1/services/tag-composer/tags"
HEADERS = {"Wasabispur-Organisation": "peachtree", "Wasabispur-Class": "urgent"}


def entry_settings(**changes) -> dict:
    """Return settings of an entry on free ports, with some settings changed."""
    http_port, control_port = free_ports(2)
    settings = {
        "entry_id": "e1",
        "region": "atlanta",
        "data_centre": "atl-1",
        "http_port": http_port,
        "control_port": control_port,
    }
    return {**settings, **changes}


def agent_settings(**changes) -> dict:
    """Return settings of an endpoint's agent, with some settings changed."""
    settings = {
        "agent_id": "a1",
        "role": "endpoint",
        "region": "atlanta",
        "data_centre": "atl-1",
        "entries": ["127.0.0.1:9"],
        "local_url": "http://127.0.0.1:9",
        "service": "tag-composer",
    }
    return {**settings, **changes}


def run(binary, *arguments: str) -> subprocess.CompletedProcess:
    """Run a program to its end."""
    return subprocess.run(
        [sys.executable, "-m", *binary, *arguments],
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT,
    )


def run_with(binary, path, settings) -> subprocess.CompletedProcess:
    """Run a program with a settings file that has the given text or JSON object."""
    text = settings if isinstance(settings, str) else json.dumps(settings)
    path.write_text(text, encoding="utf-8")
    return run(binary, "--settings", str(path))


def check_error(result, code: ExitCode, *words: str) -> None:
    """Check the exit code and that one line names the error and its remedy."""
    assert result.returncode == code, result.stderr
    assert "Traceback" not in result.stderr
    errors = [line for line in result.stderr.splitlines() if line.startswith("error:")]
    assert len(errors) == 1, result.stderr
    for word in words:
        assert word in errors[0]
    assert "; " in errors[0], "the error names no remedy"


@pytest.mark.parametrize(
    ("binary", "settings", "words"),
    [
        (ENTRY, "{", ("not JSON",)),
        (ENTRY, "[]", ("no JSON object",)),
        (ENTRY, entry_settings(colour="red"), ("colour", "Extra inputs")),
        (ENTRY, entry_settings(http_port=0), ("http_port",)),
        (ENTRY, entry_settings(heartbeat_interval="often"), ("heartbeat_interval",)),
        (AGENT, "{}", ("agent_id", "Field required")),
        (AGENT, agent_settings(colour="red"), ("colour", "Extra inputs")),
        (AGENT, agent_settings(role="cook"), ("role",)),
        (AGENT, agent_settings(entries=["example.com:1"]), ("entries.0",)),
        (AGENT, agent_settings(service=""), ("service must be set",)),
    ],
)
def test_wrong_settings_end_with_one_line_and_code_3(tmp_path, binary, settings, words):
    """Guard against a process that starts with invalid settings."""
    result = run_with(binary, tmp_path / "s.json", settings)
    check_error(result, ExitCode.SETTINGS, *words)


@pytest.mark.parametrize("binary", [ENTRY, AGENT])
def test_a_missing_settings_file_is_named(tmp_path, binary):
    """Guard against a traceback for a file that doesn't exist."""
    path = str(tmp_path / "none.json")
    check_error(run(binary, "--settings", path), ExitCode.SETTINGS, path)


@pytest.mark.parametrize(
    ("binary", "arguments"),
    [
        (("wasabispur",), ("entri",)),
        (ENTRY, ()),
        (AGENT, ()),
        (AGENT, ("--colour", "red")),
    ],
)
def test_unknown_arguments_are_usage_errors(binary, arguments):
    """Guard against options that are silently ignored."""
    result = run(binary, *arguments)
    assert result.returncode == ExitCode.USAGE
    assert "Error:" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("field", ["http_port", "control_port"])
def test_a_port_in_use_is_named_with_its_remedy(tmp_path, field):
    """Guard against a process that keeps running without its port."""
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        port = holder.getsockname()[1]
        settings = entry_settings(**{field: port})
        result = run_with(ENTRY, tmp_path / "s.json", settings)
    check_error(result, ExitCode.ADDRESS_IN_USE, str(port), field)


class RunningEntry:
    """Run an entry and send calls to it."""

    def __init__(self, group: ProcessGroup) -> None:
        settings = entry_settings()
        self.port = settings["http_port"]
        self.pool = urllib3.connection_from_url(f"http://127.0.0.1:{self.port}")
        self.child = group.start_with_settings("entry", ENTRY[0], settings, ENTRY[1])
        wait_for("the entry", self.healthy, self.child)

    def healthy(self) -> bool:
        """Return whether the entry answers its health check with status 200."""
        try:
            return self.call("GET", "/healthz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def call(self, method, path, body=None, headers=None):
        """Send a request and return the response."""
        return self.pool.request(
            method, path, body=body, headers=headers, retries=False, timeout=20.0
        )

    def raw(self, data: bytes) -> bytes:
        """Send bytes that need not be HTTP and return the response."""
        with socket.create_connection(("127.0.0.1", self.port), 20.0) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: connection.recv(65536), b""))


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    """Run one entry for all tests of this module."""
    with ProcessGroup(tmp_path_factory.mktemp("entry")) as group:
        running = RunningEntry(group)
        yield running
        assert "Traceback" not in running.child.output()


def check_json_error(answer, status: int) -> None:
    """Check the status and that the body is a JSON error with a remedy."""
    assert answer.status == status, answer.data
    error = json.loads(answer.data)["error"]
    assert set(error) == {"kind", "message", "remedy"}
    assert all(error.values())
    assert b"Traceback" not in answer.data


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status"),
    [
        ("POST", PATH, b"x", {}, 400),
        ("POST", PATH, b"x", {"Wasabispur-Organisation": "p"}, 400),
        ("POST", PATH, b"x", {**HEADERS, "Wasabispur-Deadline-Ms": "soon"}, 400),
        ("POST", PATH, b"x", {**HEADERS, "Wasabispur-Deadline-Ms": "-1"}, 400),
        ("POST", PATH, b"x", {**HEADERS, "Wasabispur-Deadline-Ms": "700000"}, 400),
        ("GET", "/v2/none", None, {}, 404),
        ("POST", "/v1/services", None, HEADERS, 404),
    ],
)
def test_wrong_calls_get_one_json_error(entry, method, path, body, headers, status):
    """Guard against a traceback or an HTML page as the response to an invalid call."""
    check_json_error(entry.call(method, path, body, headers), status)
    assert entry.healthy()


def test_an_oversize_body_is_refused(entry):
    """Guard against a request body that fills the entry's memory."""
    body = b"x" * (BODY_LIMIT_BYTES + 1)
    try:
        answer = entry.call("POST", PATH, body, HEADERS)
    except urllib3.exceptions.ProtocolError:
        # The entry may close the connection while the body is still being sent.
        answer = None
    assert answer is None or answer.status == 413
    assert entry.healthy()


def test_an_oversize_body_in_chunks_is_refused(entry):
    """Guard against a body limit that applies only with a Content-Length."""
    chunks = (b"x" * 65536 for _ in range(64))
    try:
        answer = entry.call("POST", PATH, chunks, HEADERS)
    except urllib3.exceptions.ProtocolError:
        answer = None
    assert answer is None or answer.status == 413
    assert entry.healthy()


@pytest.mark.parametrize(
    "data", [b"\x00\xff\r\n\r\n", b"GET\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n"]
)
def test_malformed_http_does_not_stop_the_entry(entry, data):
    """Guard against an entry that stops after a malformed request line."""
    answer = entry.raw(data)
    assert b"Traceback" not in answer
    assert entry.healthy()


def test_an_unread_chunked_body_is_not_taken_for_the_next_request(entry):
    """Guard against request smuggling through an unread body.

    The bytes after the head of a chunked request are its body, not a second request.
    """
    hidden = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = entry.raw(head.encode() + hidden)
    assert answer.count(b"HTTP/1.1 ") == 1, answer


def test_a_malformed_chunk_is_refused(entry):
    """Guard against status 500 for a malformed chunk."""
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    names = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    answer = entry.raw(f"{head}{names}\r\nzz\r\n".encode())
    assert b" 400 " in answer.split(b"\r\n")[0]
    assert b"remedy" in answer


@pytest.mark.parametrize("sent", [0, 40])
def test_a_truncated_body_is_refused_and_not_forwarded(entry, sent):
    """Guard against a truncated body that is forwarded as a complete request."""
    lines = {"Host": "x", "Content-Length": "100", **HEADERS}
    names = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    head = f"POST {PATH} HTTP/1.1\r\n{names}\r\n"
    answer = entry.raw(head.encode() + b"x" * sent)
    assert b" 400 " in answer.split(b"\r\n")[0], answer
    assert b"remedy" in answer
