"""Settings are validated completely, and each problem names its setting."""

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
        ("callers = 127.0.0.1:7001", "callers = here", "callers"),
        ("callers = 127.0.0.1:7001", "", "callers is missing"),
        ("puget-a = puget", "puget-a = inland", "puget-a"),
    ],
)
def test_invalid_setting_without_fallback_is_refused_by_name(old, new, problem):
    with pytest.raises(SettingsError, match=problem):
        parse_gateway_settings(SETTINGS_TEXT.replace(old, new, 1))


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ("cold_over = 1.5", "cold_over = much", "[bounds] cold_over = 'much' is not a number"),
        ("[store]", "[store]\nsecret = 7", "[store] secret is not a setting"),
        ("[store]", "[paint]\ncolour = red\n[store]", "[paint] is not a section"),
    ],
)
def test_invalid_setting_affects_no_other_and_is_named(old, new, problem):
    read = parse_gateway_settings(SETTINGS_TEXT.replace(old, new, 1))
    assert read.problems == (problem,)
    assert read.cold_over == (1.0 if "cold_over" in problem else 1.5)
    assert read.cold_slack == 5


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("cold_over = 1.5", "cold_over = much"),
        ("stop = 6s", "stop = 6"),
        ("callers = 127.0.0.1:7001", "callers = here"),
        ("puget-a = puget", "puget-a = inland"),
        ("retry_window = 10s", f"retry_window = {'9' * 400}s"),
    ],
)
def test_invalid_setting_keeps_its_current_value(old, new):
    current = settings()
    read = parse_gateway_settings(SETTINGS_TEXT.replace(old, new, 1), current)
    assert read == current
    assert len(read.problems) == 1


def test_file_that_lacks_a_required_setting_is_refused_whole():
    with pytest.raises(SettingsError, match="callers is missing"):
        parse_gateway_settings(SETTINGS_TEXT.replace("callers = 127.0.0.1:7001", "", 1), settings())
