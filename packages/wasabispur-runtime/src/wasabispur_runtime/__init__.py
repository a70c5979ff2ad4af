"""Share actors, transport, platform clients, settings and logs."""
