"""Learn how long tasks run, and forecast it."""
