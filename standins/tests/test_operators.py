"""Tests of ``carawayquayctl`` on real processes: change, drain, status, dump and exit codes."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site, wait_until

pytestmark = pytest.mark.processes

SERVICE = SMALL.services[0]
#: Time within which a failure domain without requests is drained.
DRAINED_SECONDS = 5.0


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(SMALL, tmp_path_factory.mktemp("site"))
    try:
        site.up()
        yield site
    finally:
        site.down()


@pytest.fixture
def ctl(site):
    def run(*arguments):
        command = [sys.executable, "-m", "carawayquayctl.cli", *arguments]
        command += ["--store", str(site.store.address), "--json"]
        completed_process = subprocess.run(command, capture_output=True, text=True, timeout=30)
        return (
            completed_process.returncode,
            json.loads(completed_process.stdout),
            completed_process.stderr,
        )

    return run


@pytest.fixture
def document_file(site, tmp_path):
    def write(**changes):
        path = tmp_path / "sledway.json"
        path.write_text(json.dumps(site.document(SERVICE, **changes)))
        return str(path)

    return write


def test_applied_change_is_in_force_everywhere_and_status_says_so(site, ctl, document_file):
    code, applied, _ = ctl("apply", document_file(timeout=1.5))
    assert code == 0
    wait_until(lambda: ctl("status")[0] == 0, "every entry VM is current", 10.0)
    _, status, _ = ctl("status")
    held = status["services"][0]["held"]
    assert held == dict.fromkeys(site.vms, applied["version"])
    assert status["services"][0]["change"] == applied["change"]


def test_write_conflict_exits_three_and_names_the_winning_change(ctl, document_file):
    _, first, _ = ctl("apply", document_file(timeout=1.5))
    code, result, errors = ctl("apply", document_file(), "--replaces", str(first["replaced"]))
    assert code == 3
    assert first["change"] in errors
    assert str(first["version"]) in result["problems"][0]


def test_lost_answer_of_the_store_is_read_back(site, ctl, document_file):
    site.control(site.store, lose_writes=1)
    code, applied, _ = ctl("apply", document_file(timeout=1.25))
    assert code == 0
    assert applied["confirmed_by"] == "read-back"


def test_drain_completes_and_is_lifted(ctl):
    assert ctl("drain", "puget-b", "sledway")[0] == 0

    def drained():
        return [drain["state"] for drain in ctl("status")[1]["drains"]] == ["drained"]

    wait_until(drained, "puget-b is drained", DRAINED_SECONDS)
    assert ctl("undrain", "puget-b", "sledway")[0] == 0
    assert ctl("show", "sledway")[1]["document"]["drains"] == []


def test_invalid_document_exits_two_with_every_problem(ctl, document_file):
    code, result, _ = ctl("apply", document_file(timeout="soon", cap={"window": 0}))
    assert code == 2
    assert any('"timeout"' in problem for problem in result["problems"])
    assert any('"window"' in problem for problem in result["problems"])


def test_dump_and_unreachable_entry_vm(ctl):
    code, state, _ = ctl("dump", "puget-a-1")
    assert (code, state["vm"]["name"]) == (0, "puget-a-1")
    assert ctl("dump", "127.0.0.1:1")[0] == 4
