"""Admission control for the targets that this entry VM owns, with grants for other domains."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.grants import GrantIssuer, GrantOffer, GrantRequest, region_limit
from carawayquay.slow_start import SlowStart

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.documents import Document
    from carawayquay.membership import EntryVM
    from carawayquay.requests import Forward, Forwarded
    from carawayquayd.state import NodeState
    from carawayquayd.targets import TargetRunner

__all__ = ["AdmissionController"]


class AdmissionController:
    """Keeps local requests and grants together within the concurrency limit of owned targets."""

    def __init__(self, state: NodeState, runner: TargetRunner) -> None:
        self._state = state
        self._runner = runner
        self._grant_issuer = GrantIssuer(state.incarnation, state.clock.now())
        self._ramps: dict[str, SlowStart] = {}

    def dump(self) -> dict[str, Any]:
        """Return the limits and their use by service, ready for JSON."""
        now = self._state.clock.now()
        return {
            document.service: {
                "limit": self.limit(document),
                "offered": self._offerable_slots(document),
                "local": self._grant_issuer.local_running(document.service),
                "granted": self._grant_issuer.granted_running(document.service),
                "committed": self._grant_issuer.committed(document.service, now),
            }
            for document in (held.document for held in self._state.documents)
        }

    def may_own(self, vm: EntryVM) -> bool:
        """Return whether a VM may own targets; VMs of other failure domains always may."""
        return self._runner.may_own(vm)

    def limit(self, document: Document) -> int:
        """Return how many requests of a service the owned targets may run at once."""
        target_limits = self._runner.target_limits(document)
        return min(sum(target_limits.values()), region_limit(document, target_limits))

    def free(self, document: Document) -> int:
        """Return how many more local requests of a service would be admitted now."""
        service = document.service
        committed = self._grant_issuer.committed(service, self._state.clock.now())
        return max(0, self.limit(document) - self._grant_issuer.local_running(service) - committed)

    async def run(self, forward: Forward, left: timedelta) -> Forwarded:
        """Run a request on an owned target, if the concurrency limit and its grant allow it.

        :param left: time until the deadline
        :raises RequestError: if the request is not admitted, or the target fails
        """
        document = self._state.document(forward.service).document
        started = False

        def admit() -> bool:
            nonlocal started
            started = started or self._start(forward, document)
            return started

        if self.limit(document) == 0 or (forward.grant and not admit()):
            raise self._no_capacity_error(document)
        try:
            answer = await self._runner.run(forward, left, admit)
            self._ramp(forward.service).record_completion(self._state.clock.now())
            return answer
        finally:
            if started:
                self._finish(forward)
                await self._runner.wake(document)

    async def offer(self, request: GrantRequest) -> GrantOffer:
        """Answer a request for slots from another failure domain.

        :raises RequestError: if the service has no document here
        """
        document = self._state.document(request.service).document
        offered = (
            self._offerable_slots(document) if self._may_offer(document, request.domain) else 0
        )
        return self._grant_issuer.offer(
            request, self.limit(document), offered, self._state.clock.now()
        )

    def _start(self, forward: Forward, document: Document) -> bool:
        """Count a request as started if its grant or the limit allows it; return whether so."""
        now = self._state.clock.now()
        limit = self.limit(document)
        if forward.grant:
            return self._grant_issuer.start_granted(forward.grant, forward.service, limit, now)
        return self._grant_issuer.start_local(forward.service, limit, now)

    def _no_capacity_error(self, document: Document) -> RequestError:
        name = self._state.settings.name
        limit = self.limit(document)
        kind = ErrorKind.OVERLOADED if limit else ErrorKind.NO_TARGET
        detail = f'VM "{name}" has no free slot for service "{document.service}", limit {limit}'
        return RequestError(kind, detail)

    def _finish(self, forward: Forward) -> None:
        now = self._state.clock.now()
        if forward.grant:
            self._grant_issuer.finish_granted(forward.grant, now)
        else:
            self._grant_issuer.finish_local(forward.service, now)

    def _may_offer(self, document: Document, domain: str) -> bool:
        """Return whether slots may be offered to a failure domain at all."""
        region = self._state.settings.region
        same_region = self._state.directory.region(domain) == region
        return not self._state.stopping and (same_region or document.accepts(region))

    def _offerable_slots(self, document: Document) -> int:
        limit = self.limit(document)
        ramp = self._ramp(document.service)
        return ramp.offered(limit, document.warm_up, self._state.clock.now())

    def _ramp(self, service: str) -> SlowStart:
        return self._ramps.setdefault(service, SlowStart())
