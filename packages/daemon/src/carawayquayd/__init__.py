"""The daemon that runs once on every entry VM."""
