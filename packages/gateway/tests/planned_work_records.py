"""Records of what callers and targets saw of each request, and the rules they are judged by."""

from __future__ import annotations

import time

import attrs

#: Time from its last byte after which a request that was read may no longer be left unanswered.
_UNANSWERED_SECONDS = 0.2

#: Time from a stop signal until which a request may still be at work when the process ends.
_LAST_TAKEN_SECONDS = 3.0

#: Time from a stop signal after which work that goes on may be cut by the end of the process.
_LATE_WORK_SECONDS = 5.0


@attrs.define
class RequestRecord:
    """What was seen of one request; times are monotonic seconds.

    :param vm: the VM to which it was sent
    :param reused: whether its connection had carried a request before
    :param sent_at: when its last byte was sent
    :param arrived_at: when a target had read it whole, or None
    :param finished_at: when a target had answered it, or None
    :param broken_off: whether a target that had it broke off
    :param status: the status of its complete answer, or None
    :param end: how its connection ended before an answer: fin, reset or timeout
    :param ended_at: when its answer was complete, or its connection ended
    """

    request_id: str
    vm: str
    reused: bool
    sent_at: float
    arrived_at: float | None = None
    finished_at: float | None = None
    broken_off: bool = False
    status: int | None = None
    end: str = ""
    ended_at: float | None = None


class Journal:
    """All requests of a run, and the stop signals of its VMs."""

    def __init__(self):
        self.requests = {}
        self.failures = []
        self._stops = {}

    def add(self, record):
        """Add a request that was sent."""
        self.requests[record.request_id] = record

    def note_arrival(self, request_id):
        """Record that a target has read a request whole; return its record."""
        record = self.requests[request_id]
        record.arrived_at = time.monotonic()
        return record

    def note_stop(self, vm):
        """Record that a VM gets a stop signal now."""
        self._stops.setdefault(vm, []).append(time.monotonic())

    def counts(self):
        """Return the number of requests by the way they ended."""
        found = {}
        for record in self.requests.values():
            passed_on = "passed on" if record.arrived_at else "not passed on"
            how = record.status or f"{record.end}, {passed_on}"
            found[how] = found.get(how, 0) + 1
        return found

    def violations(self):
        """Return a text for each request and each process that ended as it must not."""
        found = list(self.failures)
        for record in self.requests.values():
            if record.status is not None:
                continue
            if record.end == "timeout":
                found.append(f"neither answered nor closed: {record}")
            elif record.arrived_at is not None and not record.broken_off:
                if not self._may_be_cut(record):
                    found.append(f"passed on, no answer: {record}")
            elif record.arrived_at is None and _read_and_left(record):
                found.append(f"read, no answer: {record}")
        return found

    def _may_be_cut(self, record):
        """Return whether a request's work went on until late in a stop that it came before."""
        return any(
            record.sent_at <= stop + _LAST_TAKEN_SECONDS
            and stop + _LATE_WORK_SECONDS <= record.ended_at
            and (record.finished_at is None or record.finished_at > stop + _LATE_WORK_SECONDS)
            for stop in self._stops.get(record.vm, ())
        )


def _read_and_left(record):
    """Return whether a connection ended late without a reset, which follows unread bytes."""
    return record.end == "fin" and record.ended_at - record.sent_at > _UNANSWERED_SECONDS
