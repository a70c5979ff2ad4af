"""Provide the actors, streams, clients, settings and logs that all processes share."""
