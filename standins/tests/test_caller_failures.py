"""Tests of malformed, slow and disconnecting callers and the admin port on real processes."""

from __future__ import annotations

import re
import socket
import threading
import time
from contextlib import suppress

import attrs
import curio
import pytest

from carawayquay.lookup import LIFETIME
from carawayquay_standins.caller import CallerStandIn, ResultKind
from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site, http_request, wait_until

pytestmark = pytest.mark.processes

LAYOUT = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=2)
VM = "puget-a-1"
#: Header timeout of a daemon, doubled for a busy machine.
SLOW_SECONDS = 10.0
#: Time within which the run of a caller that closed its connection is cancelled.
CANCEL_SECONDS = 2.0

POST = b"POST /services/sledway/p HTTP/1.1\r\nHost: x\r\n"
SMUGGLED = b"GET /services/sledway/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
ATTACKS = [
    POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab" + SMUGGLED,
    POST + b"Content-Length: 99999999\r\n\r\n",
    POST + b"Idempotency-Key: a\rb\r\nContent-Length: 0\r\n\r\n",
    POST + b"".join(b"X-%d: y\r\n" % i for i in range(1000)) + b"\r\n",
    b"GET /" + b"a" * 100_000,
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 50,
]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(LAYOUT, tmp_path_factory.mktemp("site"))
    try:
        site.up()
        yield site
    finally:
        site.down()


def connect(site, name=VM):
    address = site.callers[name]
    return socket.create_connection((address.host, address.port), timeout=SLOW_SECONDS)


def read_all(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        pass
    return data


def send_raw(site, data):
    with connect(site) as sock:
        with suppress(OSError):
            sock.sendall(data)
        return read_all(sock)


def all_metrics(site):
    answers = [http_request(process.address, "GET", "/metrics") for process in site.vms.values()]
    return "".join(answer.body.decode() for answer in answers)


def get_stock(site, path="/stones", **options):
    return http_request(site.callers[VM], "GET", f"/services/sledway{path}", **options)


@pytest.mark.parametrize("attack", ATTACKS, ids=range(len(ATTACKS)))
def test_broken_request_gets_one_refusal_and_reaches_no_target(site, attack):
    before = len(site.runs())
    answer = send_raw(site, attack)
    statuses = re.findall(rb"HTTP/1\.1 (\d)\d\d", answer)
    assert statuses == [b"4"]
    assert b"carawayquay-outcome: not-run" in answer
    assert len(site.runs()) == before
    assert get_stock(site).status == 200


def test_slow_headers_are_refused_in_time_while_other_requests_are_served(site):
    slow = [connect(site) for _ in range(50)]
    started = time.monotonic()
    for sock in slow:
        sock.sendall(b"GET / HTTP/1.1\r\nX: ")
    while time.monotonic() - started < 2.0:
        for sock in slow:
            sock.sendall(b"y")
        assert get_stock(site).status == 200
    answers = [read_all(sock) for sock in slow]
    assert all(b"slow-request" in answer for answer in answers)
    assert time.monotonic() - started < SLOW_SECONDS


def test_caller_that_closes_has_its_work_cancelled(site):
    with connect(site) as sock:
        sock.sendall(b"GET /services/sledway/slow HTTP/1.1\r\nHost: x\r\nX-Work-Ms: 1500\r\n\r\n")
        wait_until(lambda: "/slow" in [run["path"] for run in site.runs()], "the request runs")
    wait_until(
        lambda: [r["cancelled"] for r in site.runs() if r["path"] == "/slow"] == [True],
        "the run is cancelled",
        CANCEL_SECONDS,
    )


def test_pipelined_requests_get_their_own_answers_in_order(site):
    requests = [
        b"GET /services/sledway/p%d HTTP/1.1\r\nHost: x\r\nX-Work-Ms: %d\r\n\r\n" % (i, 50 - 5 * i)
        for i in range(8)
    ]
    requests[-1] = requests[-1].replace(b"Host: x", b"Host: x\r\nConnection: close")
    answer = send_raw(site, b"".join(requests))
    assert re.findall(rb'"path":\s*"/p(\d)"', answer) == [b"%d" % i for i in range(8)]


def test_admin_port_serves_metrics_and_explains_routing(site):
    get_stock(site)
    admin = site.vms[VM].address
    metrics = http_request(admin, "GET", "/metrics").body.decode()
    assert re.search(r'carawayquay_request_seconds_count\{service="sledway"\} [1-9]', metrics)
    assert re.search(r'carawayquay_store_call_seconds_count\{call="get"\} [1-9]', metrics)
    assert re.search(r'carawayquay_queueing_seconds_count\{service="sledway"\}', all_metrics(site))
    why = http_request(admin, "GET", "/explain?service=sledway&client=192.0.2.1").json()
    assert sorted(why["entries"]) == ["puget-a-1", "puget-a-2"]
    assert why["home"]["region"] == "puget"
    assert http_request(admin, "POST", "/state").status == 405


def test_stopping_vm_leaves_lookups_and_interrupts_no_request(site):
    """A caller that caches look-ups for their lifetime gets every answer at its first attempt."""
    results = []
    stopped = threading.Event()

    async def call():
        caller = CallerStandIn(list(site.callers.values()))
        while not stopped.is_set():
            results.append(await caller.request("sledway", "GET", "/stones"))
        await caller.close()

    caller_thread = threading.Thread(target=lambda: curio.run(call))
    caller_thread.start()
    try:
        wait_until(lambda: len(results) > 20, "the caller is served")
        with connect(site) as sock:
            sock.sendall(
                POST + b"Idempotency-Key: late\r\nX-Work-Ms: 1800\r\nContent-Length: 0\r\n\r\n"
            )
            wait_until(lambda: "late" in [run["key"] for run in site.runs()], "the booking runs")
            site.publish_vm_list("puget", "puget-a", VM)
            started = time.monotonic()
            assert site.vms[VM].stop() == 0
            assert time.monotonic() - started > LIFETIME.total_seconds()
            assert b"HTTP/1.1 200" in read_all(sock)
        served = len(results)
        wait_until(lambda: len(results) > served + 20, "the caller is served by the other entry VM")
    finally:
        stopped.set()
        caller_thread.join(SLOW_SECONDS)
    distinct_results = {(result.kind, result.maybe_run, result.attempts) for result in results}
    assert distinct_results == {(ResultKind.ANSWERED, False, 1)}
