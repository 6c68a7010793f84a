"""Checks the invariants of the booking model on real replicas with random network failures."""

from __future__ import annotations

from functools import partial

from claim_network import SHARD, ClaimNetwork
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

VMS = 4
MAX_ATTEMPTS = 3
MAX_EPOCH = 3
MAX_MESSAGES = 2
MAX_REPLACED = 1


class ClaimMachine(RuleBasedStateMachine):
    """Executes random steps from those that are possible in the current state."""

    def __init__(self):
        super().__init__()
        self.network = ClaimNetwork(VMS)
        self.minted = None
        self.epochs = [0] * VMS
        self.replaced = 0

    @rule(data=st.data())
    def step(self, data):
        groups = [group for group in map(list, self.groups()) if group]
        if groups:
            steps = data.draw(st.sampled_from(groups))
            data.draw(st.sampled_from(steps))()

    def groups(self):
        yield self.proposals()
        yield self.map_reads()
        yield self.submissions()
        yield self.refills()
        yield self.replications()
        yield self.deliveries()
        yield self.replicated_dispatches()
        yield self.dispatches()
        yield self.attempt_ends()

    def proposals(self):
        held = self.network.map.shards[SHARD.number]
        holders = {self.network.index(holder) for holder in (held.primary, held.backup) if holder}
        if held.epoch < MAX_EPOCH:
            for number in range(VMS):
                yield partial(self.network.propose, number, holders - {number})
        if self.replaced < MAX_REPLACED:
            yield self.replace_holder

    def map_reads(self):
        held = self.network.map.shards[SHARD.number]
        for number, replica in enumerate(self.network.replicas):
            knows = replica.epoch or self.network.holders[number] in (held.primary, held.backup)
            if knows and replica.epoch < held.epoch:
                yield partial(self.network.read_map, number)

    def replace_holder(self):
        held = self.network.map.shards[SHARD.number]
        number = self.network.index(held.primary)
        if number is not None:
            self.replaced += 1
            self.network.replace_vm(number)
            self.epochs[number] = 0

    def submissions(self):
        if self.network.attempts.get("key", 0) < MAX_ATTEMPTS:
            for number, replica in enumerate(self.network.replicas):
                if replica.is_primary:
                    yield partial(self.submit, number)

    def submit(self, number):
        if self.minted is None:
            self.minted = self.network.map.shards[SHARD.number].epoch
        self.network.submit(number, "key", self.minted)

    def refills(self):
        for number, replica in enumerate(self.network.replicas):
            if replica.is_primary and not replica.ready:
                yield partial(self.network.refill, number, lose=False)

    def replications(self):
        for booking in self.network.bookings:
            yield partial(self.replicate_now, booking)
            if len(self.network.messages) < MAX_MESSAGES:
                yield partial(self.network.replicate, booking)

    def replicated_dispatches(self):
        for booking in self.network.bookings:
            if not booking.releasing:
                yield partial(self.replicate_and_dispatch, booking, "run")
                yield partial(self.replicate_and_dispatch, booking, "lose")

    def replicate_and_dispatch(self, booking, outcome):
        self.replicate_now(booking)
        self.network.dispatch(booking, outcome)

    def deliveries(self):
        for index in range(len(self.network.messages)):
            yield partial(self.network.deliver, index, keep=True, lose_reply=False)
            yield partial(self.network.deliver, index, keep=False, lose_reply=True)

    def dispatches(self):
        for booking in self.network.bookings:
            if booking.replica.may_dispatch(booking.claim):
                for outcome in ("run", "lose", "refuse"):
                    yield partial(self.network.dispatch, booking, outcome)

    def attempt_ends(self):
        for booking in self.network.bookings:
            if booking.releasing or booking.attempt == 1:
                yield partial(self.network.give_up, booking)

    def replicate_now(self, booking):
        before = len(self.network.messages)
        self.network.replicate(booking)
        if len(self.network.messages) > before:
            self.network.deliver(before, keep=False, lose_reply=False)

    @invariant()
    def each_key_runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.network.runs.values()), self.network.runs

    @invariant()
    def no_run_is_reported_as_not_run(self):
        for key, refused in self.network.not_run.items():
            runs = self.network.runs.get(key, ())
            assert all(attempt > max(refused) for attempt in runs), (refused, runs)

    @invariant()
    def every_answer_to_a_key_is_the_same(self):
        assert all(len(answers) <= 1 for answers in self.network.answers.values())

    @invariant()
    def epochs_never_decrease(self):
        found = [replica.epoch for replica in self.network.replicas]
        assert all(new >= old for new, old in zip(found, self.epochs, strict=True))
        self.epochs = found


ClaimMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=30)
TestClaims = ClaimMachine.TestCase
