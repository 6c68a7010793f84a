"""A starting VM reads documents from the store only after it has those of a peer in force."""

from __future__ import annotations

import attrs
from object_builders import heartbeat

from carawayquay.joining import Joining

_CONFIRMED = attrs.evolve(heartbeat("puget-a-1"), confirmed_age_ms=200)
_STARTING = heartbeat("puget-a-1")


def _end_rounds(joining, count, *, listed=True):
    for _ in range(count):
        joining.end_round(listed=listed)


def test_vm_that_has_the_objects_of_a_confirmed_peer_has_joined():
    joining = Joining()
    assert not joining.done
    joining.record(_CONFIRMED, has_objects=True)
    assert joining.done


def test_reply_of_a_peer_that_starts_as_well_is_no_proof():
    joining = Joining()
    joining.record(_STARTING, has_objects=True)
    _end_rounds(joining, 2)
    assert not joining.done


def test_peer_whose_objects_could_not_be_pulled_is_no_proof():
    joining = Joining()
    joining.record(_CONFIRMED, has_objects=False)
    _end_rounds(joining, 2)
    assert not joining.done


def test_store_is_trusted_after_rounds_in_which_no_listed_peer_had_objects():
    joining = Joining()
    joining.record(_STARTING, has_objects=True)
    _end_rounds(joining, 10, listed=False)
    assert not joining.done
    _end_rounds(joining, 3)
    assert joining.done
