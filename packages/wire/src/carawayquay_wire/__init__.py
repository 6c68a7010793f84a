"""Network layer: messages between entry VMs, HTTP client and server, object store client."""
