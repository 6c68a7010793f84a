"""A refusal that a target sends once more belongs to no other request."""

from __future__ import annotations

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import answer_bytes, configuration, new_forwarder, request, route, run, target

NON_IDEMPOTENT = configuration(route(kind="non_idempotent"))
IDEMPOTENT = configuration(route())


class _RepeatingTarget:
    """Target that refuses its first request, and repeats that refusal on the same connection.

    :param repeated: the repeated refusals
    :param answer: the answer to the second request, or None to send none
    """

    def __init__(self, refusal, repeated, answer):
        self._refusal = refusal
        self._repeated = repeated
        self._answer = answer
        self.ids = []

    async def start(self):
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, self._serve, daemon=True)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    async def _serve(self, sock, _):
        refused = False
        while data := await sock.recv(65536):
            line = next(it for it in data.split(b"\r\n") if it.lower().startswith(b"request-id"))
            self.ids.append(line.split(b":")[1].strip().decode())
            if len(self.ids) == 1:
                await sock.sendall(self._refusal)
                refused = True
                continue
            if refused:
                await sock.sendall(self._repeated)
            await curio.sleep(0.05)
            if self._answer is not None:
                await sock.sendall(self._answer)


def _refusal(status, request_id):
    headers = {} if status == 421 else {"not_executed": "1"}
    return answer_bytes(status, b"", request_id=request_id, **headers)


async def _second_of_two(status, copy_id, copies, answer, configured):
    refusal = _refusal(status, "a1")
    repeating = _RepeatingTarget(refusal, copies * _refusal(status, copy_id), answer)
    own = await repeating.start()
    forwarder, state = new_forwarder([("t0", target(own))], configured)
    await forwarder.handle(request(method="POST"))
    state.stats("t0").ejected_until = state.clock.now()
    second = await forwarder.handle(request(method="POST", request_id="a2", left_ms=600))
    return second, repeating.ids


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("copy_id", ["a1", None])
@pytest.mark.parametrize("copies", [1, 2])
def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(status, copy_id, copies):
    answer = answer_bytes(200, b"booked", request_id="a2")
    second, ids = run(_second_of_two, status, copy_id, copies, answer, NON_IDEMPOTENT)
    assert (second.status, second.body) == (200, b"booked")
    assert ids.count("a2") == 1


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("copy_id", ["a1", None])
def test_request_with_only_a_repeated_refusal_is_not_reported_as_not_run(status, copy_id):
    second, ids = run(_second_of_two, status, copy_id, 1, None, NON_IDEMPOTENT)
    assert second.status in (502, 504)
    assert ids.count("a2") == 1
