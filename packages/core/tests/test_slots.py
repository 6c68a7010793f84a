"""Tests of the slots that a single entry VM and a fleet may use."""

from __future__ import annotations

import enum
from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from slot_builders import LONGEST_RUN, TARGET, Fleet

from carawayquay.loans import LOAN_LIFETIME
from carawayquay.shares import candidates, share
from carawayquay.slots import SlotTable

NAMES = ("a", "b", "c")
SLOTS = 4


@pytest.fixture
def fleet():
    fleet = Fleet(*NAMES, slots=SLOTS)
    fleet.settle("a")
    return fleet


def usable(fleet, name):
    return fleet.machines[name].table.usable(TARGET, fleet.clock(name))


def test_borrower_may_use_every_slot_when_all_are_lent(fleet):
    assert [usable(fleet, name) for name in NAMES] == [SLOTS, 0, 0]


def test_new_process_has_no_slots_until_requests_of_an_earlier_one_have_ended():
    fleet = Fleet("a", slots=SLOTS)
    table = fleet.machines["a"].table
    started = fleet.now
    while usable(fleet, "a") == 0:
        fleet.advance(timedelta(milliseconds=100))
        table.tick(fleet.clock("a"))
    assert fleet.now - started >= LOAN_LIFETIME + LONGEST_RUN
    assert usable(fleet, "a") == SLOTS


def test_lender_reuses_its_share_only_after_loan_and_longest_run(fleet):
    fleet.machines["a"].frozen = True
    lent_at = fleet.now
    while usable(fleet, "b") == 0:
        fleet.advance(timedelta(milliseconds=50))
        fleet.machines["b"].table.tick(fleet.clock("b"))
        assert fleet.now - lent_at < LOAN_LIFETIME + 2 * LONGEST_RUN
    shares = {name: share(TARGET, SLOTS, NAMES, name) for name in NAMES}
    assert usable(fleet, "b") == shares["b"]
    assert fleet.now - lent_at > LONGEST_RUN


def test_returned_loan_is_free_for_its_lender_at_once(fleet):
    fleet.settle()
    assert sum(usable(fleet, name) for name in NAMES) == SLOTS
    assert all(usable(fleet, name) > 0 for name in NAMES)


def test_loan_in_reply_to_a_request_before_a_return_is_ignored(fleet):
    machine = fleet.machines["a"]
    fleet.ask(machine, "b", wanted=True)
    fleet.deliver(fleet.messages[0], wanted=False)
    machine.table.request("b", lambda _: False, fleet.clock("a"))
    fleet.deliver(fleet.messages[0], wanted=True)
    own = share(TARGET, SLOTS, NAMES, "a")
    assert usable(fleet, "a") == own


def test_share_that_a_new_list_raises_waits_for_the_others_to_confirm(fleet):
    fleet.kill("c")
    fleet.publish("a", "b")
    machine = fleet.machines["a"]
    fleet.adopt(machine)
    for _ in range(40):
        fleet.advance(timedelta(milliseconds=200))
        machine.table.tick(fleet.clock("a"))
    assert usable(fleet, "a") == share(TARGET, SLOTS, NAMES, "a")
    fleet.settle()
    assert sum(usable(fleet, name) for name in ("a", "b")) == SLOTS


def test_resumed_process_starts_nothing_during_the_pause_hold(fleet):
    fleet.advance(LOAN_LIFETIME * 2)
    machine = fleet.machines["a"]
    assert usable(fleet, "a") == 0
    machine.table.tick(fleet.clock("a"))
    assert usable(fleet, "a") == 0


def test_late_request_is_refused_by_the_targets_clock(fleet):
    machine = fleet.machines["a"]
    assert fleet.take(machine)
    fleet.advance(timedelta(seconds=5))
    fleet.arrive(fleet.in_transit[0])
    assert fleet.running == []


def test_released_slot_stays_occupied_while_its_request_may_still_run():
    table = SlotTable("a", 1, timedelta())
    fleet = Fleet("a", slots=1)
    fleet.settle("a")
    table = fleet.machines["a"].table
    now = fleet.clock("a")
    ticket = table.take(TARGET, now)
    table.give_back(ticket, now + timedelta(milliseconds=100))
    assert table.take(TARGET, now) is None
    assert table.take(TARGET, now + timedelta(milliseconds=101)) is not None


class Action(enum.Enum):
    """A step of the fleet."""

    RUN_ALL = enum.auto()
    SEND_ALL = enum.auto()
    ARRIVE = enum.auto()
    EXCHANGE = enum.auto()
    ASK = enum.auto()
    DELIVER = enum.auto()
    LOSE_MESSAGES = enum.auto()
    FINISH = enum.auto()
    GIVE_UP = enum.auto()
    SHORT_WAIT = enum.auto()
    WAIT = enum.auto()
    FREEZE_OR_THAW = enum.auto()
    KILL_OR_START = enum.auto()
    LIST_OR_DROP = enum.auto()
    ADOPT = enum.auto()
    SETTLE = enum.auto()


