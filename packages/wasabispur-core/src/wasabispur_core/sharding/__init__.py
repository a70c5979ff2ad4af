"""Decide which entry instance owns a shard, and fence its writes."""
