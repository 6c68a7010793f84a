"""Other tasks run while input that never pauses is discarded."""

from __future__ import annotations

import curio

from carawayquay_wire.socket_closing import discard_input

_READS = 1000


class _EndlessInput:
    """A socket from which each read returns at once, until a number of reads."""

    def __init__(self):
        self._reads = 0

    async def recv(self, _):
        self._reads += 1
        return b"x" if self._reads < _READS else b""


def test_client_that_sends_without_a_pause_after_a_refusal_holds_up_no_other_task():
    async def go():
        discarding = await curio.spawn(discard_input, _EndlessInput())
        await curio.sleep(0)
        assert not discarding.terminated
        await discarding.join()

    curio.run(go)