#: Relative frequency of each step.
WEIGHTS = {
    Action.RUN_ALL: 6,
    Action.SEND_ALL: 4,
    Action.ARRIVE: 4,
    Action.EXCHANGE: 8,
    Action.ASK: 1,
    Action.DELIVER: 2,
    Action.LOSE_MESSAGES: 1,
    Action.FINISH: 2,
    Action.GIVE_UP: 1,
    Action.SHORT_WAIT: 2,
    Action.WAIT: 8,
    Action.FREEZE_OR_THAW: 1,
    Action.KILL_OR_START: 1,
    Action.LIST_OR_DROP: 2,
    Action.ADOPT: 3,
    Action.SETTLE: 2,
}
WEIGHTED_ACTIONS = [action for action, weight in WEIGHTS.items() for _ in range(weight)]


class FleetMachine(RuleBasedStateMachine):
    """Executes random steps with message losses, pauses, restarts and list changes."""

    @initialize(owner=st.sampled_from(NAMES))
    def start_settled(self, owner):
        self.fleet = Fleet(*NAMES, slots=SLOTS)
        self.fleet.settle(owner)

    @rule(
        action=st.sampled_from(WEIGHTED_ACTIONS),
        name=st.sampled_from(NAMES),
        other=st.sampled_from(NAMES),
        index=st.integers(0, 5),
        wanted=st.booleans(),
    )
    def step(self, action, name, other, index, wanted):
        fleet = self.fleet
        machine = fleet.machines[name]
        match action:
            case Action.RUN_ALL | Action.SEND_ALL if machine.awake:
                fleet.probe(machine)
                while fleet.take(machine):
                    pass
                if action is Action.RUN_ALL:
                    self.arrive_all()
            case Action.ARRIVE:
                self.arrive_all()
            case Action.EXCHANGE | Action.ASK if machine.awake and other != name:
                fleet.ask(machine, other, wanted=True)
                if action is Action.EXCHANGE:
                    self.deliver_last(wanted=wanted)
                    self.deliver_last(wanted=wanted)
            case Action.DELIVER if fleet.messages:
                fleet.deliver(fleet.messages[index % len(fleet.messages)], wanted=wanted)
            case Action.LOSE_MESSAGES:
                fleet.messages.clear()
            case Action.FINISH if fleet.running:
                fleet.finish(fleet.running[index % len(fleet.running)])
            case Action.GIVE_UP if fleet.in_transit:
                fleet.give_up(fleet.in_transit[index % len(fleet.in_transit)])
            case Action.SHORT_WAIT:
                self.wait(timedelta(milliseconds=20))
            case Action.WAIT:
                self.wait(timedelta(milliseconds=(200, 400, 600, 800, 1000, 1450)[index]))
            case Action.FREEZE_OR_THAW:
                machine.frozen = not machine.frozen
            case Action.KILL_OR_START if machine.table is None:
                fleet.start(name)
            case Action.KILL_OR_START:
                fleet.kill(name)
            case Action.LIST_OR_DROP:
                self.list_or_drop(name)
            case Action.ADOPT if machine.awake:
                fleet.adopt(machine)
            case Action.SETTLE:
                fleet.settle(name)

    def arrive_all(self):
        for sent in [*self.fleet.in_transit]:
            self.fleet.arrive(sent)

    def deliver_last(self, *, wanted):
        if self.fleet.messages:
            self.fleet.deliver(self.fleet.messages[-1], wanted=wanted)

    def wait(self, by):
        self.fleet.advance(by)
        for machine in self.fleet.awake():
            machine.table.tick(self.fleet.clock(machine.name))

    def list_or_drop(self, name):
        """Add a VM to the platform's list, or remove one without a process."""
        names = set(self.fleet.listed.names)
        if name not in names:
            self.fleet.publish(*sorted(names | {name}))
        elif self.fleet.machines[name].table is None and len(names) > 1:
            self.fleet.publish(*sorted(names - {name}))

    @invariant()
    def target_limit_is_never_exceeded(self):
        assert getattr(self, "fleet", None) is None or self.fleet.most_running <= SLOTS


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(stateful_step_count=80)


@pytest.mark.parametrize("slots", range(1, 9))
@pytest.mark.parametrize("count", range(1, 6))
def test_shares_sum_to_the_slots(slots, count):
    members = [f"vm-{index}" for index in range(count)]
    shares = [share(TARGET, slots, members, vm) for vm in members]
    assert sum(shares) == slots
    assert all(shares[members.index(vm)] > 0 for vm in candidates(TARGET, members)[:slots])


def test_vm_that_shares_no_target_is_asked_only_until_the_list_is_settled():
    names = [f"vm-{index}" for index in range(9)]
    fleet = Fleet(*names, slots=SLOTS)
    first, *partners = candidates(TARGET, names)
    table = fleet.machines[first].table
    others = [name for name in names if name != first]
    assert all(table.should_ask(name) for name in others)
    fleet.settle(first)
    assert {name for name in others if table.should_ask(name)} == set(partners)
    fleet.publish(*names, "vm-9")
    table.adopt(fleet.listed, fleet.now)
    assert all(table.should_ask(name) for name in others)
