"""Builders of the VMs of one failure domain, which follow each other in one process."""

from __future__ import annotations

import attrs
import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import identity, settings

from carawayquay.clock import MonotonicClock
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.state import GatewayState
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics

_REPORT_INTERVAL_SECONDS = 0.05


async def linked_domain(count):
    """Return the states of VMs that are connected by load reports and by their admin interfaces."""
    states = [
        GatewayState(
            settings(),
            MonotonicClock(),
            Metrics(),
            identity(f"puget-a-{index}", f"127.0.0.{index}"),
        )
        for index in range(1, count + 1)
    ]
    port = 0
    for state in states:
        sock = tcp_server_socket(state.identity.host, port)
        port = sock.getsockname()[1]
        server = HttpServer(AdminApi(state).handle, reject)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
    for state in states:
        state.settings = attrs.evolve(state.settings, admin=Address("127.0.0.1", port))
    await curio.spawn(_report, states, daemon=True)
    return states


async def _report(states):
    """Let each VM report to all others, until cancelled."""
    sequence = 0
    while True:
        sequence += 1
        for sender in states:
            report = LoadReport(
                sender.identity,
                sequence,
                sender.stopping,
                sender.reported_revisions(),
                sender.watching,
                era=sender.replica_era,
                version=sender.configuration_version,
                confirmed_ms=sender.knowledge.reported_ages(),
            )
            for state in states:
                state.peers.receive(report, state.clock.now())
                if state is not sender:
                    state.knowledge.confirm_by_report(report, state.clock.now())
        await curio.sleep(_REPORT_INTERVAL_SECONDS)


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await curio.sleep(0.01)


async def update_forever(state):
    """Update a state periodically, as the gateway does."""
    while True:
        state.update(state.clock.now())
        await curio.sleep(0.05)
