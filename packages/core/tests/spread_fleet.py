"""Simulated fleets, without a network, whose cut-off VMs send requests through other VMs."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta

from carawayquay.forwarding_peers import ForwardingPeers
from carawayquay.load_reports import VMIdentity

_STEP = timedelta(milliseconds=100)
_DOMAINS_IN_REGION = 3

#: Steps after a cut until VMs of the same domain know of it by reports.
_REPORTED_AFTER = 3


class SpreadFleet:
    """Entry VMs, some of them cut off, each with its own view of the others.

    VMs of one domain report to each other whether they are cut off; those of other domains find
    out by a refusal.

    :ivar requests: number of requests at VMs that are cut off
    :ivar unserved: number of those that no VM took
    :ivar most_asked: the most VMs that were asked for one of them
    """

    def __init__(self, vms, domains, seed):
        self._random = random.Random(seed)
        self._vms = [_vm(number, number % domains) for number in range(vms)]
        self._cut = set()
        self._peers = {}
        self._ending = []
        self._at = {}
        self._step = 0
        self.requests = self.unserved = self.most_asked = 0
        self.peaks = Counter()
        self.unserved_at = Counter()

    @property
    def cut(self):
        """The VMs that are cut off."""
        return [vm for vm in self._vms if vm in self._cut]

    @property
    def sound(self):
        """The VMs that reach targets."""
        return [vm for vm in self._vms if vm not in self._cut]

    def cut_share(self, share):
        """Cut some VMs off, chosen at random, of which one is left in any case."""
        count = min(round(share * len(self._vms)), len(self._vms) - 1)
        self._cut_off(self._random.sample(self._vms, count))

    def cut_domains(self, count):
        """Cut all VMs of some domains off."""
        names = sorted({vm.domain for vm in self._vms})
        chosen = set(self._random.sample(names, count))
        self._cut_off([vm for vm in self._vms if vm.domain in chosen])

    def run(self, steps, *, requests_per_step, request_steps, max_asked):
        """Send requests at every VM that is cut off, each of which lasts some steps."""
        for _ in range(steps):
            for vm in self._cut_in_turn():
                for _ in range(requests_per_step):
                    self._send(vm, request_steps, max_asked)
            loads = Counter()
            for counts in self._at.values():
                loads.update(counts)
            self.peaks |= loads
            self._step += 1
            self._end_requests()

    def nearest(self, vm):
        """Return the VMs that help a VM before any others: of its domain, its region, or all."""
        for same in (lambda it: it.domain == vm.domain, lambda it: it.region == vm.region):
            if found := [it for it in self.sound if same(it)]:
                return found
        return self.sound

    def in_flight_from(self, vm):
        """Return the requests in flight from a VM that is cut off at each VM that helps it."""
        return {it: self._at[vm][it.name] for it in self.sound}

    def _cut_off(self, vms):
        self._cut = set(vms)
        self._peers = {vm: ForwardingPeers(vm, self._random) for vm in vms}
        self._at = {vm: Counter() for vm in vms}

    def _cut_in_turn(self):
        return self._random.sample(self.cut, len(self._cut))

    def _live(self, vm):
        reported = self._step >= _REPORTED_AFTER
        return [
            it
            for it in self._vms
            if it != vm and not (reported and it in self._cut and it.domain == vm.domain)
        ]

    def _send(self, vm, request_steps, max_asked):
        now, peers, live, asked = self._step * _STEP, self._peers[vm], self._live(vm), []
        self.requests += 1
        while len(asked) < max_asked:
            chosen = peers.choose(live, (), asked, now)
            if chosen is None:
                break
            asked.append(chosen)
            if chosen in self._cut:
                peers.failed(chosen, now, cut_off=True)
                continue
            peers.started(chosen)
            peers.helped(chosen, now)
            self._at[vm][chosen.name] += 1
            self._ending.append((self._step + request_steps, vm, chosen))
            self.most_asked = max(self.most_asked, len(asked))
            return
        self.most_asked = max(self.most_asked, len(asked))
        self.unserved += 1
        self.unserved_at[self._step] += 1

    def _end_requests(self):
        ended = [it for it in self._ending if it[0] <= self._step]
        self._ending = [it for it in self._ending if it[0] > self._step]
        for _, vm, helper in ended:
            self._peers[vm].ended(helper)
            self._at[vm][helper.name] -= 1


def _vm(number, domain):
    region = domain // _DOMAINS_IN_REGION
    return VMIdentity(f"vm-{number}", "10.0.0.1", f"domain-{domain}", f"region-{region}", 1)
