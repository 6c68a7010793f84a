"""Objects of a restored store's older copy are held back until the newer ones are written again."""

from __future__ import annotations

from datetime import timedelta

import pytest
from object_builders import stored

from carawayquay.restored_objects import RestoredObjects
from carawayquay.store_versions import combine_version

NOW = timedelta(seconds=100)
GRACE = timedelta(seconds=5)
IN_FORCE = stored(combine_version(1, 61), b'{"n": 2}')


def _item(era, number, value):
    return stored(combine_version(era, number), value)


@pytest.mark.parametrize(
    ("item", "held"),
    [
        (_item(2, 50, b'{"n": 1}'), True),
        (_item(2, 61, b'{"n": 1}'), True),
        (_item(2, 50, b'{"n": 2}'), False),
        (_item(2, 62, b'{"n": 3}'), False),
        (_item(1, 62, b'{"n": 3}'), False),
    ],
)
def test_only_objects_that_may_be_older_are_held_back(item, held):
    assert RestoredObjects().hold_back(item, IN_FORCE, NOW) == held


def test_object_without_a_predecessor_is_taken():
    assert not RestoredObjects().hold_back(_item(2, 50, b"{}"), None, NOW)


def test_held_object_is_taken_after_the_grace_period():
    restored = RestoredObjects()
    item = _item(2, 50, b'{"n": 1}')
    assert restored.hold_back(item, IN_FORCE, NOW)
    assert restored.due(NOW + GRACE / 2) == []
    assert restored.due(NOW + GRACE) == [item]
    assert not restored.hold_back(item, IN_FORCE, NOW + GRACE)
    assert restored.names == []


def test_held_object_is_dropped_when_the_newer_one_is_written_again():
    restored = RestoredObjects()
    restored.hold_back(_item(2, 50, b'{"n": 1}'), IN_FORCE, NOW)
    assert not restored.hold_back(_item(2, 58, b'{"n": 2}'), IN_FORCE, NOW)
    assert restored.due(NOW + GRACE) == []


def test_former_version_is_not_taken_although_the_newer_one_is_not_written_again():
    restored = RestoredObjects()
    former = stored(combine_version(1, 50), b'{"n": 1}')
    assert not restored.hold_back(former, None, NOW)
    assert not restored.hold_back(IN_FORCE, former, NOW)
    item = _item(2, 50, b'{"n": 1}')
    for later in (NOW, NOW + 2 * GRACE):
        assert restored.hold_back(item, IN_FORCE, later)
        assert restored.due(later) == []
