"""Combine the decisions of the entry instance that owns the shard."""
