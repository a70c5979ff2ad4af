"""Guard the operators' command line: exit codes, output and documentation."""

from __future__ import annotations

import json
import re
import socket
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from wasabispur.cli import main
from wasabispur_core.bundles.bundle import canonical_json, digest_of
from wasabispur_core.bundles.bundle_record import ChangeRecord, ChangeState, row_value
from wasabispur_runtime.process import ExitCode
from wasabispur_runtime.signature import generate_key

from .operators import content

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "command-line.md"
LOSE_REPLY = 0

TEXT = canonical_json(content())
CHANGE = row_value(
    ChangeRecord(
        change_id="c1",
        state=ChangeState.REVIEWED,
        base_version=0,
        proposer="ada",
        summary="first",
        content=TEXT,
        digest=digest_of(TEXT),
    )
)


class StubEntry(ThreadingHTTPServer):
    """Reply with a fixed status and body, and record the requests."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), StubHandler)
        self.status = 200
        self.reply: object = {}
        self.post_status: int | None = None
        self.post_reply: object = None
        self.received: list[tuple[str, str, bytes]] = []

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server_address[1]}"


class StubHandler(BaseHTTPRequestHandler):
    """Handle GET and POST requests in the same way."""

    server: StubEntry

    def do_GET(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        self.server.received.append((self.command, self.path, body))
        status, reply = self.server.status, self.server.reply
        if self.command == "POST" and self.server.post_status is not None:
            status, reply = self.server.post_status, self.server.post_reply
        if status == LOSE_REPLY:
            self.connection.close()
            return
        self.send_response(status)
        self.end_headers()
        self.wfile.write(json.dumps(reply).encode())

    do_POST = do_GET

    def log_message(self, *arguments: object) -> None:
        pass


@pytest.fixture
def entry() -> Iterator[StubEntry]:
    server = StubEntry()
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def run(*arguments: str, input: str | None = None) -> Result:
    return CliRunner().invoke(main, list(arguments), input=input)


def accept(url: str) -> Result:
    return run("bundle", "accept", "c1", "--operator", "cleo", "--entry", url)


@pytest.mark.parametrize(
    ("status", "code"),
    [
        (200, ExitCode.OK),
        (400, ExitCode.REFUSED),
        (403, ExitCode.REFUSED),
        (404, ExitCode.NOT_FOUND),
        (409, ExitCode.CONFLICT),
        (500, ExitCode.FAILED),
        (503, ExitCode.UNAVAILABLE),
        (504, ExitCode.OUTCOME_UNKNOWN),
        (LOSE_REPLY, ExitCode.OUTCOME_UNKNOWN),
    ],
)
def test_reply_decides_the_exit_code(entry, status, code):
    """Guard against a script that takes a failure for success."""
    entry.status = status
    error = {"kind": "Stub", "message": "stub refused", "remedy": "try again"}
    entry.reply = CHANGE if status == 200 else {"error": error}
    result = accept(entry.url)
    assert result.exit_code == code
    assert len(entry.received) == 1
    if status > 200:
        assert "stub refused; try again" in result.stderr
        assert result.stdout == ""


def test_unreachable_entry_is_distinguished_from_an_unknown_outcome():
    """Guard against an exit code that does not say whether a step took effect."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        result = accept(f"http://127.0.0.1:{closed.getsockname()[1]}")
    assert result.exit_code == ExitCode.UNAVAILABLE


@pytest.mark.parametrize("reply", [[], "text", None])
def test_reply_that_is_no_object_is_a_typed_error(entry, reply):
    """Guard against a traceback when --entry is not the URL of an entry instance."""
    entry.reply = reply
    result = accept(entry.url)
    assert result.exit_code == ExitCode.FAILED
    assert "no JSON object" in result.stderr


def test_sign_off_does_not_send_the_private_key(entry, tmp_path):
    """Guard against a private key that is sent to the entry instance."""
    path = tmp_path / "ben.pem"
    generate_key(path)
    entry.reply = CHANGE
    arguments = ("--operator", "ben", "--key", str(path), "--entry", entry.url)
    assert run("bundle", "sign-off", "c1", *arguments).exit_code == 0
    (_, _, nothing), (_, sent_path, sent) = entry.received
    assert (nothing, sent_path) == (b"", "/v1/bundles/c1/sign-off")
    assert set(json.loads(sent)) == {"operator", "signature"}
    assert path.read_bytes().splitlines()[1] not in sent


@pytest.mark.parametrize(
    ("change", "digest"),
    [({"content": "{}"}, ""), ({}, "0" * 64), ({"change_id": "c2"}, "")],
)
def test_sign_off_refuses_content_that_was_not_reviewed(
    entry, tmp_path, change, digest
):
    """Guard against an entry instance that shows content other than the signed one."""
    path = tmp_path / "ben.pem"
    generate_key(path)
    entry.reply = CHANGE | change
    arguments = ("--operator", "ben", "--key", str(path), "--entry", entry.url)
    result = run("bundle", "sign-off", "c1", *arguments, "--digest", digest)
    assert result.exit_code == ExitCode.REFUSED
    assert len(entry.received) == 1


def test_table_and_json_show_the_same_rows(entry):
    """Guard against a table that omits members."""
    member = {"member_id": "agent-a", "state": "live", "bundle_version": 3}
    entry.reply = {"members": [member]}
    table = run("member", "list", "--entry", entry.url)
    assert re.search(r"agent-a .* live +3", table.stdout)
    output = run("member", "list", "--entry", entry.url, "--output", "json")
    assert json.loads(output.stdout) == {"members": [member]}


def commands(group: click.Group, prefix: str = "") -> Iterator[str]:
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands(command, f"{prefix}{name} ")
        else:
            yield f"{prefix}{name}"


@pytest.mark.parametrize("name", list(commands(main)))
def test_command_has_help_and_is_documented(name):
    """Guard against a command without help or documentation."""
    result = run(*name.split(), "--help")
    assert result.exit_code == 0
    assert f"| `{name}" in PAGE.read_text(encoding="utf-8")


@pytest.mark.parametrize("code", list(ExitCode))
def test_exit_code_is_documented(code):
    """Guard against an exit code that scripts can't interpret."""
    assert f"| {code.value} | " in PAGE.read_text(encoding="utf-8")


def test_invalid_settings_are_named(tmp_path):
    """Guard against invalid settings that are found only when the entry starts."""
    path = tmp_path / "entry.json"
    path.write_text('{"entry_id": "e"}', encoding="utf-8")
    result = run("check-settings", "--settings", str(path))
    assert result.exit_code == ExitCode.SETTINGS
    assert "region" in result.stderr
