"""A datagram of any content ends no task of a gateway."""

from __future__ import annotations

import random
from contextlib import suppress
from datetime import timedelta

import attrs
import pytest
from gateway_builders import identity, new_state, target
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.crash_counts import CrashCounts
from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    CrashReport,
    DomainSummary,
    LoadReport,
    ServiceRate,
    TargetCount,
    TargetLimitReport,
    VMIdentity,
    WarmObject,
    short_hash,
    with_usable_hosts,
)
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.lookups import LookupApi
from carawayquay_gateway.peers import PeerExchange
from carawayquay_gateway.state_dump import dump_state
from carawayquay_gateway.summaries import SummaryExchange
from carawayquay_wire import reports as wire_reports
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.reports import (
    decode_report,
    decode_summary,
    encode_report,
    encode_summary,
)

_MAX_U64 = 2**64 - 1
_ODD_HOSTS = ("", "x" * 64 + ".example", "a\x00b", "\xfc.example", "host", "10.0.0.300", "[::1]")

_CODES = st.sampled_from([short_hash("granite"), short_hash("t0")]) | st.integers(0, 2**32 - 1)
_RATES = st.floats(width=32)
_U64 = st.sampled_from([0, 1, 2, _MAX_U64]) | st.integers(0, _MAX_U64)
_VMS = st.builds(
    VMIdentity,
    st.sampled_from(["puget-a-1", "puget-a-2", "puget-b-1", "", "\x00"]) | st.text(max_size=5),
    st.sampled_from(["127.9.30.2", "127.9.30.3", *_ODD_HOSTS]),
    st.sampled_from(["puget-a", "puget-b", "inland-a", ""]) | st.text(max_size=5),
    st.sampled_from(["puget", "inland", ""]) | st.text(max_size=5),
    _U64,
)
_COMMON = {
    "sender": _VMS,
    "sequence": _U64,
    "revisions": st.lists(_U64, max_size=9).map(tuple),
    "targets": st.lists(st.builds(TargetCount, _CODES, st.integers(0, 65_535))).map(tuple),
    "rates": st.lists(st.builds(ServiceRate, _CODES, _RATES)).map(tuple),
    "crashes": st.lists(st.builds(CrashReport, _U64, st.integers(0, 255))).map(tuple),
    "warmed": st.lists(st.builds(WarmObject, _CODES, _CODES)).map(tuple),
    "members": st.lists(_VMS, max_size=5).map(tuple),
    "limits": st.none()
    | st.lists(
        st.builds(
            TargetLimitReport,
            _CODES,
            st.none() | _RATES,
            st.floats(0, 655),
            st.floats(width=16),
        )
    ).map(tuple),
    "era": st.integers(0, 2**32 - 1),
    "version": _U64,
}
_REPORTS = st.builds(
    LoadReport, leaving=st.booleans(), watching=st.booleans(), asking=st.booleans(), **_COMMON
)
_SUMMARIES = st.builds(DomainSummary, vms=st.integers(0, 2**32 - 1), **_COMMON)


class _Socket:
    """Socket that only records to which hosts it was to send."""

    def __init__(self):
        self.hosts = set()

    def send(self, _, hosts):
        """Record the hosts."""
        self.hosts.update(hosts)


class _Gateway:
    """The exchanges of a gateway with its state, without sockets."""

    def __init__(self):
        self.state = new_state(targets=[("t0", target())], vm=identity(host="127.9.30.1"))
        crashes, warm = CrashCounts(), WarmGossip()
        self.summaries = SummaryExchange(self.state, crashes, warm)
        self.peers = PeerExchange(self.state, crashes, warm, self.summaries, random.Random(1))
        self.sock = self.peers._sock = self.summaries._sock = _Socket()

    def take(self, data):
        """Take a datagram at both ports."""
        self.peers._handle_datagram(data, "127.9.30.2")
        self.summaries._handle_datagram(data, "127.9.30.2")

    def run_a_while(self):
        """Do what the tasks of a gateway do, some times."""
        state = self.state
        for _ in range(3):
            state.clock.advance(timedelta(seconds=0.4))
            now = state.clock.now()
            state.update(now)
            state.must_watch_store()
            state.peers.newest_configuration(now)
            for index in range(len(state.replicas)):
                list(state.peers.holders(index, now))
            self.peers._query_seeds(now)
            self.peers._send_to(self.peers._pop_new_hosts(), 8)
            self.peers._send_to(self.peers._pop_due_hosts(), 3)
            self.peers.announce()
            self.summaries._update_relays(members_changed=self.summaries._update_members(now))
            self.summaries._log_domain_changes(now)
            self.summaries._send_due(now)
            self.summaries._ticks += 1
        LookupApi(state).handle(HttpRequest("GET", "/resolve?zone=inland-a", (), b""))
        dump_state(state)
        state.metrics.exposition()


