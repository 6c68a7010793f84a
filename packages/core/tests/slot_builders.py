"""Simulated fleet of slot tables on a lossy network, with a target that counts running requests."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.documents import Target
from carawayquay.fence import ClockReading, Fence, start_fence
from carawayquay.membership import Address, DomainList, EntryVM
from carawayquay.slots import CANCEL_GRACE, SlotTable, Ticket

if TYPE_CHECKING:
    from carawayquay.loans import LoanReply, LoanRequest

__all__ = ["LONGEST_RUN", "TARGET", "Fleet", "domain_list", "target"]

LONGEST_RUN = timedelta(seconds=1)
TARGET = "sledway-1"

#: Rates of the VMs' clocks relative to true time; the target's clock has rate 1.
_RATES = (0.9955, 1.0045, 1.0, 0.9955, 1.0045)


def target(slots: int = 4, name: str = TARGET) -> Target:
    return Target(name, "puget", "puget-a", Address("127.0.0.1", 9000), slots)


def domain_list(version: int, *names: str) -> DomainList:
    address = Address("127.0.0.1", 8000)
    members = tuple(EntryVM(name, "puget-a", "puget", address, address) for name in names)
    return DomainList("puget-a", version, members)


@attrs.define(eq=False)
class SentRequest:
    """A request in transit to the target or running there.

    :param ends_at: true time at which it ends at the latest, or None before it starts
    """

    vm: str
    incarnation: int
    ticket: Ticket
    fence: Fence
    ends_at: timedelta | None = None


@attrs.define(eq=False)
class Message:
    """A request for loans in transit, or the reply to one."""

    sender: str
    receiver: str
    receiver_incarnation: int
    request: LoanRequest
    sent_at: timedelta
    reply: LoanReply | None = None


@attrs.define(eq=False)
class Machine:
    """An entry VM and its current process."""

    name: str
    rate: float
    incarnation: int = 0
    table: SlotTable | None = None
    reading: ClockReading | None = None
    frozen: bool = False

    @property
    def awake(self) -> bool:
        return self.table is not None and not self.frozen


class Fleet:
    """Simulates entry VMs, their network, the platform's VM list and one target."""

    def __init__(self, *names: str, slots: int = 4) -> None:
        self.now = timedelta(seconds=100)
        self.target = target(slots)
        self.listed = domain_list(1, *names)
        self.messages: list[Message] = []
        self.in_transit: list[SentRequest] = []
        self.running: list[SentRequest] = []
        self.most_running = 0
        self.machines: dict[str, Machine] = {}
        for name in names:
            self.start(name)

    def clock(self, name: str) -> timedelta:
        return self.now * self.machines[name].rate

    def target_clock(self) -> timedelta:
        return self.now

    def awake(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.awake]

    def start(self, name: str) -> None:
        rate = _RATES[len(self.machines) % len(_RATES)]
        machine = self.machines.setdefault(name, Machine(name, rate))
        machine.incarnation += 1
        machine.frozen = False
        machine.table = SlotTable(name, machine.incarnation, self.clock(name))
        machine.table.configure([self.target], LONGEST_RUN)
        self.adopt(machine)

    def kill(self, name: str) -> None:
        self.machines[name].table = None

    def publish(self, *names: str) -> None:
        self.listed = domain_list(self.listed.version + 1, *names)

    def adopt(self, machine: Machine) -> None:
        machine.table.adopt(self.listed, self.clock(machine.name))

    def probe(self, machine: Machine) -> None:
        """Read the target's clock; the reply takes 5 ms."""
        clock_ms = self.target_clock() / timedelta(milliseconds=1)
        self.advance(timedelta(milliseconds=5))
        machine.reading = ClockReading("boot", clock_ms, self.clock(machine.name))

    def advance(self, by: timedelta) -> None:
        self.now += by
        self.running = [sent for sent in self.running if self.now < sent.ends_at]

    def ask(self, machine: Machine, receiver: str, *, wanted: bool) -> None:
        now = self.clock(machine.name)
        request = machine.table.request(receiver, lambda _: wanted, now)
        if request is not None and receiver in self.machines:
            incarnation = self.machines[receiver].incarnation
            self.messages.append(Message(machine.name, receiver, incarnation, request, now))

    def deliver(self, message: Message, *, wanted: bool) -> None:
        """Deliver a message; it is lost if the receiver's process has ended since it was sent."""
        machine = self.machines[message.receiver]
        if machine.frozen:
            return
        self.messages.remove(message)
        if machine.table is None or machine.incarnation != message.receiver_incarnation:
            return
        if message.reply is not None:
            machine.table.accept(message.request, message.reply, message.sent_at)
            return
        now = self.clock(machine.name)
        reply = machine.table.lend(message.request, lambda _: wanted, now)
        sender_incarnation = message.request.position.incarnation
        self.messages.append(
            Message(
                machine.name,
                message.sender,
                sender_incarnation,
                message.request,
                message.sent_at,
                reply,
            )
        )

    def take(self, machine: Machine) -> bool:
        if machine.reading is None:
            return False
        ticket = machine.table.take(TARGET, self.clock(machine.name))
        if ticket is None:
            return False
        fence = start_fence(machine.reading, ticket)
        self.in_transit.append(SentRequest(machine.name, machine.incarnation, ticket, fence))
        return True

    def arrive(self, sent: SentRequest) -> None:
        """Start a request at the target, or refuse it after its start deadline."""
        self.in_transit.remove(sent)
        if self.target_clock() / timedelta(milliseconds=1) > sent.fence.start_by_ms:
            self._give_back(sent)
            return
        sent.ends_at = self.now + LONGEST_RUN
        self.running.append(sent)
        self.most_running = max(self.most_running, len(self.running))

    def finish(self, sent: SentRequest) -> None:
        """End a running request and deliver its answer to the sender."""
        self.running.remove(sent)
        self._give_back(sent)

    def give_up(self, sent: SentRequest) -> None:
        """Time out a request at the sender, while it may still start or run at the target."""
        linger = sent.ticket.start_by + LONGEST_RUN + CANCEL_GRACE
        self._give_back(sent, linger)
        sent.incarnation = 0

    def settle(self, *names: str) -> None:
        """Deliver all messages and advance time until shares and loans are stable.

        :param names: the machines that want to run requests on the target
        """
        for _ in range(16):
            for machine in self.awake():
                self.adopt(machine)
                machine.table.tick(self.clock(machine.name))
                for other in self.listed.names:
                    if other != machine.name:
                        self.ask(machine, other, wanted=machine.name in names)
            for message in [*self.messages]:
                self.deliver(message, wanted=message.receiver in names)
            for message in [*self.messages]:
                self.deliver(message, wanted=message.receiver in names)
            self.advance(timedelta(milliseconds=300))
        for machine in self.awake():
            self.probe(machine)

    def _give_back(self, sent: SentRequest, linger: timedelta | None = None) -> None:
        machine = self.machines[sent.vm]
        if machine.table is not None and machine.incarnation == sent.incarnation:
            machine.table.give_back(sent.ticket, linger)
