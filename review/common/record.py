"""Write what was sent, answered and run to a file."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Append one line for each event, with the seconds since the begin."""

    def __init__(self, path: Path) -> None:
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w", encoding="utf-8")
        self.starts: list[tuple[float, str, int]] = []

    def now(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self.begin

    def start(self, executor: str, task: str, run: int) -> None:
        """Write the start of a run, and keep it with its time."""
        at = self.write("start", executor=executor, task=task, run=run)
        self.starts.append((at, task, run))

    def started(self, job: str) -> list[float]:
        """Return the times at which runs of a job's tasks started."""
        return [at for at, task, _ in self.starts if task.startswith(f"{job}.")]

    def write(self, kind: str, **fields: object) -> float:
        """Write one event and return its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{now:8.3f} {kind} {text}\n")
            self.file.flush()
        return now
