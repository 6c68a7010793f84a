"""Stand-ins for the platform, targets and callers, for tests and benchmarks only."""
