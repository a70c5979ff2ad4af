"""Keep what the shard's owner knows of workers, and what it orders there."""
