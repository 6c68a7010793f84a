"""Crowds of clients that send many requests ahead and leave the answers unread."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import subprocess
import sys
import threading
import time
from datetime import timedelta
from pathlib import Path

from carawayquay.forwarding import CallerRequest
from carawayquay_gateway.peer_messages import PeerRequest, encode_request

__all__ = ["UnreadCrowd", "peak_mb", "unread_mb"]

_BYTES_IN_MB = 1_000_000
_RECEIVE_BUFFER_BYTES = 4096
_READ_BYTES = 262_144
_RESET_BYTES = 16_384
_REOPEN_SECONDS = 0.005

#: Address from which the crowds connect, another than that of ordinary clients.
_CROWD_HOST = "127.9.46.1"

_LONG_PATH_BYTES = 6000

#: On close, reset the connection instead of delivering what is left.
_RESET = struct.pack("ii", 1, 0)


def _requests(count, path, *, headers=b"", method=b"GET", body=b""):
    """Return pipelined requests; ``%d`` in the path or the headers becomes the request's number."""
    head = method + b" " + path + b" HTTP/1.1\r\nhost: stones.example\r\n" + headers
    if body:
        head += b"content-length: %d\r\n" % len(body)
    message = head + b"\r\n" + body
    if b"%d" not in message:
        return message * count
    return b"".join(message.replace(b"%d", b"%d" % number) for number in range(count))


_CALL_HEADERS = b"request-id: e%d\r\ndeadline-ms: 3000\r\n"
_KEY_HEADERS = _CALL_HEADERS + b"affinity-key: invented-%d\r\n"


def _peer_requests(count, path):
    call = CallerRequest("e1", "stones.example", "GET", path, "", timedelta(seconds=3), (), b"")
    second = timedelta(seconds=1)
    sent = encode_request(
        PeerRequest(call, "inland-a-1", 1, "granite", second, second, frozenset())
    )
    headers = b"".join(name + b": " + value + b"\r\n" for name, value in sent.headers)
    return _requests(count, path.encode(), headers=_CALL_HEADERS + headers)


#: What each connection sends, by the name of the behaviour.
_BEHAVIOURS = {
    "small": lambda: _requests(10_000, b"/reports/small", headers=_CALL_HEADERS),
    "large": lambda: _requests(10_000, b"/reports/large", headers=_CALL_HEADERS),
    "no route": lambda: _requests(20_000, b"/none/%d", headers=_CALL_HEADERS),
    "no route, long paths": lambda: _requests(2000, b"/none/%d/" + b"p" * _LONG_PATH_BYTES),
    "no route, large heads": lambda: _requests(
        2000, b"/none/%d", headers=b"x-filler: " + b"f" * _LONG_PATH_BYTES + b"\r\n"
    ),
    "invented keys": lambda: _requests(10_000, b"/reports/%d", headers=_KEY_HEADERS),
    "bodies": lambda: _requests(
        64, b"/reports/small", headers=_CALL_HEADERS, method=b"POST", body=b"b" * 1_000_000
    ),
    "bodies, no route": lambda: _requests(
        64, b"/none/%d", headers=_CALL_HEADERS, method=b"POST", body=b"b" * 1_000_000
    ),
    "ready": lambda: _requests(40_000, b"/ready"),
    "ready, other paths": lambda: _requests(20_000, b"/none/%d"),
    "lookups": lambda: _requests(20_000, b"/resolve?domain=puget-a"),
    "bytes after a bad request": lambda: b"BAD\r\n\r\n" + b"x" * 64_000_000,
    "dump": lambda: _requests(10_000, b"/dump"),
    "metrics": lambda: _requests(10_000, b"/metrics"),
    "requests of VMs": lambda: _peer_requests(5000, "/reports/large"),
    "huge requests of VMs": lambda: _peer_requests(5000, "/reports/huge"),
    "requests of VMs, no route": lambda: _peer_requests(5000, "/none/x"),
    "daemon lookups": lambda: _requests(20_000, b"/lookup/sledway"),
    "daemon requests": lambda: _requests(10_000, b"/services/sledway/%d"),
    "daemon, no path": lambda: _requests(20_000, b"/none/%d"),
    "daemon, no service": lambda: _requests(20_000, b"/services/none-%d/x"),
    "daemon state": lambda: _requests(10_000, b"/state"),
}


class UnreadCrowd:
    """Connections of one behaviour in a process of their own; those that end are opened again.

    :param connections: the number of connections that are open at once
    :param manner: ``unread``, ``read`` for clients that take all answers, or ``reset`` for those
        that reset each connection soon after they sent
    """

    def __init__(self, address, behaviour, connections, manner="unread"):
        arguments = (address.host, address.port, behaviour, connections, manner)
        self._process = subprocess.Popen([sys.executable, __file__, *map(str, arguments)])

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()


def peak_mb(pid):
    """Return the most resident memory that a process has had, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024 / _BYTES_IN_MB


def unread_mb(pid):
    """Return the bytes that a process's TCP sockets have received and not read, in MB."""
    inodes = set()
    for entry in os.scandir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry.path))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        listening = fields[3] == "0A"
        if not listening and f"socket:[{fields[9]}]" in inodes:
            total += int(fields[4].partition(":")[2], 16)
    return total / _BYTES_IN_MB


def _connect(address, manner):
    sock = socket.socket()
    if manner != "read":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.bind((_CROWD_HOST, 0))
    sock.connect(address)
    return sock


def _read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(_READ_BYTES):
            pass


def _play_connection(address, data, manner):
    """Send the data again and again; open the connection again when it ends."""
    while True:
        with contextlib.suppress(OSError), _connect(address, manner) as sock:
            if manner == "read":
                threading.Thread(target=_read_all, args=(sock,), daemon=True).start()
            if manner == "reset":
                sock.send(data[:_RESET_BYTES])
                continue
            while True:
                sock.sendall(data)
        time.sleep(_REOPEN_SECONDS)


def _play(host, port, behaviour, connections, manner):
    arguments = ((host, int(port)), _BEHAVIOURS[behaviour](), manner)
    for _ in range(int(connections)):
        threading.Thread(target=_play_connection, args=arguments, daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    _play(*sys.argv[1:])
