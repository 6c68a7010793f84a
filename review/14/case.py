"""A request of one tenant crashes each instance; another tenant's equal request does not."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from site_on_loopback import INSTANCE_HOST, ZONES, configuration, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OTHERS = os.environ.get("OTHERS", "1") != "0"
CONTACT = 4.0
DOWN_SECONDS = 2.0
PATH = "/reports/7"
TENANTS = {"north": "key-north", "south": "key-south"}

#: Times at which the caller comes again.
POISON_SECONDS = 3.0
POISON_COUNT = 12


async def case(site):
    """Send the request again and again; return whether it reached too many instances."""
    tenants = [
        {"name": name, "api_keys": [key], "rate_per_s": 0, "burst": 0}
        for name, key in TENANTS.items()
    ]
    routes = [route("reports", "/reports/", "granite", "idempotent")]
    routes.append(route("bookings", "/bookings/", "sledway", "non_idempotent"))
    await site.start(configuration(routes, tenants))
    for index in range(6):
        site.spawn(keep_instance(site, index, "granite"))
        site.spawn(keep_instance(site, index, "sledway"))
    await asyncio.sleep(5.0)
    sending = [site.spawn(send_steadily(site))]
    for number in range(POISON_COUNT):
        vm = site.vms[number % len(site.vms)]
        sending.append(site.spawn(ask(site, vm, "north", f"p{number}")))
        await asyncio.sleep(POISON_SECONDS)
    await asyncio.gather(*sending)
    site.check_vms()
    return judge(site)


async def keep_instance(site, index, service):
    """Start an instance, again after each crash, each time under a new name."""
    zone = list(ZONES)[index % len(ZONES)]
    start = 0
    while True:
        crash_for = "north" if TROUBLE and service == "granite" else "none"
        instance = await site.add_instance(
            f"i-{service}-{index}-{start}",
            service,
            zone,
            INSTANCE_HOST,
            crash_for=crash_for,
            crash_path=PATH,
        )
        while instance["process"].poll() is None:
            await asyncio.sleep(0.05)
        site.spawn(site.forget(instance["name"]))
        await asyncio.sleep(DOWN_SECONDS)
        start += 1


async def send_steadily(site):
    """Ask for the same report as the other tenant, ten times a second."""
    if not OTHERS:
        return
    sending = []
    for number in range(int(POISON_COUNT * POISON_SECONDS * 10)):
        vm = site.vms[number % len(site.vms)]
        sending.append(site.spawn(ask(site, vm, "south", f"s{number}")))
        await asyncio.sleep(0.1)
    await asyncio.gather(*sending)


async def ask(site, vm, tenant, identity):
    """Ask for the report as a tenant."""
    authorization = f"Bearer {TENANTS[tenant]}"
    await site.send(vm, "GET", PATH, identity, Authorization=authorization, Affinity_Key="7")


def judge(site):
    """Return whether it came to instances in more than three retries after the third crash."""
    crashes = sorted(it["t"] for it in site.lines if it.get("event") == "crash")
    sent = {it["id"]: it["t"] for it in site.lines if it.get("event") == "sent"}
    answered = {it["id"]: it["status"] for it in site.lines if it.get("event") == "answered"}
    print(f"{len(crashes)} instances crashed")
    statuses = [answered.get(f"p{number}") for number in range(POISON_COUNT)]
    print(f"answers to the request that crashes them: {statuses}")
    others = [status for identity, status in answered.items() if identity.startswith("s")]
    print(f"other tenant: {len(others)} answers, {sum(it == 200 for it in others)} with 200")
    if len(crashes) < 3:
        return False
    since = crashes[2] + CONTACT
    late = {
        it["id"]
        for it in site.lines
        if it.get("event") == "run" and it["tenant"] == "north" and sent[it["id"]] > since
    }
    runs = sum(it.get("event") == "run" and it.get("id") in late for it in site.lines)
    print(f"{len(late)} retries of it, sent later than contact after the third crash,")
    print(f"reached instances, with {runs} runs")
    return len(late) > 3


play(case, FOLDER)
