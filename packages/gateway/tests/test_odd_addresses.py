"""An address that cannot be connected to without looking up a name is refused with its entry."""

from __future__ import annotations

import pytest
from gateway_builders import identity, stored, target
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.errors import ObjectError
from carawayquay.membership import Address
from carawayquay_platform.objects import entry_vm_spec, parse_entry_vm, parse_target

_REGIONS = {"puget-a": "puget"}

ODD_PORTS = (
    "99999999999999999999",
    "9" * 4_000,
    "70000",
    "0",
    "-1",
    "+80",
    " 80",
    "8_0",
    "\uff11\uff12",
    "\xb2",
    "",
)
ODD_HOSTS = (
    "",
    "[::1]",
    "::1",
    "host",
    "host name",
    "x" * 64 + ".example",
    "\xfc.example",
    "10.0.0.300",
    "10.0.0",
    "167772161",
    "010.0.0.1",
    "10.0.0.\uff11",
    " 10.0.0.1",
)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1",
        *(f"10.0.0.1:{port}" for port in ODD_PORTS),
        *(f"{host}:80" for host in ODD_HOSTS),
    ],
)
def test_target_with_an_odd_address_is_refused(address):
    with pytest.raises(ObjectError):
        parse_target(stored("t", target(address)), _REGIONS)


@pytest.mark.parametrize("host", ODD_HOSTS)
def test_entry_vm_with_an_odd_host_is_refused(host):
    with pytest.raises(ObjectError):
        parse_entry_vm(stored("vm", entry_vm_spec(identity(host=host))))


@pytest.mark.parametrize("host", ["a\x00b", "\xfc" * 64 + ".example", "\ud800", "a b", ""])
def test_address_that_no_socket_takes_is_refused(host):
    with pytest.raises(ValueError, match="host:port"):
        Address.parse(f"{host}:80")


@given(st.text())
def test_any_text_is_an_address_or_refused(text):
    try:
        address = Address.parse(text)
    except ValueError:
        return
    assert 0 < address.port < 65536
    assert str(address.port) == text.rpartition(":")[2].lstrip("0")


@given(st.sampled_from(sorted(target())), st.booleans() | st.none() | st.floats() | st.text())
def test_odd_field_of_a_target_is_refused_or_read(field, value):
    try:
        parsed = parse_target(stored("t", target() | {field: value}), _REGIONS)
    except ObjectError:
        return
    assert type(parsed.slots) is type(parsed.sequence) is type(parsed.incarnation) is int
    assert 0 <= parsed.cold_for.total_seconds() <= 86_400


@pytest.mark.parametrize(
    "change",
    [
        {"max_concurrency": True},
        {"max_concurrency": 1e3},
        {"max_concurrency": 10**30},
        {"sequence": True},
        {"sequence": 2**64},
        {"born": False},
        {"born": 1.5},
        {"born": "1000"},
        {"cold_left": "1e400s"},
        {"cold_left": "99999999999999s"},
        {"cold_left": "9" * 400 + "s"},
        {"cold_left": "\uff11s"},
        {"cold_left": 5},
    ],
    ids=str,
)
def test_target_with_an_odd_number_is_refused(change):
    with pytest.raises(ObjectError):
        parse_target(stored("t", target(**change)), _REGIONS)
