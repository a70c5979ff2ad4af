"""Run the wasabispur command as a module."""

from __future__ import annotations

from .cli import main

main()
