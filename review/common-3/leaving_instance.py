"""An instance that leaves: after SIGTERM it writes nothing more to the store, and serves on."""

import asyncio
import signal

import messages

LEAVING = asyncio.Event()
CALL_STORE = messages.call_store


async def call_store(*arguments):
    """Call the store, or never return once the instance leaves."""
    if LEAVING.is_set():
        await asyncio.Event().wait()
    return await CALL_STORE(*arguments)


signal.signal(signal.SIGTERM, lambda *_: LEAVING.set())
messages.call_store = call_store

import instance  # noqa: E402, F401
