"""Builders of the VMs of one failure domain, which follow each other in one process."""

from __future__ import annotations

import itertools

import attrs
import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import identity, settings

from carawayquay.clock import MonotonicClock
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay.report_timing import Distance, report_timing
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.state import GatewayState
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics

_REPORT_INTERVAL_SECONDS = 0.05


async def linked_domain(count, *, report_as_gateways=False, first_report_seconds=0.0):
    """Return the states of VMs that are connected by load reports and by their admin interfaces.

    :param report_as_gateways: whether reports come as seldom as between that many gateways, and
        at once where a VM knows of changes, instead of in a fixed short interval
    :param first_report_seconds: time until the first report, by which VMs discover each other
    """
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
    sequence = itertools.count(1)
    if not report_as_gateways:
        await curio.spawn(
            _report_forever,
            states,
            sequence,
            _REPORT_INTERVAL_SECONDS,
            states,
            first_report_seconds,
            daemon=True,
        )
        return states
    interval = report_timing(Distance.DOMAIN, count - 1).interval.total_seconds()
    for state in states:
        await curio.spawn(_announce_forever, state, states, sequence, interval, daemon=True)
        await curio.spawn(_report_forever, [state], sequence, interval, states, daemon=True)
        await curio.sleep(interval / count)
    return states


async def _report_forever(senders, sequence, interval_seconds, receivers, delay_seconds=0.0):
    """Let VMs report to all others in an interval, until cancelled."""
    await curio.sleep(delay_seconds)
    while True:
        for sender in senders:
            await _report(sender, receivers, next(sequence))
        await curio.sleep(interval_seconds)


async def _announce_forever(sender, states, sequence, interval_seconds):
    """Let a VM report changes at once, at most once in an interval, until cancelled."""
    while True:
        await sender.changes_known.wait()
        sender.changes_known.clear()
        await _report(sender, states, next(sequence))
        await curio.sleep(interval_seconds)


async def _report(sender, states, sequence):
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
            await state.wake_followers()


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await curio.sleep(0.01)


async def update_forever(state):
    """Update a state periodically, as the gateway does."""
    while True:
        state.update(state.clock.now())
        await curio.sleep(0.05)
