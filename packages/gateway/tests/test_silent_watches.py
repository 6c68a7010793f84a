"""A watch that the store took and never answers is not taken for the answer that nothing changed.

The deadlines are those of the default settings, which are the strictest of the deployments.
"""

from __future__ import annotations

import random
import re
from datetime import timedelta

import attrs
import curio
import logbook
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import configuration, route, run, settings, target
from gateway_domain import linked_domain, until, update_forever

from carawayquay.membership import Address
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.objects import ObjectKind
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn

_HOST = "127.9.43.1"
_DEADLINES = settings().deadlines
_CONTACT_SECONDS = _DEADLINES.contact.total_seconds()
_CALL_TIMEOUT = timedelta(seconds=1)

_SILENCE_SECONDS = 1.5

#: Time after a change in which all watches have returned and were sent again.
_WATCHES_SENT_AGAIN_SECONDS = 0.6

#: Matches the line of a watch that failed by its time limit, with the time that it took.
_WATCH_FAILED = re.compile(r"event=store-lost .*waited_ms=(\d+) reason=.*within 1\.500 s")

_KINDS = {"config": "configuration", "servers": "departure", "evacuations": "evacuation"}


class _Site:
    """A store, and VMs of one failure domain that hear of no other domain."""

    def __init__(self):
        self.store = PlatformStoreStandIn()
        self.states = []
        self._tasks = []
        self._changes = 3

    async def start(self, vms, watch_timeout=timedelta(seconds=28)):
        await self.store.put("config", "main", configuration(version=3))
        await self.store.put("servers", "t1", target("127.0.0.1:81"))
        sock = tcp_server_socket(_HOST, 0)
        address = Address(_HOST, sock.getsockname()[1])
        await curio.spawn(run_server, sock, self.store.http.serve, daemon=True)
        self.states = await linked_domain(vms)
        for state in self.states:
            client = PlatformStoreClient(address, _CALL_TIMEOUT)
            for replica in state.replicas.values():
                watcher = Watcher(state, client, replica, random.Random(1), watch_timeout)
                self._tasks.append(await curio.spawn(watcher.run, daemon=True))
            self._tasks.append(await curio.spawn(update_forever, state, daemon=True))
        await until(lambda: all(state.ready for state in self.states))
        await until(lambda: any(state.watching for state in self.states))
        await curio.sleep(_WATCHES_SENT_AGAIN_SECONDS)

    async def stop(self):
        for task in self._tasks:
            await task.cancel()

    async def change(self, kind):
        """Change an object of a kind; return a function that tells of a VM whether it is known."""
        self._changes += 1
        number = self._changes
        match kind:
            case "config":
                named = route(name=f"route-{number}")
                await self.store.put("config", "main", configuration(named, version=number))
                return lambda state: state.configuration.version == number
            case "servers":
                draining = target("127.0.0.1:81", state="draining", sequence=number)
                await self.store.put("servers", "t1", draining)
                return lambda state: state.targets.get("t1").sequence == number
        await self.store.put("evacuations", f"domain-{number}", {})
        return lambda state: f"domain-{number}" in state.evacuated

    async def change_all(self):
        """Change an object of each kind, so that the watches of all kinds return."""
        for kind in _KINDS:
            await self.change(kind)

    async def known_within(self, kind, seconds):
        """Change an object of a kind, and wait until all VMs know of it, for some seconds."""
        known = await self.change(kind)
        async with curio.timeout_after(seconds):
            await until(lambda: all(known(state) for state in self.states))


def _run(check, *args):
    async def checked():
        site = _Site()
        try:
            await check(site, *args)
        finally:
            await site.stop()

    run(checked)


def _deadline_seconds(kind):
    return getattr(_DEADLINES, _KINDS[kind]).total_seconds()


@pytest.mark.parametrize("vms", [1, 3])
@pytest.mark.parametrize("kind", _KINDS)
def test_change_after_a_silence_of_the_store_is_in_force_once_the_contact_time_is_over(kind, vms):
    async def check(site):
        await site.start(vms)
        await site.change_all()
        await curio.sleep(0.1)
        site.store.faults.silent = True
        await curio.sleep(_SILENCE_SECONDS)
        site.store.faults.silent = False
        await curio.sleep(max(0.0, _CONTACT_SECONDS - _deadline_seconds(kind)))
        await site.known_within(kind, _deadline_seconds(kind))

    _run(check)


