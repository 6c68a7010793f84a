"""Benchmarks of the system against its stated goals; not shipped."""
