"""Checks which entry VMs look-up answers contain."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import pytest
from caller_builders import node_state, vm

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.heartbeats import FAILURE_TIMEOUT, Heartbeat
from carawayquay.membership import DomainList, VMState
from carawayquayd.lookups import LookupApi, client_from_query

LONGER_THAN_CACHE = timedelta(seconds=1)


def look_up(lookups, client="192.0.2.7"):
    return lookups.answer("sledway", client).json()


def chosen_vms(lookups, client="192.0.2.7"):
    home = lookups.home(client)
    return [entry.name for entry in lookups.select_entries("sledway", home, 0).entries]


def heartbeat(name, leaving=False):
    return Heartbeat(name, name.rpartition("-")[0], 1, 1, 1, leaving)


def with_block(state, home):
    chunk = {"sites": {"yakima": home}, "blocks": {"198.51.100.0/24": "yakima"}}
    state.blocks.adopt("map-0", "d1", chunk)
    return state


def test_own_failure_domain_comes_first_and_then_the_own_region():
    assert chosen_vms(LookupApi(node_state())) == [
        "puget-a-1",
        "puget-a-2",
        "puget-b-1",
        "puget-b-2",
    ]


def test_client_of_another_region_gets_entry_vms_of_that_region():
    state = with_block(node_state(vms=4), {"region": "inland"})
    assert set(chosen_vms(LookupApi(state), "198.51.100.9")) == {
        f"inland-a-{n}" for n in range(1, 5)
    }
    assert look_up(LookupApi(state), "198.51.100.9")["region"] == "inland"


def test_client_whose_failure_domain_is_known_gets_it_first():
    state = with_block(node_state(vms=1), {"region": "puget", "domain": "puget-b"})
    assert chosen_vms(LookupApi(state), "198.51.100.9") == ["puget-b-1", "puget-a-1", "inland-a-1"]


def test_clients_are_spread_evenly_over_the_vms_of_a_domain():
    lookups = LookupApi(node_state(vms=3))
    home = lookups.home("192.0.2.7")
    firsts = Counter(lookups.select_entries("sledway", home, n).entries[0].name for n in range(12))
    assert set(firsts.values()) == {4}


def test_clients_of_a_far_region_are_spread_over_its_failure_domains():
    state = with_block(node_state(("puget-a", "inland-a", "inland-b")), {"region": "inland"})
    lookups = LookupApi(state)
    home = lookups.home("198.51.100.9")
    firsts = {lookups.select_entries("sledway", home, n).entries[0].domain for n in range(2)}
    assert firsts == {"inland-a", "inland-b"}


def test_leaving_stopping_and_silent_vms_are_excluded():
    state = node_state(vms=4)
    members = (vm("puget-a-1"), vm("puget-a-2", VMState.LEAVING), vm("puget-a-3"), vm("puget-a-4"))
    state.directory.adopt(DomainList("puget-a", 2, members))
    now = state.clock.now()
    state.peers.record(heartbeat("puget-a-3", leaving=True), now)
    state.peers.record(heartbeat("puget-a-4"), now - FAILURE_TIMEOUT)
    state.stopping = True
    assert not any(name.startswith("puget-a") for name in chosen_vms(LookupApi(state)))


def test_answer_is_never_empty_while_any_vm_is_listed():
    state = node_state(("puget-a",), vms=2)
    for name in ("puget-a-1", "puget-a-2"):
        state.peers.record(heartbeat(name), state.clock.now() - FAILURE_TIMEOUT)
    state.stopping = True
    assert chosen_vms(LookupApi(state)) == ["puget-a-1", "puget-a-2"]


def test_vm_without_a_vm_list_names_itself():
    answer = look_up(LookupApi(node_state(domains=())))
    assert answer["entries"] == [{"address": "127.0.0.1:8000", "domain": "puget-a"}]


def test_cached_answer_reflects_a_stop_at_once_and_new_lists_after_expiry():
    state = node_state(("puget-a", "puget-b"), vms=1)
    lookups = LookupApi(state)
    before = look_up(lookups)["entries"][0]["domain"]
    state.stopping = True
    assert (before, look_up(lookups)["entries"][0]["domain"]) == ("puget-a", "puget-b")
    state.directory.adopt(DomainList("puget-b", 2, (vm("puget-b-1", VMState.LEAVING),)))
    state.stopping = False
    state.clock.advance(LONGER_THAN_CACHE)
    assert len(look_up(lookups)["entries"]) == 1


def test_minted_key_is_part_of_each_answer_and_never_repeats():
    keys = iter(["k1", "k2"])
    lookups = LookupApi(node_state(), lambda service: next(keys))
    assert [look_up(lookups)["key"] for _ in range(2)] == ["k1", "k2"]


@pytest.mark.parametrize(
    ("service", "client", "kind"),
    [
        ("sledway", "puget", ErrorKind.MALFORMED),
        ("nothing", "192.0.2.7", ErrorKind.UNKNOWN_SERVICE),
    ],
)
def test_bad_look_up_is_refused(service, client, kind):
    with pytest.raises(RequestError) as raised:
        LookupApi(node_state()).answer(service, client)
    assert raised.value.kind is kind


@pytest.mark.parametrize("query", ["client=a&client=b", "clint=192.0.2.1", "client=1&x=2", "x"])
def test_query_other_than_one_client_is_refused(query):
    with pytest.raises(RequestError, match="malformed"):
        client_from_query(query, "192.0.2.7")
