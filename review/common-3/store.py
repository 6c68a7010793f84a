"""Serves the project's stand-in of the platform's store at an address, as a process of its own."""

import sys

import curio
from curio.network import run_server, tcp_server_socket

from carawayquay_standins.platform_store import PlatformStoreStandIn


async def main(host, port):
    """Serve until the process ends."""
    sock = tcp_server_socket(host, port)
    await run_server(sock, PlatformStoreStandIn().http.serve)


curio.run(main, sys.argv[1], int(sys.argv[2]))
