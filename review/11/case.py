"""A zone with instances loses power while they send answers that end with their connections."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from power import PoweredHost  # noqa: E402
from site_on_loopback import configuration, free_port, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LINES = 40
LINE_SECONDS = 0.05
INSTANCES = 6
PER_SECOND = 10
CALM_SECONDS = 4.0
DARK_SECONDS = 5.5


async def case(site):
    """Send lookups through a loss of power; return whether a part of an answer looked whole."""
    lookups = route("logs", "/logs/", "archive", "idempotent", timeout="9000ms")
    bookings = route("bookings", "/bookings/", "sledway", "non_idempotent")
    await site.start(configuration([lookups, bookings], services=("archive", "sledway")))
    hosts = [await start_host(site, index, "first") for index in range(INSTANCES)]
    await asyncio.sleep(5.0)
    sending = site.spawn(send_steadily(site, 2 * CALM_SECONDS + DARK_SECONDS))
    await asyncio.sleep(CALM_SECONDS)
    if TROUBLE:
        for host, instance in hosts:
            host.lose_power()
            instance["process"].kill()
            site.spawn(site.forget(instance["name"]))
        site.note(event="the zone has lost its power")
    await asyncio.sleep(DARK_SECONDS)
    if TROUBLE:
        for index, (host, _) in enumerate(hosts):
            host.get_power()
            await start_host(site, index, "second", host.address)
        site.note(event="the zone has its power back")
    wrong, whole, others = await sending
    site.check_vms()
    print(f"{whole} whole answers, {others} failures or no answer")
    print(f"{len(wrong)} answers with 200, a stamp and a length, but a part of the body only")
    for line in wrong[:5]:
        print(f"  {line}")
    return bool(wrong)


async def start_host(site, index, start, address=None):
    """Start an instance behind a host that can lose its power."""
    address = address or (f"127.0.63.{index + 1}", free_port(f"127.0.63.{index + 1}"))
    behind = f"127.0.64.{index + 1}"
    port = free_port(behind)
    host = PoweredHost(address, (behind, port))
    await host.start()
    instance = await site.add_instance(
        f"i-{start}-{index}",
        "archive",
        "puget-b",
        behind,
        port,
        registered=f"{address[0]}:{address[1]}",
        lines=LINES,
        line_seconds=LINE_SECONDS,
    )
    return host, instance


async def send_steadily(site, seconds):
    """Send lookups; return the answers that are not whole, and the numbers of the others."""
    sending = []
    for number in range(int(seconds * PER_SECOND)):
        vm = site.vms[number % len(site.vms)]
        sending.append(site.spawn(look_up(site, vm, f"q{number}")))
        await asyncio.sleep(1 / PER_SECOND)
    ends = await asyncio.gather(*sending)
    wrong = [end for end in ends if end not in ("whole", "other")]
    return wrong, ends.count("whole"), ends.count("other")


async def look_up(site, vm, identity):
    """Look up once, and compare the answer with what an instance sends."""
    answer = await site.send(
        vm, "GET", f"/logs/{identity}", identity, seconds=12.0, whole=True, Deadline_Ms="9000"
    )
    if answer is None or answer.status != 200:
        return "other"
    lines = "".join(f"line {number} of {LINES} of {identity}\n" for number in range(LINES))
    if answer.body.decode() == lines:
        return "whole"
    stamp = answer.headers.get("server-stamp")
    return f"{identity}: stamp {stamp}, {len(answer.body)} of {len(lines)} bytes"


play(case, FOLDER)
