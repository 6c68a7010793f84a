"""Signals that request a graceful stop are not lost."""

from __future__ import annotations

import signal

import curio
import pytest

from carawayquay_wire.signals import StopSignal


@pytest.fixture(autouse=True)
def restore_handlers():
    saved_handlers = {
        number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)
    }
    yield
    for number, handler in saved_handlers.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_that_interrupts_a_running_task_is_not_lost(number):
    async def go():
        stop_signal = StopSignal()
        waiting = await curio.spawn(stop_signal.wait)
        await curio.sleep(0)
        signal.raise_signal(number)
        async with curio.timeout_after(1):
            await waiting.join()

    curio.run(go)
