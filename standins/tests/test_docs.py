"""Tests that the tables of the docs pages match the code."""

from __future__ import annotations

import re
from pathlib import Path

from doc_tables import document_rows, error_rows, section_rows, setting_rows

from carawayquay_wire.events import Event
from carawayquayctl.cli import Commands
from carawayquayctl.output import ExitCode


def test_callers_page_names_every_refusal_as_the_code_answers_it():
    rows = section_rows("CALLERS.md", "Refusals")
    assert ["|".join(row.split("|")[:5]) + "|" for row in rows] == error_rows()


def test_operators_page_names_every_setting():
    assert section_rows("OPERATORS.md", "Settings of a daemon") == setting_rows()


def test_operators_page_names_every_key_of_a_document():
    assert section_rows("OPERATORS.md", "Keys of a document") == document_rows()


def test_operators_page_names_every_event():
    rows = section_rows("OPERATORS.md", "Events in the log")
    assert sorted(row.split("`")[1] for row in rows) == sorted(event.value for event in Event)


def test_operators_page_names_every_command_and_exit_code():
    commands = {name for name in vars(Commands) if not name.startswith("_")}
    rows = section_rows("OPERATORS.md", "Commands")
    assert {re.match(r"\| `(\w+)", row)[1] for row in rows} == commands
    codes = section_rows("OPERATORS.md", "Exit codes")
    assert [int(row.split("|")[1]) for row in codes] == [code.value for code in ExitCode]


def test_every_linked_page_exists():
    docs = Path(__file__).parents[2] / "docs"
    for page in ("CALLERS.md", "OPERATORS.md"):
        for name in re.findall(r"\]\(([A-Z]+\.md)\)", (docs / page).read_text()):
            assert (docs / name).exists()
