"""Choose free ports for child processes of the development tools and tests."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from itertools import cycle
from pathlib import Path
from typing import IO

HOST = "127.0.0.1"

BLOCKS = range(100)
BLOCK_PORTS = 200
FIRST_PORT = 11_000
"""First port of block 0; all blocks lie below the system's ephemeral ports."""


class PortBlock:
    """Reserve a block of ports for this process.

    A lock on the block's file keeps other processes of the same user from choosing
    ports of the block; the lock ends with the process. The system's choice with port
    0 is not used, because the system may assign such a port to an outgoing connection
    before the child process binds it.
    """

    def __init__(self) -> None:
        self.owner_pid = os.getpid()
        self.lock = self._lock_block()
        first = FIRST_PORT + self.number * BLOCK_PORTS
        self.ports = cycle(range(first, first + BLOCK_PORTS))

    def next_port(self) -> int:
        """Return an unbound port of the block; raise OSError if all are bound."""
        for _ in range(BLOCK_PORTS):
            port = next(self.ports)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise OSError(f"all ports of block {self.number} are bound")

    def _lock_block(self) -> IO[str]:
        folder = Path(tempfile.gettempdir())
        for self.number in BLOCKS:
            path = folder / f"wasabispur-ports-{os.getuid()}-{self.number}"
            handle = path.open("w", encoding="utf-8")
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                handle.close()
                continue
            return handle
        raise OSError("all blocks of ports are locked; end another test run first")


_blocks: list[PortBlock] = []


def free_port() -> int:
    """Return an unbound port that no other process of this user chooses."""
    if not _blocks or _blocks[0].owner_pid != os.getpid():
        _blocks[:] = [PortBlock()]
    return _blocks[0].next_port()
