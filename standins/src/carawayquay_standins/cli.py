"""Command line of the stand-ins: starts and stops sites, and runs each stand-in as a process."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import attrs
import curio
import fire

from carawayquay.membership import Address
from carawayquay_standins.layout import LAYOUTS
from carawayquay_standins.partition_proxy import PartitionProxy
from carawayquay_standins.pids import running_pids, stop_site
from carawayquay_standins.site import Site
from carawayquay_standins.store import StoreStandIn
from carawayquay_standins.target import Behaviour, TargetStandIn
from carawayquay_wire.signals import StopSignal

__all__ = ["main"]


def store(address: str) -> None:
    """Run the stand-in for the store.

    :param address: host:port to listen on
    """
    curio.run(_serve, StoreStandIn().http, Address.parse(address))


def target(address: str, name: str, slots: int, work_ms: float = 5.0) -> None:
    """Run the stand-in for a target.

    :param address: host:port to listen on
    :param name: name of the target
    :param slots: concurrency limit
    :param work_ms: run time of a warm request in milliseconds
    """
    stand_in = TargetStandIn(name, slots, Behaviour(work_ms=work_ms))
    curio.run(_serve, stand_in, Address.parse(address))


def up(dir: str, layout: str = "small", vms: int = 0) -> None:  # noqa: A002
    """Start a site that keeps running after this command ends.

    :param dir: folder for the files of the processes; it must hold no running site
    :param layout: cascade, kohlenglut or small
    :param vms: entry VMs per failure domain; 0 for the number of the layout
    """
    if layout not in LAYOUTS:
        sys.exit(f'unknown layout "{layout}": expected one of {", ".join(LAYOUTS)}')
    folder = Path(dir)
    if running_pids(folder):
        sys.exit(f"{folder} holds a running site")
    site_layout = LAYOUTS[layout]
    if vms:
        site_layout = attrs.evolve(site_layout, vms_per_domain=vms)
    site = Site(site_layout, folder)
    try:
        site.up()
    except BaseException:
        site.down()
        raise
    print(f"{len(site.processes)} processes started, settings: {folder}/carawayquayctl.ini")
    for name, address in site.callers.items():
        print(f"{name} listens for callers at {address}")


def down(dir: str, now: bool = False) -> None:  # noqa: A002
    """Stop the processes of a site.

    :param dir: folder of the site
    :param now: kill the processes instead of stopping them gracefully
    """
    stopped, killed = stop_site(Path(dir), now=now)
    print(f"{stopped} processes stopped, {killed} killed")


def relay(address: str, plan: str) -> None:
    """Run the TCP proxy that simulates network partitions between failure domains.

    :param address: host:port of its control interface
    :param plan: path of the JSON file with its routes
    """
    curio.run(_serve_partition_proxy, PartitionProxy.load(Path(plan)), Address.parse(address))


async def _serve_partition_proxy(stand_in: PartitionProxy, address: Address) -> None:
    await stand_in.listen()
    await _serve(stand_in.http, address)


async def _serve(http: Any, address: Address) -> None:
    stop = StopSignal()
    await curio.spawn(curio.tcp_server, address.host, address.port, http.serve, daemon=True)
    await stop.wait()


def main() -> None:
    """Run the command given on the command line."""
    fire.Fire({"relay": relay, "store": store, "target": target, "up": up, "down": down})


if __name__ == "__main__":
    main()
