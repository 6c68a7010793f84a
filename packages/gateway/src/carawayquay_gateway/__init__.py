"""Proxies requests between callers and targets on the users' platform."""
