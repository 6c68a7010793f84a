"""A settings file of any content, or none, leaves the settings in force; no change is missed."""

from __future__ import annotations

import pytest
from gateway_builders import SETTINGS_TEXT, new_state, settings
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.errors import SettingsError
from carawayquay.settings import read_settings
from carawayquay_gateway.reload import SettingsReloader
from carawayquay_gateway.settings import parse_gateway_settings
from carawayquay_gateway.settings_file import SettingsFile

_LINES = SETTINGS_TEXT.splitlines()


@pytest.mark.parametrize("data", [b"\xff\xfe", b"[vm]\nname = \xe9\n", b"\x00" * 100, b""])
def test_file_that_is_no_settings_leaves_the_current_ones_in_force(tmp_path, data):
    path = tmp_path / "settings.ini"
    path.write_bytes(data)
    state = new_state()
    before = state.settings
    SettingsReloader(state, SettingsFile(path)).reload()
    assert state.settings == before


def test_folder_in_place_of_the_file_leaves_the_current_settings_in_force(tmp_path):
    state = new_state()
    SettingsReloader(state, SettingsFile(tmp_path)).reload()
    assert state.settings == settings()


def test_bytes_that_are_no_text_are_a_settings_error(tmp_path):
    path = tmp_path / "settings.ini"
    path.write_bytes(b"\xff")
    with pytest.raises(SettingsError, match="UTF-8"):
        read_settings(path)


@given(st.integers(0, len(SETTINGS_TEXT)))
def test_half_written_settings_are_read_or_refused(length):
    _parse(SETTINGS_TEXT[:length])


@given(st.lists(st.sampled_from(_LINES) | st.text(max_size=12) | st.sampled_from(["[DEFAULT]"])))
def test_any_lines_are_read_or_refused(lines):
    _parse("\n".join(lines))


@given(
    st.sampled_from([line for line in _LINES if "=" in line]),
    st.text(max_size=8)
    | st.sampled_from(["nan", "inf", "-1", "1e400", "-5s", "9" * 5_000, "9" * 400 + "s", "9,9"]),
)
def test_any_value_of_a_setting_is_read_or_refused(line, value):
    _parse(SETTINGS_TEXT.replace(line, f"{line.partition('=')[0]}= {value}"))


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "-1", "1e400"])
@pytest.mark.parametrize("key", ["retry_ratio", "retry_allowance", "cold_over", "cold_slack"])
def test_number_out_of_range_is_refused(key, value):
    line = next(line for line in _LINES if line.startswith(key))
    changed = SETTINGS_TEXT.replace(line, f"{key} = {value}")
    found = parse_gateway_settings(changed, settings())
    assert getattr(found, key) == getattr(settings(), key)
    assert found.problems


@pytest.mark.parametrize("key", ["stop", "lookup_life", "retry_window"])
def test_negative_duration_is_refused(key):
    line = next(line for line in _LINES if line.startswith(key))
    found = parse_gateway_settings(SETTINGS_TEXT.replace(line, f"{key} = -5s"), settings())
    assert found == settings()
    assert found.problems


def _parse(text):
    """Parse a text as settings, alone and over those in force."""
    for current in (None, settings()):
        try:
            parse_gateway_settings(text, current)
        except SettingsError:
            continue
