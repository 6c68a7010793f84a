"""Chooses the service of each request among those of its route, by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.weighted_choice import WeightedChoice

if TYPE_CHECKING:
    from random import Random

    from carawayquay.routes import Configuration, Route

__all__ = ["ServiceChoices"]


class ServiceChoices:
    """The weighted choices of the routes that requests used."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._choices: dict[str, tuple[Route, WeightedChoice]] = {}
        self._version: int | None = None

    def __len__(self) -> int:
        return len(self._choices)

    def next(self, route: Route, configuration: Configuration) -> str:
        """Return the service of the next request on a route.

        :param configuration: the one in force; routes that it does not have are forgotten
        """
        self._forget_removed_routes(configuration)
        known = self._choices.get(route.name)
        if known is not None and known[0].services == route.services:
            return known[1].next()
        choice = WeightedChoice(route.services, self._random.random())
        self._choices[route.name] = (route, choice)
        return choice.next()

    def _forget_removed_routes(self, configuration: Configuration) -> None:
        if configuration.version == self._version:
            return
        self._version = configuration.version
        names = {route.name for route in configuration.routes}
        for name in self._choices.keys() - names:
            del self._choices[name]
