"""Decision logic and protocol state machines of carawayquay, without I/O."""
