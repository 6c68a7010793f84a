"""A VM that reaches no target draws no conclusions about targets and requests from it."""

from __future__ import annotations

import socket

import curio
import pytest
from curio.io import Socket
from cut_off_fleet import CutOffFleet
from gateway_builders import configuration, new_forwarder, request, route, run, target
from gateway_site import free_ports

from carawayquay.request_fingerprints import request_fingerprint
from carawayquay_platform import headers

#: Time in which a broken call is judged, and that for which a request is in flight.
_JUDGE_SECONDS = 1.5
_WORK_SECONDS = 0.1


class _CutTarget:
    """Target whose connections are reset, and whose port refuses new ones, once it is cut off."""

    def __init__(self):
        self._listening = Socket(socket.create_server(("127.0.0.1", 0)))
        self._connections = []
        self.address = "{}:{}".format(*self._listening.getsockname())

    async def serve(self):
        """Accept connections and never answer on them."""
        while True:
            sock, _ = await self._listening.accept()
            self._connections.append(sock)

    async def cut(self, serving):
        """Cut it off from the VM."""
        await serving.cancel()
        await self._listening.close()
        for sock in self._connections:
            await sock.close()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_cut_that_resets_connections_is_not_counted_as_a_crash_by_the_request(kind):
    async def go():
        stubs = [_CutTarget() for _ in range(3)]
        serving = [await curio.spawn(stub.serve, daemon=True) for stub in stubs]
        named = [(f"t{index}", target(stub.address)) for index, stub in enumerate(stubs)]
        forwarder, state = new_forwarder(named, configuration(route(kind=kind)))
        sent = request()
        handling = await curio.spawn(forwarder.handle, sent)
        await curio.sleep(_WORK_SECONDS)
        for stub, task in zip(stubs, serving, strict=True):
            await stub.cut(task)
        await handling.join()
        await curio.sleep(_JUDGE_SECONDS)
        fingerprint = request_fingerprint(headers.parse_request(sent))
        now = state.clock.now()
        assert not forwarder._crashes.is_suspect(fingerprint, now)
        assert not any(state.targets.cold(name, now) for name, _ in named)

    run(go)


@pytest.mark.parametrize("seconds", [0.05, 0.2, 0.35])
def test_cut_that_ends_before_it_is_noticed_marks_no_target_cold_and_counts_no_crash(seconds):
    async def check():
        port = free_ports("127.9.60.1", 1)[0]
        fleet = CutOffFleet(["puget-a"], port=port, network="127.9.60", work_seconds=0.3)
        await fleet.start()
        [vm] = fleet.vms
        sent = [request(path=f"/reports/{n}", request_id=f"a{n}") for n in range(8)]
        tasks = [await curio.spawn(vm.forwarder.handle, each) for each in sent]
        await curio.sleep(_WORK_SECONDS)
        await vm.network.cut("reset")
        await curio.sleep(seconds)
        vm.network.heal()
        for task in tasks:
            await task.join()
        await curio.sleep(_JUDGE_SECONDS)
        now = vm.state.clock.now()
        prints = [request_fingerprint(headers.parse_request(each)) for each in sent]
        assert not any(vm.crashes.is_suspect(each, now) for each in prints)
        assert not any(vm.state.targets.cold(stub.name, now) for stub in fleet.targets)

    run(check)
