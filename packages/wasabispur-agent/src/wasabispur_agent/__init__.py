"""Run the agent beside an endpoint or a worker."""
