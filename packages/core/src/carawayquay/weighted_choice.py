"""Smooth weighted round robin over the services of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayquay.routes import WeightedService

__all__ = ["WeightedChoice"]

#: Number of choices after which the sequence repeats for weights in percent.
_PERIOD = 100


class WeightedChoice:
    """Chooses the services of one route in proportion to their weights.

    After any number of choices, the count of each service is within one of its exact share.

    :param offset: fraction 0 to 1 of the sequence at which to start; it differs between processes,
        so that many processes with few requests each do not all start with the same service

    >>> from carawayquay.routes import WeightedService
    >>> choice = WeightedChoice((WeightedService("a", 90), WeightedService("b", 10)), 0.5)
    >>> "".join(choice.next() for _ in range(20))
    'aaaaabaaaaaaaaabaaaa'
    """

    def __init__(self, services: tuple[WeightedService, ...], offset: float) -> None:
        self._services = tuple(service for service in services if service.weight > 0) or services
        self._total = sum(service.weight for service in self._services) or 1.0
        self._credits = [0.0] * len(self._services)
        for _ in range(int(offset * _PERIOD)):
            self.next()

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self._services) == 1:
            return self._services[0].service
        best = 0
        for index, service in enumerate(self._services):
            self._credits[index] += service.weight / self._total
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= 1.0
        return self._services[best].service
