from __future__ import annotations

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from steering_builders import grant_request, limited_document, seconds

from carawayquay.grant_pool import GrantPool, HeldGrant
from carawayquay.grants import GRANT_LIFETIME, GrantIssuer, GrantOffer, GrantRequest, region_limit

SERVICE = "sledway"
STARTED = seconds(0)
NOW = seconds(10)


def test_grants_and_local_requests_share_one_limit():
    issuer = GrantIssuer(1, STARTED)
    for _ in range(3):
        assert issuer.start_local(SERVICE, 7, NOW)
    offer = issuer.offer(grant_request(wanted=9), 7, 7, NOW)
    assert offer.count == 4
    assert not issuer.start_local(SERVICE, 7, NOW)
    issuer.finish_local(SERVICE, NOW)
    assert issuer.start_local(SERVICE, 7, NOW)


def test_reserve_follows_the_average_of_local_requests():
    issuer = GrantIssuer(1, STARTED)
    for second in range(5, 10):
        for _ in range(4):
            assert issuer.start_local(SERVICE, 9, seconds(second))
        for _ in range(4):
            issuer.finish_local(SERVICE, seconds(second + 0.9))
    assert issuer.offer(grant_request(wanted=9), 9, 9, NOW).count < 6


@pytest.mark.parametrize("offered", [1, 2])
def test_scarce_slots_are_all_granted_though_many_domains_ask(offered):
    issuer = GrantIssuer(1, STARTED)
    domains = ["inland-a", "inland-b", "willamette-a"]
    for domain in domains:
        issuer.offer(grant_request(domain), 9, 0, NOW)
    counts = [issuer.offer(grant_request(domain), 9, offered, NOW).count for domain in domains]
    assert sum(counts) == offered


def test_unused_grant_is_available_again_after_expiry():
    issuer = GrantIssuer(1, STARTED)
    assert issuer.offer(grant_request(wanted=7), 7, 7, NOW).count == 7
    assert not issuer.start_local(SERVICE, 7, NOW)
    assert issuer.start_local(SERVICE, 7, NOW + GRANT_LIFETIME)


def test_request_that_outlives_its_grant_is_counted_until_it_ends():
    issuer = GrantIssuer(1, STARTED)
    offer = issuer.offer(grant_request(wanted=2), 2, 2, NOW)
    assert issuer.start_granted(offer.id, SERVICE, 2, NOW)
    after = NOW + GRANT_LIFETIME
    assert issuer.committed(SERVICE, after) == 1
    issuer.finish_granted(offer.id, after)
    assert issuer.committed(SERVICE, after) == 0


def test_grant_admits_no_more_than_its_count_and_nothing_after_its_end():
    issuer = GrantIssuer(1, STARTED)
    offer = issuer.offer(grant_request(wanted=1), 4, 4, NOW)
    assert issuer.start_granted(offer.id, SERVICE, 4, NOW)
    assert not issuer.start_granted(offer.id, SERVICE, 4, NOW)
    issuer.finish_granted(offer.id, NOW)
    assert not issuer.start_granted(offer.id, SERVICE, 4, NOW + GRANT_LIFETIME)
    assert not issuer.start_granted(offer.id + 1, SERVICE, 4, NOW)


def test_lowered_limit_admits_nothing_more_under_an_unexpired_grant():
    issuer = GrantIssuer(1, STARTED)
    offer = issuer.offer(grant_request(wanted=3), 4, 4, NOW)
    assert issuer.start_granted(offer.id, SERVICE, 1, NOW)
    assert not issuer.start_granted(offer.id, SERVICE, 1, NOW)


def test_restarted_issuer_waits_for_the_expiry_of_earlier_grants():
    issuer = GrantIssuer(1, NOW)
    assert issuer.offer(grant_request(), 4, 4, NOW + GRANT_LIFETIME).count == 0
    assert issuer.offer(grant_request(), 4, 4, NOW + GRANT_LIFETIME * 1.2).count > 0


def test_spare_slots_are_divided_among_the_domains_that_ask():
    issuer = GrantIssuer(1, STARTED)
    domains = ["inland-a", "inland-b", "willamette-a"]
    for domain in domains:
        issuer.offer(grant_request(domain, wanted=9), 9, 0, NOW)
    counts = [issuer.offer(grant_request(domain, wanted=9), 9, 9, NOW).count for domain in domains]
    assert counts == [3, 3, 3]


def test_grant_is_limited_to_the_slots_offered_to_other_domains():
    assert GrantIssuer(1, STARTED).offer(grant_request(wanted=9), 9, 2, NOW).count == 2


