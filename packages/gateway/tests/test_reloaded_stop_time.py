"""A planned stop takes no longer than the settings in force allow."""

from __future__ import annotations

import signal
import time

import curio
import pytest
from gateway_start import GatewayStart, ending

pytestmark = pytest.mark.processes

_STOP_SECONDS = 2.0


def test_planned_stop_ends_within_a_time_that_was_lowered_by_a_reload(tmp_path):
    start = GatewayStart(tmp_path)
    start.path.write_text(start.text)
    process = start.launch()

    async def check():
        await start.until_listening(process)
        start.path.write_text(start.text.replace("stop = 6s", f"stop = {_STOP_SECONDS}s"))
        process.send_signal(signal.SIGHUP)
        await start.until_logged("event=settings-reloaded")
        caller = await curio.open_connection(start.callers.host, start.callers.port)
        process.send_signal(signal.SIGTERM)
        stopped = time.monotonic()
        async with curio.timeout_after(10.0):
            while process.poll() is None:
                await curio.sleep(0.02)
        assert time.monotonic() - stopped < _STOP_SECONDS
        assert process.returncode == 0
        await caller.close()

    with ending(process):
        curio.run(check)
