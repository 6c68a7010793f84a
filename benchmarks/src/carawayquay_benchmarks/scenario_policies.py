"""The policy under test and the baselines beside it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

import attrs

from carawayquay.bandwidth import LinkBudgets
from carawayquay.grant_pool import GrantPool, HeldGrant
from carawayquay.grants import GrantIssuer, GrantRequest
from carawayquay.region_health import HomeRegionHealth
from carawayquay.shifts import Destination, Goal, Move, ShiftBudget, client_fraction
from carawayquay.slow_start import SlowStart
from carawayquay_benchmarks.scenario_world import region_of

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

    from carawayquay.documents import Cap
    from carawayquay_benchmarks.scenario_world import Place, World

__all__ = ["POLICIES", "Arrival", "Policy", "Ride"]


_LONGEST_WAIT = 0.2


@attrs.frozen
class Arrival:
    """A request as it reaches the entry VM of a failure domain.

    :param size: bytes of its answer
    :param waited: seconds that it has waited for a place
    """

    service: str
    domain: str
    client: str
    size: int = 2000
    waited: float = 0.0

    @property
    def home(self) -> str:
        """The home region."""
        return region_of(self.domain)


@attrs.define
class Ride:
    """A request that runs at a place.

    :param waited: seconds before it was sent there
    """

    arrival: Arrival
    place: Place
    waited: float = 0.0
    grant: HeldGrant | None = None


class Policy(Protocol):
    """Chooses a place for each request."""

    def send(self, arrival: Arrival) -> Ride | None:
        """Start a request at a place, or return None if it is refused."""

    def may_wait(self, arrival: Arrival) -> bool:
        """Return whether a request that was refused may be sent again after a while."""

    def finish(self, ride: Ride) -> None:
        """Note that a request has ended."""

    def tick(self) -> None:
        """Let time pass."""


class NearestOnly:
    """Sends each request to its home region, whatever happens."""

    name = "nearest region only"

    def __init__(self, world: World, cap: Cap, warm_up: timedelta) -> None:
        self._world = world

    def send(self, arrival: Arrival) -> Ride | None:
        """Try the own failure domain, then the other one of the region."""
        for domain in sorted(self._world.layout.domains, key=lambda d: d != arrival.domain):
            place = self._world.places[arrival.service, domain]
            if place.region == arrival.home and place.start():
                return Ride(arrival, place)
        return None

    def may_wait(self, arrival: Arrival) -> bool:
        """Refuse at once."""
        return False

    def finish(self, ride: Ride) -> None:
        """Free the slot."""
        ride.place.finish()

    def tick(self) -> None:
        """Do nothing."""


class WeightedByLoad(NearestOnly):
    """Spreads requests over all failure domains by the free slots that they reported."""

    name = "weighted by reported load"

    def __init__(self, world: World, cap: Cap, warm_up: timedelta) -> None:
        super().__init__(world, cap, warm_up)
        self._random = random.Random(1)

    def send(self, arrival: Arrival) -> Ride | None:
        """Try two places drawn by weight."""
        domains = [d for d in self._world.layout.domains if region_of(d) not in self._world.drains]
        reports = [self._world.reports[arrival.service, domain] for domain in domains]
        weights = [report.free + 0.01 if report.alive else 0 for report in reports]
        if not any(weights):
            return None
        for domain in self._random.choices(domains, weights, k=2):
            place = self._world.places[arrival.service, domain]
            if place.start():
                return Ride(arrival, place)
        return None


class Steered:
    """The system's own policy: caps, grants, cold ramps and link budgets."""

    name = "carawayquay"

    def __init__(self, world: World, cap: Cap, warm_up: timedelta) -> None:
        self._world = world
        self._warm_up = warm_up
        start = world.agenda.now
        keys = list(world.places)
        self._budgets = {key: ShiftBudget(cap, start) for key in keys}
        self._reach = {key: HomeRegionHealth() for key in keys}
        self._ramps = {key: SlowStart() for key in keys}
        self._books = {d: GrantIssuer(1, start) for d in world.layout.domains}
        self._wallets = {d: GrantPool() for d in world.layout.domains}
        self._links = {d: LinkBudgets(world.layout.link_bits) for d in world.layout.domains}

    def send(self, arrival: Arrival) -> Ride | None:
        """Try the legs that the shift budget gives."""
        now = self._world.agenda.now
        budget = self._budgets[arrival.service, arrival.domain]
        if arrival.waited == 0:
            budget.count_request(now)
        fraction = client_fraction(arrival.service, arrival.client)
        if self._reach[arrival.service, arrival.domain].probe_due(now):
            destinations = (Destination.HOME, Destination.AWAY_FAILURE)
        else:
            destinations = budget.destinations(fraction, now)
        waited = arrival.waited
        for leg in destinations:
            match leg:
                case Destination.HOME:
                    ride = self._at_home(arrival, budget, waited)
                case Destination.AWAY_PLANNED:
                    ride = self._away(arrival, budget, Move.PLANNED, waited)
                case Destination.AWAY_FAILURE:
                    ride = self._away(arrival, budget, Move.FAILURE, waited)
            if ride is not None:
                return ride
        return None

    def may_wait(self, arrival: Arrival) -> bool:
        """Wait for room, but not for the cap."""
        budget = self._budgets[arrival.service, arrival.domain]
        in_time = arrival.waited < _LONGEST_WAIT
        return in_time and budget.may_move(Move.FAILURE, self._world.agenda.now)

    def finish(self, ride: Ride) -> None:
        """Free the slot and what was held for it."""
        now = self._world.agenda.now
        place, service = ride.place, ride.arrival.service
        place.finish()
        self._ramps[service, place.domain].record_completion(now)
        if ride.grant is not None:
            self._finish_granted(ride, ride.grant, now)
        else:
            self._books[place.domain].finish_local(service, now)
        if place.region != ride.arrival.home:
            links = self._links[ride.arrival.domain]
            links.charge_answer(place.region, service, ride.arrival.size)

    def tick(self) -> None:
        """Move the levels on."""
        now = self._world.agenda.now
        for (service, domain), budget in self._budgets.items():
            budget.advance(self._goal(service, domain), now)

    def _goal(self, service: str, domain: str) -> Goal:
        if region_of(domain) in self._world.drains:
            return Goal.DRAINED
        return Goal.LOST if self._reach[service, domain].lost else Goal.HOME

    def _at_home(self, arrival: Arrival, budget: ShiftBudget, waited: float) -> Ride | None:
        now = self._world.agenda.now
        if not budget.may_return(Move.FAILURE, now):
            return None
        reach = self._reach[arrival.service, arrival.domain]
        places = list(self._places(arrival, arrival.home))
        for place in places:
            ride = self._start(arrival, place, waited)
            if ride is not None:
                reach.record_success()
                return ride
        if not any(place.alive for place in places):
            reach.record_failure(now)
        return None

    def _away(
        self, arrival: Arrival, budget: ShiftBudget, move: Move, waited: float
    ) -> Ride | None:
        now = self._world.agenda.now
        for region in self._world.layout.regions:
            if region == arrival.home or region in self._world.drains:
                continue
            if not budget.may_move(move, now):
                return None
            for place in self._places(arrival, region):
                if not self._links[arrival.domain].take(region, arrival.service, 500, 2, now):
                    break
                ride = self._start(arrival, place, waited)
                if ride is not None:
                    budget.take(move, now)
                    return ride
                self._links[arrival.domain].charge_answer(region, arrival.service, 0)
        return None

    def _places(self, arrival: Arrival, region: str) -> Iterator[Place]:
        """Yield a region's places, the own failure domain first."""
        domains = sorted(self._world.layout.domains, key=lambda d: d != arrival.domain)
        for domain in domains:
            if region_of(domain) == region:
                yield self._world.places[arrival.service, domain]

    def _start(self, arrival: Arrival, place: Place, waited: float) -> Ride | None:
        if place.domain == arrival.domain:
            return self._start_local(arrival, place, waited)
        now = self._world.agenda.now
        wallet = self._wallets[arrival.domain]
        grant = wallet.take(arrival.service, place.domain, now)
        if grant is None:
            if not wallet.may_ask(arrival.service, place.domain, now):
                return None
            waited += 2 * self._world.layout.delay(arrival.domain, place.domain)
            self._ask(arrival, place)
            grant = wallet.take(arrival.service, place.domain, now)
        if grant is None:
            return None
        book = self._books[place.domain]
        limit = self._limit(place)
        if not book.start_granted(grant.id, arrival.service, limit, now) or not place.start():
            wallet.give_back(grant)
            return None
        return Ride(arrival, place, waited, grant)

    def _start_local(self, arrival: Arrival, place: Place, waited: float) -> Ride | None:
        book = self._books[place.domain]
        now = self._world.agenda.now
        if not book.start_local(arrival.service, self._limit(place), now):
            return None
        if not place.start():
            book.finish_local(arrival.service, now)
            return None
        return Ride(arrival, place, waited)

    def _finish_granted(self, ride: Ride, grant: HeldGrant, now: timedelta) -> None:
        self._books[ride.place.domain].finish_granted(grant.id, now)
        self._wallets[ride.arrival.domain].give_back(grant)

    def _ask(self, arrival: Arrival, place: Place) -> None:
        now = self._world.agenda.now
        wallet = self._wallets[arrival.domain]
        wanted = wallet.wanted(arrival.service, place.domain, 1, now)
        request = GrantRequest(arrival.service, arrival.domain, arrival.domain, wanted)
        limit = self._limit(place)
        ramp = self._ramps[arrival.service, place.domain]
        offered = ramp.offered(limit, self._warm_up, now)
        same = place.region == arrival.home
        if place.region in self._world.drains and not same:
            offered = 0
        offer = self._books[place.domain].offer(request, limit, offered, now)
        wallet.mark_asking(arrival.service, place.domain)
        wallet.add(arrival.service, place.domain, offer, now, now)

    def _limit(self, place: Place) -> int:
        return place.slots if place.alive else 0


class NoGrants(Steered):
    """The system's policy without grants and ramps: a place is tried without asking."""

    name = "no grants"

    def _start(self, arrival: Arrival, place: Place, waited: float) -> Ride | None:
        return Ride(arrival, place, waited) if place.start() else None

    def finish(self, ride: Ride) -> None:
        """Free the slot."""
        ride.place.finish()
        if ride.place.region != ride.arrival.home:
            links = self._links[ride.arrival.domain]
            links.charge_answer(ride.place.region, ride.arrival.service, ride.arrival.size)


#: The policy under test first, then the baselines.
POLICIES = (Steered, NearestOnly, WeightedByLoad, NoGrants)
