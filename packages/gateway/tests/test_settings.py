"""Settings are checked whole, and each problem is named."""

from __future__ import annotations

from datetime import timedelta

import pytest
from gateway_builders import SETTINGS_TEXT, settings

from carawayquay.errors import SettingsError
from carawayquay.membership import Address
from carawayquay_gateway.settings import parse_gateway_settings


def test_settings_are_read():
    read = settings()
    assert read.reports == Address("127.0.0.1", 7010)
    assert read.stop_grace == timedelta(seconds=6)
    assert read.regions == {"puget-a": "puget", "puget-b": "puget", "inland-a": "inland"}


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ("stop = 6s", "stop = 6", "stop"),
        ("ports = 7010,7020", "ports = some", "ports"),
        ("cold_over = 1.5", "cold_over = much", "cold_over"),
        ("callers = 127.0.0.1:7001", "callers = here", "callers"),
        ("callers = 127.0.0.1:7001", "", "callers is missing"),
        ("[store]", "[store]\nsecret = 7", "secret is not a setting"),
        ("puget-a = puget", "puget-a = inland", "puget-a"),
    ],
)
def test_wrong_setting_is_refused_by_name(old, new, problem):
    with pytest.raises(SettingsError, match=problem):
        parse_gateway_settings(SETTINGS_TEXT.replace(old, new, 1))
