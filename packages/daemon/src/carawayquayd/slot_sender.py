"""Sends requests to targets on slots that were taken for them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.slots import CANCEL_GRACE, Ticket
from carawayquay_wire.http_client import HttpError
from carawayquayd.target_client import IDEMPOTENT_METHODS, TargetClient, build_http_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.documents import Document, Target
    from carawayquay.requests import Forward
    from carawayquay.shedding import RunTimeMeans
    from carawayquay_wire.http import HttpResponse
    from carawayquayd.state import NodeState
    from carawayquayd.target_state import TargetState

__all__ = ["SlotSender", "TakenSlot"]

#: Silence after which an idempotent request is sent again on a new connection: the larger of this
#: minimum and the service's mean run time multiplied by the factor.
_MIN_SILENCE_TIMEOUT = timedelta(milliseconds=500)
_SILENCE_TIMEOUT_FACTOR = 10


@attrs.frozen
class TakenSlot:
    """A slot taken on a target, with the ticket that gives it back."""

    target: Target
    ticket: Ticket


class SlotSender:
    """Sends requests and gives their slots back, at once or when they can no longer run.

    :param run_times: run times of requests, which this object records
    :param wake: lets the first waiting request of a service try again to take a slot
    """

    def __init__(
        self,
        state: NodeState,
        targets: TargetState,
        run_times: RunTimeMeans,
        wake: Callable[[Document], Awaitable[None]],
    ) -> None:
        self._state = state
        self._targets = targets
        self._run_times = run_times
        self._wake = wake
        self._client = TargetClient()

    async def send(
        self, document: Document, taken: TakenSlot, forward: Forward, deadline: timedelta
    ) -> HttpResponse:
        """Send a request, and once more on a new connection if a reused one fails or is silent.

        A retry needs a slot and retry budget, and the request must be idempotent or unsent.

        :raises HttpError: if the target gives no complete answer in time
        """
        retries = self._targets.retries
        retries.earn()
        idempotent = forward.method in IDEMPOTENT_METHODS
        reused_timeout = None
        if idempotent and retries.tokens >= 1:
            reused_timeout = self._silence_timeout(document)
        try:
            return await self._send_once(
                document, taken, forward, deadline, reused_timeout=reused_timeout
            )
        except HttpError as failure:
            safe_to_retry = idempotent or not failure.sent
            if failure.fresh or not safe_to_retry or not retries.spend():
                raise
            retry_ticket = self._targets.slots.take(taken.target.name, self._state.clock.now())
            if retry_ticket is None:
                raise
        return await self._send_once(
            document, TakenSlot(taken.target, retry_ticket), forward, deadline, fresh=True
        )

    async def _send_once(
        self,
        document: Document,
        taken: TakenSlot,
        forward: Forward,
        deadline: timedelta,
        *,
        reused_timeout: timedelta | None = None,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request once and release its slot, or hold it while the request may still run.

        :param reused_timeout: longest silence on a reused connection
        :param fresh: whether to open a new connection in any case
        :raises HttpError: if there is no complete answer in time
        """
        target, ticket = taken.target, taken.ticket
        started = self._state.clock.now()
        linger_until = None
        request = build_http_request(forward, ticket, self._targets.clocks.get(target.name))
        try:
            response = await self._client.send(
                target, request, deadline - started, reused_timeout=reused_timeout, fresh=fresh
            )
            self._run_times.record(forward.service, self._state.clock.now() - started)
            return response
        except HttpError as failure:
            if failure.sent:
                linger_until = self._state.clock.now() + CANCEL_GRACE
                if failure.timed_out:
                    linger_until = ticket.start_by + document.timeout + CANCEL_GRACE
            raise
        except curio.CancelledError:
            linger_until = self._state.clock.now() + CANCEL_GRACE
            raise
        finally:
            self._targets.slots.give_back(ticket, linger_until)
            await self._wake(document)

    def _silence_timeout(self, document: Document) -> timedelta:
        return max(
            _MIN_SILENCE_TIMEOUT,
            self._run_times.mean_run_time(document.service) * _SILENCE_TIMEOUT_FACTOR,
        )
