"""One instance of eight fails bookings that it ran with 503, while its health check is good."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from site_on_loopback import INSTANCE_HOST, ZONES, configuration, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROMISES = (408, 421, 429, 503)
INSTANCES = 8
GREY = 1
GREY_SHARE = 0.45
GREY_SECONDS = 6.4
SECONDS = 10
PER_SECOND = 40


async def case(site):
    """Send bookings, and return whether a promise was given for one that ran."""
    await site.start(configuration([route("bookings", "/bookings/", "sledway", "non_idempotent")]))
    grey_from = time.time() + 6.0
    for index in range(INSTANCES):
        zone = list(ZONES)[index % len(ZONES)]
        share = GREY_SHARE if TROUBLE and index < GREY else 0.0
        await site.add_instance(
            f"i-{index}",
            "sledway",
            zone,
            INSTANCE_HOST,
            trouble_from=grey_from,
            trouble_until=grey_from + GREY_SECONDS,
            grey_share=share,
            grey_status=503,
        )
    await asyncio.sleep(5.0)
    sending = []
    for number in range(SECONDS * PER_SECOND):
        sending.append(site.spawn(book(site, number)))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*sending)
    site.check_vms()
    return judge(site)


async def book(site, number):
    """Book once; retry after a promise, as clients do, with a new id at another VM."""
    for attempt in range(2):
        vm = site.vms[(number + attempt) % len(site.vms)]
        status = await site.send(
            vm, "POST", f"/bookings/{number}", f"b{number}.{attempt}", body=b"one sack"
        )
        if status not in PROMISES:
            return
        await asyncio.sleep(0.1)


def judge(site):
    """Return whether a client was promised that a request had not run, though it had."""
    run = {it["id"] for it in site.lines if it.get("event") == "run"}
    answered = [it for it in site.lines if it.get("event") == "answered"]
    wrong = [it for it in answered if it["status"] in PROMISES and it["id"] in run]
    served = sum(it["status"] == 200 for it in answered)
    twice = {it.split(".")[0] for it in run if f"{it.split('.')[0]}.0" in run and it.endswith(".1")}
    print(f"{len(answered)} answers, {served} with 200, {len(run)} requests run")
    print(f"{len(wrong)} answered with a promise (408, 421, 429, 503) though they had run")
    print(f"{len(twice)} bookings run again, as the client retried after that promise")
    return bool(wrong)


play(case, FOLDER)
