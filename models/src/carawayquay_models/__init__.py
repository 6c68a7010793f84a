"""Models of the core protocols for an explicit-state model checker; not shipped."""
