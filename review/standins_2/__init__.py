"""Stand in for the platform, its executors and its clients."""