@given(st.lists(st.binary(max_size=200), max_size=4))
def test_datagrams_of_any_bytes_end_no_task(datagrams):
    gateway = _Gateway()
    for data in datagrams:
        gateway.take(data)
    gateway.run_a_while()


@given(st.data())
def test_damaged_reports_end_no_task(data):
    gateway = _Gateway()
    valid = encode_report(data.draw(_REPORTS))
    for _ in range(3):
        damaged = bytearray(valid)
        for _ in range(data.draw(st.integers(1, 4))):
            damaged[data.draw(st.integers(0, len(damaged) - 1))] = data.draw(st.integers(0, 255))
        gateway.take(bytes(damaged[: data.draw(st.integers(0, len(damaged)))]))
        gateway.take(bytes(damaged))
    gateway.run_a_while()


@given(st.lists(_REPORTS, max_size=4), st.lists(_SUMMARIES, max_size=4))
def test_messages_with_odd_fields_end_no_task(reports, summaries):
    gateway = _Gateway()
    for message in (*map(encode_report, reports), *map(encode_summary, summaries)):
        gateway.take(message)
        gateway.run_a_while()
    assert gateway.sock.hosts <= {"127.0.0.1", "127.0.0.2", "127.9.30.2", "127.9.30.3"}


@pytest.mark.parametrize("host", _ODD_HOSTS)
def test_sender_with_an_odd_host_is_refused_and_an_odd_member_left_out(host):
    odd, sound = identity(host=host), identity("puget-a-2", "127.9.30.2")
    for encode, decode, message in (
        (encode_report, decode_report, lambda **of: LoadReport(**of, leaving=False)),
        (encode_summary, decode_summary, lambda **of: DomainSummary(**of, vms=1)),
    ):
        with pytest.raises(FrameError):
            with_usable_hosts(decode(encode(message(sender=odd, sequence=1, revisions=()))))
        whole = message(sender=sound, sequence=1, revisions=(), members=(odd, sound))
        assert with_usable_hosts(decode(encode(whole))).members == (sound,)


@pytest.mark.parametrize("cut", [1, 2, 100, 9_000, 30_000, 60_000])
def test_datagram_of_several_segments_that_is_cut_off_is_refused(cut):
    vms = tuple(identity(f"vm-{index}", incarnation=index) for index in range(600))
    report = LoadReport(vms[0], 1, False, (1, 2, 3), members=vms)
    fields = {"members": [attrs.asdict(vm) for vm in vms], "sender": attrs.asdict(vms[0])}
    message = wire_reports._SCHEMA.LoadReport.new_message(sequence=1, revisions=[1, 2, 3], **fields)
    data = message.to_bytes_packed()
    assert attrs.evolve(decode_report(data), limits=None) == report
    with pytest.raises(FrameError):
        decode_report(data[:cut] if cut < len(data) else data[:-1])


@given(st.binary(max_size=300))
def test_decoding_raises_frame_errors_only(data):
    for decode in (decode_report, decode_summary):
        with suppress(FrameError):
            decode(data)


@pytest.mark.parametrize("rate", [3e38, float("inf"), float("nan"), -3e38, -1.0])
def test_rate_out_of_range_is_left_out(rate):
    gateway = _Gateway()
    code = short_hash("granite")
    for index in (2, 3):
        sender = identity(f"puget-a-{index}", f"127.9.30.{index}")
        rates = (ServiceRate(code, rate), ServiceRate(7, 2.0))
        gateway.take(encode_report(LoadReport(sender, 1, False, (1, 2, 3), rates=rates)))
    far = identity("inland-a-1", "127.9.30.9", "inland-a", "inland")
    gateway.take(encode_summary(DomainSummary(far, 1, (1, 2, 3), 1)))
    assert gateway.state.peers.domain_rates(gateway.state.clock.now()) == {7: 4.0}
    gateway.run_a_while()
