"""Development tools: stand-ins of outside systems, the demo and benchmarks."""
