"""Validation of a document reports all of its problems."""

from __future__ import annotations

from datetime import timedelta

import pytest
from document_builders import document_value, target_value

from carawayquay.documents import parse_document
from carawayquay.errors import DocumentError


def problems(value):
    with pytest.raises(DocumentError) as caught:
        parse_document(value)
    return caught.value.problems


def test_good_document_gets_the_defaults_of_absent_keys():
    document = parse_document(document_value())
    assert document.timeout == timedelta(seconds=2)
    assert document.cap.planned == 0.1
    assert document.region("inland").limit == 16


def test_all_problems_are_reported_together():
    value = document_value(timeout=-1, colour="red", drains="puget")
    assert problems(value) == (
        'document has unknown key "colour"',
        "document key \"drains\" is 'puget', not a list of names",
        'document key "timeout" is -1, not a number from 0.05 to 60 seconds',
    )


@pytest.mark.parametrize("value", [None, [], 7, "document", {"service": "a"}, {"targets": [None]}])
def test_value_other_than_a_document_is_refused(value):
    assert problems(value)


@pytest.mark.parametrize("number", [float("nan"), float("inf"), True, "2", None])
def test_numbers_outside_the_limits_are_refused(number):
    assert len(problems(document_value(timeout=number))) == 1


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"regions": {}}, "document has no region"),
        ({"drains": ["mars"]}, 'drains contains unknown place "mars"'),
        ({"targets": [target_value(), target_value()]}, 'target "sledway-1" is listed twice'),
        (
            {"targets": [target_value(region="mars")]},
            'target "sledway-1" is in unknown region "mars"',
        ),
        ({"order": {"puget": ["puget"]}}, 'region "inland" has no order'),
        (
            {"order": {"puget": ["puget", "puget"], "inland": ["inland"]}},
            'order of region "puget" names a region twice',
        ),
    ],
)
def test_rules_between_the_parts_are_checked(changes, problem):
    assert problem in problems(document_value(**changes))


@pytest.mark.parametrize("place", ["sledway-1", "puget-a"])
def test_drain_of_a_target_or_domain_drains_its_targets(place):
    document = parse_document(document_value(drains=[place]))
    assert [document.draining(target) for target in document.targets] == [True, False]
    assert not document.region_draining("puget")
    assert [document.accepts(region) for region in ("puget", "inland")] == [False, True]


def test_draining_region_keeps_its_targets_for_traffic_not_yet_shifted():
    document = parse_document(document_value(drains=["puget"]))
    assert [document.draining(target) for target in document.targets] == [False, False]
    assert [document.region_draining(region) for region in ("puget", "inland")] == [True, False]
    assert [document.accepts(region) for region in ("puget", "inland")] == [False, True]
