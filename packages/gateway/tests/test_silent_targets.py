"""A connection to a target that falls silent, where keep-alive shows nothing, costs one request."""

from __future__ import annotations

import curio
from gateway_builders import ScriptedTarget, answer_bytes, new_forwarder, request, run, target
from silent_link import SilentLink

_HOST = "127.9.45.1"

#: The time that callers leave for a request, and what its answer may come later by.
_LEFT_MILLISECONDS = 600
_SLACK_SECONDS = 0.3


def test_request_on_a_silent_connection_ends_in_time_and_the_next_one_is_served():
    """Guards against relying on keep-alive probes to end a request to a target."""

    async def check():
        stub = await ScriptedTarget(answer_bytes()).start()
        link = SilentLink(_HOST, stub.address)
        through = await link.listen()
        forwarder, _ = new_forwarder([("t1", target(str(through)))])
        first = request(left_ms=_LEFT_MILLISECONDS)
        assert (await forwarder.handle(first)).status == 200
        link.silence()
        async with curio.timeout_after(_LEFT_MILLISECONDS / 1000 + _SLACK_SECONDS):
            assert (await forwarder.handle(first)).status == 504
        assert (await forwarder.handle(first)).status == 200
        assert link.connections == 2

    run(check)
