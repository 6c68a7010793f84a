"""A small HTTP/1.1 reader and writer for clients, instances and the operator, on asyncio."""

import asyncio
import json


class Message:
    """A request or an answer: its first line, its headers in lower case, its body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """The status of an answer."""
        return int(self.first.split()[1])


async def read_message(reader):
    """Read a message whose body has a length or ends with the connection.

    :raises EOFError: if the connection ends before the message is complete
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(lines[0], headers, body)


def encode(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(host, port, first, headers, body=b"", seconds=3.0):
    """Send a request on a new connection and return the answer; None if there was none."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(encode(first, headers, body))
            return await read_message(reader)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_store(address, method, path, value=None, seconds=3.0):
    """Call the platform's store and return the status, 0 without an answer."""
    host, port = address
    body = b"" if value is None else json.dumps(value).encode()
    headers = {"Host": "store", "Content-Type": "application/json"}
    answer = await exchange(host, port, f"{method} {path} HTTP/1.1", headers, body, seconds)
    return answer.status if answer is not None else 0
