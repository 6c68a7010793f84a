"""Every kind of refusal has a consistent HTTP answer."""

from __future__ import annotations

import pytest

from carawayquay.errors import ANSWERS, ErrorKind, Outcome, RequestError


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_kind_has_an_answer_of_an_error_status(kind):
    assert 400 <= ANSWERS[kind].status <= 599


@pytest.mark.parametrize("kind", ErrorKind)
def test_client_errors_other_than_conflicts_are_never_run(kind):
    answer = ANSWERS[kind]
    if answer.status < 500 and answer.status != 409:
        assert answer.outcome is Outcome.NOT_RUN


def test_error_names_its_kind_and_detail():
    error = RequestError(ErrorKind.OVERLOADED, 'service "sledway" has no free slot')
    assert str(error) == 'overloaded: service "sledway" has no free slot'
    assert error.not_run