@pytest.mark.parametrize("limit", [0, 1, 5, 17, 40])
def test_parts_of_the_region_limit_add_up_to_it(limit):
    document = limited_document([7, 4, 3, 7, 1], limit)
    slots = {target.name: target.slots for target in document.targets}
    parts = [region_limit(document, {name: count}) for name, count in slots.items()]
    assert sum(parts) == limit
    halves = [region_limit(document, {n: c // 2}) for n, c in slots.items()]
    others = [region_limit(document, {n: c - c // 2}) for n, c in slots.items()]
    assert sum(halves) + sum(others) <= limit


@attrs.define
class Holder:
    """A holder of grants.

    :param rate: rate of its clock relative to true time
    """

    domain: str
    rate: float
    pool: GrantPool = attrs.field(factory=GrantPool)
    held: list[HeldGrant] = attrs.field(factory=list)


@attrs.frozen
class PendingRequest:
    holder: Holder
    request: GrantRequest
    asked_at: float


class LossyGrants(RuleBasedStateMachine):
    """One issuer and three holders on a network that loses, delays and reorders messages."""

    LIMIT = 6

    @initialize(rates=st.lists(st.sampled_from([0.96, 1.0, 1.04]), min_size=4, max_size=4))
    def start(self, rates):
        self.now = 100.0
        self.rate = rates[0]
        self.issuer = GrantIssuer(1, self.clock(self.rate) - GRANT_LIFETIME * 2)
        self.holders = [Holder(f"domain-{i}", rate) for i, rate in enumerate(rates[1:])]
        self.pending: list[PendingRequest] = []
        self.offers: list[tuple[PendingRequest, GrantOffer]] = []
        self.sent: list[HeldGrant] = []
        self.running: list[int] = []
        self.local = 0

    def clock(self, rate: float):
        return seconds(self.now * rate)

    @property
    def at(self):
        return self.clock(self.rate)

    @rule(step=st.sampled_from([0.01, 0.1, 0.42, 0.46, 0.5, 0.53]))
    def wait(self, step):
        self.now += step

    @rule(holder=st.integers(0, 2), wanted=st.integers(1, 8))
    def ask(self, holder, wanted):
        who = self.holders[holder]
        self.pending.append(PendingRequest(who, grant_request(who.domain, wanted), self.now))

    @rule(index=st.integers(0, 9), lost=st.booleans())
    def deliver_ask(self, index, lost):
        if self.pending:
            ask = self.pending.pop(index % len(self.pending))
            offer = self.issuer.offer(ask.request, self.LIMIT, self.LIMIT, self.at)
            if not lost:
                self.offers.append((ask, offer))

    @rule(index=st.integers(0, 9))
    def deliver_offer(self, index):
        if self.offers:
            ask, offer = self.offers.pop(index % len(self.offers))
            rate = ask.holder.rate
            asked_at = seconds(ask.asked_at * rate)
            ask.holder.pool.add(SERVICE, "issuer", offer, asked_at, self.clock(rate))

    @rule(holder=st.integers(0, 2), lost=st.booleans())
    def send(self, holder, lost):
        who = self.holders[holder]
        grant = who.pool.take(SERVICE, "issuer", self.clock(who.rate))
        if grant is not None and not lost:
            self.sent.append(grant)

    @rule(index=st.integers(0, 9))
    def arrive(self, index):
        if self.sent:
            grant = self.sent.pop(index % len(self.sent))
            if self.issuer.start_granted(grant.id, SERVICE, self.LIMIT, self.at):
                self.running.append(grant.id)
            grant.in_use -= 1

    @rule(index=st.integers(0, 9))
    def finish(self, index):
        if self.running:
            self.issuer.finish_granted(self.running.pop(index % len(self.running)), self.at)

    @rule()
    def start_local(self):
        self.local += self.issuer.start_local(SERVICE, self.LIMIT, self.at)

    @rule()
    def finish_local(self):
        if self.local:
            self.local -= 1
            self.issuer.finish_local(SERVICE, self.at)

    @rule()
    def restart(self):
        """Replace the issuer; requests of the old one end with its connections."""
        self.issuer = GrantIssuer(10**6 + int(self.now * 1000), self.at)
        self.running = []
        self.local = 0

    @invariant()
    def sum_stays_within_the_limit(self):
        if not hasattr(self, "issuer"):
            return
        assert self.local + len(self.running) <= self.LIMIT
        assert self.local + self.issuer.committed(SERVICE, self.at) <= self.LIMIT

    @invariant()
    def holder_stops_before_the_issuer(self):
        for holder in getattr(self, "holders", []):
            grant = holder.pool.take(SERVICE, "issuer", self.clock(holder.rate))
            if grant is not None:
                holder.pool.give_back(grant)
                known = self.issuer._grants.get(grant.id)
                assert known is None or self.at < known.expires_at

    def teardown(self):
        """Check that unused grants become available again without further messages."""
        if hasattr(self, "issuer"):
            self.now += 3
            running = self.issuer.granted_running(SERVICE)
            assert self.issuer.committed(SERVICE, self.at) == running


TestLossyGrants = LossyGrants.TestCase
TestLossyGrants.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
