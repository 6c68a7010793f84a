"""A proxy before the store, behind which one write is done late and not answered."""

import asyncio

from messages import encode, read_message


class LateStore:
    """Passes calls to the store; the first create is done some seconds later, without an answer.

    :param late_seconds: how much later, or None to pass it on like the others
    :param note: called with a text when that create has been done
    """

    def __init__(self, address, store, late_seconds, note):
        self.address = address
        self._store = store
        self._late_seconds = late_seconds
        self._note = note

    async def start(self):
        """Begin to accept calls."""
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                if call.first.startswith("POST") and self._late_seconds is not None:
                    seconds, self._late_seconds = self._late_seconds, None
                    await asyncio.sleep(seconds)
                    answer = await self._pass(call)
                    self._note(f"the store has done the late create: {answer.status}")
                    return
                answer = await self._pass(call)
                writer.write(encode(answer.first, answer.headers, answer.body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _pass(self, call):
        reader, writer = await asyncio.open_connection(*self._store)
        headers = {key: it for key, it in call.headers.items() if key != "content-length"}
        writer.write(encode(call.first, headers, call.body))
        answer = await read_message(reader)
        writer.close()
        answer.headers.pop("content-length", None)
        return answer