@pytest.mark.parametrize("vms", [1, 3])
@pytest.mark.parametrize("kind", _KINDS)
def test_change_that_a_swallowed_watch_should_have_delivered_is_in_force_in_time(kind, vms):
    async def check(site):
        await site.start(vms)
        swallowed = []

        def swallow(request):
            # The next watch of the kind is lost on each VM, also if it is sent again at once.
            found = f"/{kind}?" in request.target and "wait_ms=0" not in request.target
            if found and len(swallowed) < vms:
                swallowed.append(request)
                return True
            return False

        site.store.faults.swallow = swallow
        await site.change(kind)
        await curio.sleep(_WATCHES_SENT_AGAIN_SECONDS)
        assert swallowed
        await site.known_within(kind, _deadline_seconds(kind))

    _run(check)


def test_vm_that_cannot_pull_from_the_watching_one_asks_the_store_itself():
    async def check(site):
        await site.start(3)
        await until(lambda: sum(state.watching for state in site.states) == 1)
        follower = next(state for state in site.states if not state.watching)
        unreachable = Address(_HOST, 1)
        follower.settings = attrs.evolve(follower.settings, admin=unreachable)
        known = await site.change("config")
        max_age = follower.knowledge.max_age(ObjectKind.CONFIGURATION)
        async with curio.timeout_after(max_age.total_seconds() + _CALL_TIMEOUT.total_seconds()):
            await until(lambda: known(follower))

    _run(check)


def test_vm_that_takes_over_in_a_silence_does_not_count_as_watching():
    async def check(site):
        await site.start(3)
        site.store.faults.silent = True
        next(state for state in site.states if state.watching).stopping = True
        for _ in range(100):
            await curio.sleep(0.01)
            assert not any(state.watching for state in site.states if not state.stopping)

    _run(check)


def test_vm_that_need_not_watch_any_more_ends_its_watches():
    """Guards against watches that nobody checks."""

    async def check(site):
        await site.start(3)
        await until(lambda: sum(state.watching for state in site.states) == 1)
        first = next(state for state in site.states if state.watching)
        # The other VMs watch while the first one does not tell that it does.
        first.stopping = True
        others = [state for state in site.states if state is not first]
        await until(lambda: any(state.watching for state in others))
        first.stopping = False
        async with curio.timeout_after(_CONTACT_SECONDS):
            await until(lambda: not any(state.watching for state in others))

    _run(check)


def test_check_of_one_kind_confirms_the_others_in_quiet_times():
    """Guards against a check for each kind where one call confirms all of them."""

    async def check(site):
        await site.start(1)
        before = len(_checks(site))
        await curio.sleep(3.0)
        shortest = min(getattr(_DEADLINES, name).total_seconds() for name in _KINDS.values())
        assert 1 <= len(_checks(site)) - before <= 3.0 / (shortest / 2)

    _run(check)


def _checks(site):
    return [call for call in site.store.calls if "wait_ms=0" in call]


def test_failed_call_is_dated_by_its_own_start_and_not_by_a_check_beside_it():
    """Guards against dating an outage by a call that the store answered."""

    async def check(site):
        site.store.faults.swallow = lambda request: "wait_ms=500" in request.target
        await site.start(1, timedelta(milliseconds=500))
        with logbook.TestHandler() as log:
            async with curio.timeout_after(_CONTACT_SECONDS):
                await until(lambda: _lost_after_milliseconds(log))
        # The watch's own limit is its wait and a second.
        assert all(milliseconds >= 1500 for milliseconds in _lost_after_milliseconds(log))

    _run(check)


def _lost_after_milliseconds(log):
    """Return how long each call waited after which the store counted as lost."""
    lines = (record.message for record in log.records)
    return [int(found[1]) for line in lines if (found := _WATCH_FAILED.search(line))]
