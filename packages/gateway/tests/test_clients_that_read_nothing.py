"""A process stays within its memory beside a few clients that send ahead and read nothing."""

from __future__ import annotations

import contextlib
import os
from functools import partial

import attrs
import curio
import pytest
from uncontrolled_clients import DESCRIPTORS, GatewaySite, is_answered
from unread_crowds import UnreadCrowd, peak_mb, unread_mb

from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site
from carawayquay_wire.http import HttpRequest

pytestmark = pytest.mark.processes

_PLAY_SECONDS = 6.0
_SAMPLE_SECONDS = 0.5

#: Memory in the settings of the gateway, which is also the bound of both kinds of processes.
_MEMORY_MB = 96

#: Crowds at a listener of the gateway: behaviour, number of connections and manner.
_CROWDS = {
    "callers": [
        ("small", 2, "unread"),
        ("small", 8, "unread"),
        ("large", 2, "unread"),
        ("large", 8, "unread"),
        ("no route", 2, "unread"),
        ("no route", 4, "unread"),
        ("no route", 8, "unread"),
        ("no route", 8, "read"),
        ("no route, long paths", 8, "unread"),
        ("no route, large heads", 8, "unread"),
        ("invented keys", 8, "read"),
        ("bodies", 8, "unread"),
        ("bodies, no route", 8, "unread"),
        ("no route", 8, "reset"),
        ("large", 8, "reset"),
        ("bytes after a bad request", 2, "unread"),
        ("bytes after a bad request", 8, "unread"),
    ],
    "ready": [
        ("ready", 2, "unread"),
        ("ready", 4, "unread"),
        ("ready", 8, "unread"),
        ("ready", 8, "read"),
        ("ready", 8, "reset"),
        ("ready, other paths", 8, "unread"),
        ("bodies", 4, "unread"),
        ("bytes after a bad request", 4, "unread"),
    ],
    "admin": [("dump", 8, "unread"), ("metrics", 8, "unread")],
    "peer_requests": [
        ("requests of VMs", 8, "unread"),
        ("requests of VMs", 51, "unread"),
        ("requests of VMs, no route", 8, "unread"),
    ],
}
_CASES = [
    pytest.param(listener, crowd, id=f"{listener}: {crowd[0]}, {crowd[1]} {crowd[2]}")
    for listener, crowds in _CROWDS.items()
    for crowd in crowds
]

_AT_ONCE = [
    ("callers", "small", 8),
    ("callers", "large", 8),
    ("callers", "no route, large heads", 8),
    ("callers", "bodies", 4),
    ("ready", "ready", 8),
    ("lookups", "lookups", 8),
    ("admin", "dump", 8),
    ("peer_requests", "requests of VMs", 8),
]

#: Descriptors of a gateway with this memory, in the proportion of an entry VM's settings, and as
#: many connections as it then takes from other VMs.
_PROPORTIONAL_DESCRIPTORS = 1200
_PEER_CONNECTIONS = 120

#: Crowds at a listener of the daemon.
_DAEMON_CASES = [
    ("callers", "daemon lookups", 8, "unread"),
    ("callers", "daemon requests", 8, "unread"),
    ("callers", "daemon requests", 8, "read"),
    ("callers", "daemon, no path", 8, "unread"),
    ("callers", "daemon, no service", 8, "read"),
    ("admin", "daemon state", 8, "unread"),
    ("admin", "daemon state", 60, "unread"),
]


@pytest.fixture
def site(tmp_path):
    found = GatewaySite(tmp_path, _MEMORY_MB)
    yield found
    found.stop()


@pytest.fixture
def daemon(tmp_path):
    layout = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=1)
    site = Site(layout, tmp_path / "site")
    try:
        site.up()
        yield site
    finally:
        site.down()


async def _play(process, crowds, check, descriptors=DESCRIPTORS):
    """Let crowds play, and check the memory and the descriptors of a process.

    :param process: has the property ``pid``
    :param crowds: arguments of each crowd
    :param check: checks that ordinary requests are answered beside the crowds
    :param descriptors: the most descriptors that it may have open
    """
    most_unread = most_descriptors = 0
    with contextlib.ExitStack() as stack:
        for crowd in crowds:
            stack.enter_context(contextlib.closing(UnreadCrowd(*crowd)))
        for _ in range(int(_PLAY_SECONDS / _SAMPLE_SECONDS)):
            await curio.sleep(_SAMPLE_SECONDS)
            most_unread = max(most_unread, unread_mb(process.pid))
            most_descriptors = max(most_descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
        await check()
    peak = peak_mb(process.pid)
    print(f"peak {peak:.0f} MB, unread {most_unread:.1f} MB, {most_descriptors} descriptors")
    assert peak + most_unread < _MEMORY_MB
    assert most_descriptors <= descriptors


async def _check_answers(site):
    assert site.alive
    assert await site.answers_request()
    assert await site.answers_ready_check()


@pytest.mark.parametrize(("listener", "crowd"), _CASES)
def test_gateway_stays_within_its_memory_beside(listener, crowd, site):
    async def check():
        await site.start()
        await _play(site, [(getattr(site, listener), *crowd)], partial(_check_answers, site))

    curio.run(check)


def test_gateway_stays_within_its_memory_beside_clients_of_all_listeners_at_once(site):
    async def check():
        await site.start()
        crowds = [(getattr(site, listener), *crowd) for listener, *crowd in _AT_ONCE]
        await _play(site, crowds, partial(_check_answers, site))

    curio.run(check)


def test_gateway_stays_within_its_memory_beside_answers_that_other_vms_leave_unread(tmp_path):
    site = GatewaySite(tmp_path, _MEMORY_MB, _PROPORTIONAL_DESCRIPTORS)

    async def check():
        await site.start()
        crowd = (site.peer_requests, "huge requests of VMs", _PEER_CONNECTIONS)
        await _play(site, [crowd], partial(_check_answers, site), _PROPORTIONAL_DESCRIPTORS)

    try:
        curio.run(check)
    finally:
        site.stop()


@pytest.mark.parametrize(("listener", "behaviour", "connections", "manner"), _DAEMON_CASES)
def test_daemon_stays_within_its_memory_beside(listener, behaviour, connections, manner, daemon):
    (name, vm), *_ = daemon.vms.items()
    address = daemon.callers[name] if listener == "callers" else vm.address
    ordinary = HttpRequest("GET", "/services/sledway/ordinary", (), b"")

    async def check():
        assert await is_answered(daemon.callers[name], ordinary)
        assert vm.running

    curio.run(_play, vm, [(address, behaviour, connections, manner)], check)
