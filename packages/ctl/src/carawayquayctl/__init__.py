"""Command-line program of the operators."""
