"""A target whose process ends is distinguished from one that only closed a connection."""

from __future__ import annotations

from types import SimpleNamespace

import curio
import pytest

from carawayquay_wire.http_client import HttpError
from carawayquayd.crash_checks import has_crashed

RESET = HttpError("connection reset by peer", sent=True)
REFUSED = HttpError("connect call failed", sent=False, refused=True)
SILENT = HttpError("no answer", sent=True, timed_out=True)
SAME, OTHER = SimpleNamespace(boot="a"), SimpleNamespace(boot="b")


@pytest.mark.parametrize(
    ("answers", "crashed"),
    [
        ([REFUSED], True),
        ([RESET, REFUSED], True),
        ([RESET, RESET, RESET, REFUSED], True),
        ([RESET, OTHER], True),
        ([RESET, SAME], False),
        ([SAME], False),
        ([SILENT], False),
        ([RESET] * 9, False),
    ],
)
def test_crash_is_decided_by_the_first_conclusive_probe(answers, crashed):
    left = list(answers)

    async def probe():
        answer = left.pop(0)
        if isinstance(answer, HttpError):
            raise answer
        return answer

    assert curio.run(has_crashed, probe, SAME) == crashed
