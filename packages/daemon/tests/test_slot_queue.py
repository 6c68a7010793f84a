"""Requests wait for slots in order of arrival, and never past their deadline."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.shedding import MAX_QUEUED, RunTimeMeans
from carawayquayd.slot_queue import SlotQueue

LONG = timedelta(seconds=5)


class Slots:
    """A queue over a number of free slots, which records the order in which they are taken."""

    def __init__(self, free=0, limit=4):
        self.free = free
        self.limit = limit
        self.taken = []
        self.run_times = RunTimeMeans()
        self.queue = SlotQueue("sledway", self.run_times, lambda: self.limit)

    def try_take(self, name):
        if not self.free:
            return None
        self.free -= 1
        self.taken.append(name)
        return name

    async def wait(self, name, left=LONG):
        return await self.queue.take(lambda: self.try_take(name), left)

    async def release(self):
        self.free += 1
        await self.queue.wake()


def test_free_slot_is_taken_at_once():
    slots = Slots(free=1)
    assert curio.run(slots.wait, "first") == "first"


def test_waiting_requests_are_served_in_order_of_arrival():
    async def scenario():
        slots = Slots()
        tasks = [await curio.spawn(slots.wait, name) for name in "abc"]
        await curio.sleep(0)
        slots.free = 3
        await slots.queue.wake()
        for task in tasks:
            await task.join()
        return slots.taken

    assert curio.run(scenario) == ["a", "b", "c"]


def test_new_request_does_not_overtake_waiting_ones():
    async def scenario():
        slots = Slots()
        first = await curio.spawn(slots.wait, "first")
        await curio.sleep(0)
        slots.free = 1
        second = await curio.spawn(slots.wait, "second")
        await curio.sleep(0)
        await slots.queue.wake()
        await first.join()
        await second.cancel()
        return slots.taken

    assert curio.run(scenario) == ["first"]


def test_cancelled_request_passes_its_turn_to_the_next():
    async def scenario():
        slots = Slots()
        first = await curio.spawn(slots.wait, "first")
        second = await curio.spawn(slots.wait, "second")
        await curio.sleep(0)
        await slots.release()
        await first.cancel()
        return await second.join() if not slots.taken else slots.taken[0]

    assert curio.run(scenario) in ("first", "second")


def test_request_with_expected_wait_past_its_deadline_is_refused_at_once_as_not_run():
    slots = Slots(limit=1)
    slots.run_times.record("sledway", timedelta(seconds=1))
    with pytest.raises(RequestError) as caught:
        curio.run(slots.wait, "late", timedelta(seconds=1.5))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert caught.value.not_run


def test_request_is_refused_at_once_if_the_limit_is_zero():
    with pytest.raises(RequestError) as caught:
        curio.run(Slots(limit=0).wait, "any")
    assert caught.value.not_run


def test_queue_is_bounded():
    async def scenario():
        slots = Slots(limit=1000)
        tasks = [await curio.spawn(slots.wait, n, LONG * 100) for n in range(MAX_QUEUED)]
        await curio.sleep(0)
        with pytest.raises(RequestError) as caught:
            await slots.wait("one too many", LONG * 100)
        for task in tasks:
            await task.cancel()
        return caught.value.kind, len(slots.queue)

    assert curio.run(scenario) == (ErrorKind.OVERLOADED, 0)
