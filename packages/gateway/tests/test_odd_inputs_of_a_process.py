"""A gateway process survives odd entries, datagrams, settings and queries all at once."""

from __future__ import annotations

import json
import random
import signal
import socket

import curio
import pytest
from gateway_builders import SETTINGS_TEXT, configuration, identity, run, target
from gateway_site import free_ports, launch_gateway, status_of, until_ready
from raw_store import RawStore, raw_entry
from test_one_odd_entry import ODD_SPECS

from carawayquay.load_reports import DomainSummary, LoadReport, ServiceRate, short_hash
from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient
from carawayquay_wire.reports import encode_report, encode_summary

pytestmark = pytest.mark.processes

_HOST = "127.9.33.1"
_ROUNDS = 60
_PAUSE_SECONDS = 0.05


def _store():
    """Return a store with one sound entry after the odd ones of each kind."""
    store = RawStore()
    for kind, sound in (
        ("config", raw_entry("main", 9, json.dumps(configuration()).encode())),
        ("servers", raw_entry("zz", 9, json.dumps(target(f"{_HOST}:9")).encode())),
        ("evacuations", raw_entry("puget-b", 9, b"{}")),
        ("carawayquay-entry-vms", raw_entry("zz", 9, b'{"host":"x"}')),
    ):
        odd = [raw_entry(f"odd-{i}", 1, spec) for i, spec in enumerate(ODD_SPECS.values())]
        store.pages[kind] = [odd, [b"null", b'{"metadata":{"name":"y"}}'], [sound]]
        store.events[kind] = [
            ([b'{"object":%s,"deleted":false}' % item for item in odd[index:]], 11 + index)
            for index in range(2)
        ]
    return store


def _datagrams(generator):
    """Yield datagrams that are damaged, cut off, of any bytes, or with odd fields."""
    code = short_hash("granite")
    rates = (ServiceRate(code, 3e38), ServiceRate(code, float("nan")))
    vms = tuple(identity(f"vm-{i}", "x" * 80, "inland-a", "inland", i) for i in range(300))
    for sequence in range(_ROUNDS):
        sender = identity("puget-a-2", "127.9.33.2")
        report = LoadReport(
            sender, sequence, False, (2**64 - 1,) * 5, rates=rates, members=vms, version=2**64 - 1
        )
        summary = DomainSummary(vms[0], sequence, (1,), 2**32 - 1, members=vms, rates=rates)
        for valid in (encode_report(report), encode_summary(summary)):
            damaged = bytearray(valid)
            for _ in range(3):
                damaged[generator.randrange(len(damaged))] = generator.randrange(256)
            yield from (valid, bytes(damaged), valid[: generator.randrange(len(valid))])
        yield generator.randbytes(generator.randrange(300))


def test_odd_inputs_of_all_kinds_end_no_process(tmp_path):
    path = tmp_path / "gateway.ini"
    ports = free_ports(_HOST, 5)

    async def check():
        address = await _store().listen(_HOST)
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", str(address))
        for index, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{index}", f"{_HOST}:{port}")
        text = text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}")
        path.write_text(text)
        process = launch_gateway(path, tmp_path / "log")
        try:
            ready, lookups, admin = (Address(_HOST, port) for port in ports[1:4])
            await until_ready(ready)
            await _send_odd_inputs(process, text, lookups, admin)
            assert process.poll() is None
            dump = await HttpClient().exchange(admin, HttpRequest("GET", "/dump", (), b""), 2.0)
            assert list(dump.json()["targets"]) == ["zz"]
            assert dump.json()["evacuated"][-1] == "puget-b"
        finally:
            process.kill()
            process.wait()

    async def _send_odd_inputs(process, text, lookups, admin):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for index, data in enumerate(_datagrams(random.Random(1))):
                for port in (ports[4], ports[4] + 1):
                    sock.sendto(data, (_HOST, port))
                if index % 7 == 0:
                    path.write_bytes(
                        (b"\xff", text.encode()[: index * 3], text.encode())[index % 3]
                    )
                    process.send_signal(signal.SIGHUP)
                    assert await status_of(lookups, "//[") == 404
                    assert await status_of(admin, "/objects/servers?watch=%ff&era=" + "9" * 30) != 0
                    await curio.sleep(_PAUSE_SECONDS)
                assert process.poll() is None

    run(check)
