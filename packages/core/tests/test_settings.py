"""Validation of settings reports all problems with section, key and value."""

from __future__ import annotations

from datetime import timedelta

import pytest
from document_builders import settings_text

from carawayquay.errors import SettingsError
from carawayquay.membership import Address
from carawayquay.settings import load_settings, parse_settings


def problems(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return caught.value.problems


def test_good_settings_get_the_defaults_of_absent_keys():
    settings = parse_settings(settings_text())
    assert settings.callers == Address("127.0.0.1", 8000)
    assert settings.seeds == ()
    assert settings.stop_grace == timedelta(seconds=30)


def test_all_problems_are_reported_together():
    text = settings_text(callers="nowhere", timeout="never", level="LOUD")
    assert problems(text) == (
        "[listen] callers = 'nowhere' is not host:port",
        "[store] timeout = 'never' is not a number of seconds from 0.05 to 30",
        "[log] level = 'LOUD' is not one of DEBUG, INFO, WARNING, ERROR",
    )


def test_unknown_keys_and_sections_are_problems():
    text = settings_text(extra="colour = red\n[paint]\ncolour = red\n")
    assert problems(text) == ("[log] colour is not a setting", "[paint] is not a section")


def test_missing_keys_are_named():
    assert "[vm] name is missing: a name of a-z, 0-9 and -" in problems("[vm]\n")


@pytest.mark.parametrize("text", ["no section", "[vm]\nname = a\nname = b\n", "[vm\n"])
def test_text_that_is_not_ini_is_one_problem(text):
    assert len(problems(text)) == 1


def test_file_that_cannot_be_read_is_a_problem(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(tmp_path / "absent.ini")
