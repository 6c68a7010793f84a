"""VMs that know only seeds discover each other, and exchange reports and summaries."""

from __future__ import annotations

import random

import attrs
import curio
import pytest
from crash_builders import record_crashes
from curio.network import tcp_server_socket
from gateway_builders import identity, new_state, run

from carawayquay.clock import MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import DomainSummary, short_hash
from carawayquay.membership import Address
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.peers import PeerExchange
from carawayquay_gateway.summaries import SummaryExchange
from carawayquay_wire.reports import encode_summary

_DOMAINS = ("puget-a", "puget-b", "inland-a")

#: Ticks in which seeds are queried, answer, and all VMs discover each other.
_MAX_DISCOVERY_TICKS = 8

_REGIONS = {"puget-a": "puget", "puget-b": "puget", "inland-a": "inland"}


@attrs.define
class _VM:
    state: object
    crashes: CrashCounts
    warm: WarmGossip
    summaries: SummaryExchange
    exchange: PeerExchange
    tasks: list = attrs.field(factory=list)


def _free_port():
    sock = tcp_server_socket("127.0.0.1", 0)
    port = sock.getsockname()[1]
    sock._socket.close()
    return port


def _vm(index, port, seed):
    domain = _DOMAINS[index % len(_DOMAINS)]
    host = f"127.0.8.{index + 1}"
    vm = identity(f"{domain}-{index}", host, domain, _REGIONS[domain])
    state = new_state(clock=MonotonicClock(), vm=vm)
    state.settings = attrs.evolve(
        state.settings,
        callers=Address(host, 1),
        ports=range(port, port + 2),
        domain=domain,
        region=_REGIONS[domain],
        seeds=(Address(seed, 1),),
    )
    crashes, warm = CrashCounts(), WarmGossip()
    summaries = SummaryExchange(state, crashes, warm)
    exchange = PeerExchange(state, crashes, warm, summaries, random.Random(index))
    return _VM(state, crashes, warm, summaries, exchange)


async def _started(count=3):
    """Return running VMs of three domains, whose only seed is the first VM."""
    port = _free_port()
    vms = [_vm(index, port, "127.0.8.1") for index in range(count)]
    for vm in vms:
        for part in (vm.exchange, vm.summaries):
            vm.tasks.append(await curio.spawn(part.run, daemon=True))
    await _until(lambda: all(len(vm.state.peers.live_vms(_now(vm))) == count - 1 for vm in vms))
    return vms


def _live_names(vm):
    return {peer.name for peer in vm.state.peers.live_vms(_now(vm))}


def _now(vm):
    return vm.state.clock.now()


async def _until(condition):
    while not condition():
        await curio.sleep(0.02)


@pytest.mark.parametrize("count", [3, 18])
def test_vms_that_know_one_seed_discover_each_other_within_a_few_ticks(count):
    vms = run(_started, count)
    assert max(vm.exchange.ticks for vm in vms) <= _MAX_DISCOVERY_TICKS


def test_counts_crashes_and_warm_objects_reach_the_others():
    async def check():
        first, *others = await _started()
        first.state.stats("t1").running = 3
        record_crashes(first.crashes, 99, 1, _now(first))
        first.warm.add(short_hash("t1"), 7, _now(first))
        code = short_hash("t1")
        await _until(lambda: all(vm.state.peers.running(code) == 3 for vm in others))
        await _until(lambda: all(vm.crashes.is_suspect(99, _now(vm)) for vm in others))

    run(check)


def test_draining_vm_is_announced_at_once():
    async def check():
        first, *others = await _started()
        first.state.stopping = True
        first.exchange.announce()
        name = first.state.identity.name
        await _until(lambda: all(name not in _live_names(vm) for vm in others))

    run(check)


def _relays(vms, domain, other):
    """Return the relays of a domain towards another domain, in the view of one of its VMs."""
    near = {vm.state.identity.name: vm for vm in vms if vm.state.identity.domain == domain}
    return [near[name] for name in next(iter(near.values())).summaries.relays(other)]


async def _agreed(vms):
    """Wait until the VMs of each domain agree on their relays."""

    def agree():
        seen = {
            (vm.state.identity.domain, other, vm.summaries.relays(other))
            for vm in vms
            for other in _DOMAINS
            if other != vm.state.identity.domain
        }
        return len(seen) == 6 and all(len(found) == 2 for *_, found in seen)

    await _until(agree)


def test_only_relays_send_to_other_domains():
    async def check():
        vms = await _started(12)
        await _agreed(vms)
        await curio.sleep(1.0)
        sent = [vm.state.metrics.dump()["counters"] for vm in vms]
        before = [counts.get('datagrams_sent_total{kind="summary"}', 0) for counts in sent]
        await curio.sleep(2.0)
        for vm, count in zip(vms, before, strict=True):
            counters = vm.state.metrics.dump()["counters"]
            grown = counters.get('datagrams_sent_total{kind="summary"}', 0) - count
            domain = vm.state.identity.domain
            relaying = any(
                vm in _relays(vms, domain, other) for other in _DOMAINS if other != domain
            )
            assert (grown > 0) == relaying

    run(check)


@pytest.mark.parametrize("fault", ["lost", "not-forwarding"])
def test_second_relay_forwards_what_the_first_does_not(fault):
    async def check():
        vms = await _started(12)
        await _agreed(vms)
        first = _relays(vms, "puget-b", "inland-a")[0]
        if fault == "lost":
            for task in first.tasks:
                await task.cancel()
        else:
            first.summaries._relay = lambda *_: None
        sender = next(vm for vm in vms if vm.state.identity.domain == "inland-a")
        sender.state.stats("t1").running = 4
        near = [vm for vm in vms if vm.state.identity.domain == "puget-b" and vm is not first]
        code = short_hash("t1")
        await _until(lambda: all(vm.state.peers.running(code) == 4 for vm in near))

    run(check)


def test_summary_that_reaches_no_relay_is_forwarded_to_one():
    async def check():
        vms = await _started(12)
        await _agreed(vms)
        near = [vm for vm in vms if vm.state.identity.domain == "puget-b"]
        far = identity("inland-a-99", "127.0.8.99", "inland-a", "inland")
        other = next(vm for vm in near if vm not in _relays(vms, "puget-b", "inland-a"))
        data = encode_summary(DomainSummary(far, 1, (), 1, (far,)))
        other.summaries._handle_datagram(data, far.host)
        await _until(lambda: all("inland-a-99" in _live_names(vm) for vm in near))

    run(check)


def test_invalid_datagrams_are_ignored():
    async def check():
        first, second, _ = await _started()
        address = (second.state.settings.callers.host, second.state.settings.ports[0])
        sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        for data in (b"", b"\0" * 9, b"GET / HTTP/1.1\r\n\r\n"):
            await sock.sendto(data, address)
        first.state.stats("t1").running = 5
        await _until(lambda: second.state.peers.running(short_hash("t1")) == 5)

    run(check)
