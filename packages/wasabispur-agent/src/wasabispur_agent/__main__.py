"""Run the wasabispur-agent command as a module."""

from __future__ import annotations

from .agent_cli import main

main()
