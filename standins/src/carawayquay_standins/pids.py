"""Processes of a running site, found by the pid files in its folder."""

from __future__ import annotations

import os
import shlex
import signal
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["running_pids", "stop_site"]

_STOP_SECONDS = 40.0
_POLL_SECONDS = 0.05
_STORE = "store"


def running_pids(folder: Path) -> dict[str, int]:
    """Return the pids of a site's running processes by name.

    A pid file counts only if the process has the recorded command line, since the system may have
    given the pid to another program.
    """
    live_pids = {}
    for file in sorted(folder.glob("*.pid")):
        command = file.with_suffix(".command")
        pid = int(file.read_text())
        if command.exists() and _command_line(pid) == shlex.split(command.read_text()):
            live_pids[file.stem] = pid
    return live_pids


def stop_site(folder: Path, *, now: bool = False) -> tuple[int, int]:
    """Stop entry VMs, then other stand-ins, then the store; kill processes that exceed the timeout.

    :param now: whether to kill all processes immediately
    :returns: number of processes that stopped, and number of processes that were killed
    """
    if now:
        killed = _signal(running_pids(folder), signal.SIGKILL)
        _wait_until_ended(folder, running_pids(folder))
        return 0, killed
    stopped = 0
    vms = {file.stem for file in folder.glob("*.ini")}
    for belongs_to_group in (
        lambda name: name in vms,
        lambda name: name not in vms and name != _STORE,
        lambda name: name == _STORE,
    ):
        pids = {name: pid for name, pid in running_pids(folder).items() if belongs_to_group(name)}
        _signal(pids, signal.SIGCONT)
        stopped += _signal(pids, signal.SIGTERM)
        _wait_until_ended(folder, pids)
    killed = _signal(running_pids(folder), signal.SIGKILL)
    return stopped - killed, killed


def _signal(pids: dict[str, int], signal_number: int) -> int:
    """Send a signal to processes and return the number of those that still existed."""
    sent = 0
    for pid in pids.values():
        try:
            os.kill(pid, signal_number)
            sent += 1
        except ProcessLookupError:
            continue
    return sent


def _wait_until_ended(folder: Path, pids: dict[str, int]) -> None:
    """Wait until processes have ended or the stop timeout expires."""
    deadline = time.monotonic() + _STOP_SECONDS
    while time.monotonic() < deadline and set(pids) & set(running_pids(folder)):
        time.sleep(_POLL_SECONDS)


def _command_line(pid: int) -> list[str]:
    """Return the command line of a process; empty if there is no such process."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return [part.decode() for part in file.read().split(b"\0")[:-1]]
    except OSError:
        return []
