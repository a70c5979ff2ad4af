"""Run the wasabispur-agent command with python -m."""

from __future__ import annotations

from .agent_cli import main

main()
