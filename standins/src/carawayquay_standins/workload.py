"""Callers that read stock and make bookings, and the check of their results against runs."""

from __future__ import annotations

import json
import secrets
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay_standins.caller import CallerStandIn, ResultKind

if TYPE_CHECKING:
    from carawayquay.membership import Address
    from carawayquay_standins.caller import RequestResult
    from carawayquay_standins.layout import Layout

__all__ = ["CheckResult", "Record", "Workload", "check_records"]

#: Rounds of a caller over all services from one round of bookings to the next; others read stock.
_BOOKING_INTERVAL = 5
_THINK_TIME_SECONDS = 0.01
_REQUEST_SECONDS = 10.0
_MAX_PROBLEMS = 10


@attrs.frozen
class Record:
    """One request with its result.

    :param key: idempotency key of a booking, or empty
    :param phase: phase of the demonstration in which the request started
    :param started: start in seconds on the monotonic clock
    :param seconds: time from start to result
    :param answer_matches: whether the answer belongs to this request
    """

    caller: str
    service: str
    path: str
    key: str
    phase: str
    started: float
    seconds: float
    result: RequestResult
    answer_matches: bool


@attrs.frozen
class CheckResult:
    """Check of the results that callers got against the recorded runs.

    :param result_counts: number of requests by kind of result
    :param bookings: number of bookings
    :param retried: number of requests that were sent more than once
    :param problems: messages on violated guarantees, at most ``_MAX_PROBLEMS``
    """

    result_counts: Counter[str]
    bookings: int
    retried: int
    problems: tuple[str, ...]


class Workload:
    """Callers in every failure domain that send one request at a time each.

    :param entries: addresses at which the entry VMs listen for callers, by failure domain
    """

    def __init__(
        self, layout: Layout, entries: dict[str, list[Address]], callers_per_domain: int
    ) -> None:
        self._layout = layout
        self._entries = entries
        self._callers_per_domain = callers_per_domain
        self._stopped = False
        self.phase = ""
        self.records: list[Record] = []

    def stop(self) -> None:
        """Make every caller stop after its current request."""
        self._stopped = True

    async def run(self) -> None:
        """Send requests until ``stop`` is called."""
        all_addresses = [address for found in self._entries.values() for address in found]
        async with curio.TaskGroup() as group:
            for domain, local_addresses in self._entries.items():
                for index in range(self._callers_per_domain):
                    addresses = [
                        *local_addresses,
                        *(a for a in all_addresses if a not in local_addresses),
                    ]
                    await group.spawn(self._run_caller, f"{domain}/{index}", addresses, index)

    async def _run_caller(self, name: str, addresses: list[Address], offset: int) -> None:
        caller = CallerStandIn(addresses)
        services = self._layout.services
        number = 0
        while not self._stopped:
            service = services[(number + offset) % len(services)].name
            booking = (number // len(services)) % _BOOKING_INTERVAL == 0
            await self._send_request(caller, name, service, booking)
            number += 1
            await curio.sleep(_THINK_TIME_SECONDS)
        await caller.close()

    async def _send_request(
        self, caller: CallerStandIn, name: str, service: str, booking: bool
    ) -> None:
        token = secrets.token_hex(8)
        phase = self.phase
        started = time.monotonic()
        if booking:
            key, path, body = f"booking-{token}", f"/bookings/{token}", token.encode()
            result = await caller.request(service, "POST", path, body, key, _REQUEST_SECONDS)
        else:
            key, path = "", f"/stock/{token}"
            result = await caller.request(service, "GET", path, seconds=_REQUEST_SECONDS)
        seconds = time.monotonic() - started
        answer_matches = _answer_matches(result, path, token if booking else "")
        self.records.append(
            Record(name, service, path, key, phase, started, seconds, result, answer_matches)
        )


def check_records(records: list[Record], runs: list[dict[str, Any]]) -> CheckResult:
    """Check the results that callers got against the runs on the targets.

    :param runs: recorded runs; those of killed targets are missing
    """
    by_key = Counter(run["key"] for run in runs if run["key"])
    problems = []
    for record in records:
        problem = _find_problem(record, by_key[record.key] if record.key else 0)
        if problem:
            problems.append(f"{record.service} request of {record.caller}: {problem}")
    return CheckResult(
        Counter(record.result.kind.value for record in records),
        sum(bool(record.key) for record in records),
        sum(record.result.attempts > 1 for record in records),
        tuple(problems[:_MAX_PROBLEMS]),
    )


def _find_problem(record: Record, runs: int) -> str | None:
    """Return a message on the guarantee that was violated, or None.

    :param runs: number of runs with the key of the request
    """
    if runs > 1:
        return f"booking {record.key} ran {runs} times"
    match record.result.kind:
        case ResultKind.NO_ANSWER:
            return "neither answered nor refused"
        case ResultKind.ANSWERED if not record.answer_matches:
            return "answer belongs to another request or is incomplete"
        case ResultKind.ANSWERED if record.key and runs == 0:
            return f"booking {record.key} was answered but has no run"
        case ResultKind.NOT_RUN if runs and not record.result.maybe_run:
            return f"booking {record.key} ran although it was reported as not run"
    return None


def _answer_matches(result: RequestResult, path: str, token: str) -> bool:
    """Return whether an answer is complete and belongs to the request."""
    if result.response is None or result.response.status != 200:
        return False
    try:
        value = json.loads(result.response.body)
    except ValueError:
        return False
    return value.get("path") == path and value.get("echo") == token
