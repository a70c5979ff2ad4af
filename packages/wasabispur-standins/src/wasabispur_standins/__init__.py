"""Stand in for the platform, endpoints and workers in development."""
