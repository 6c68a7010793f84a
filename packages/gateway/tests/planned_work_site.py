"""Builder of a site of gateway processes whose operators do planned work, drawn from a seed."""

from __future__ import annotations

import os
import random
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import SETTINGS_TEXT, configuration, route
from gateway_site import free_ports, status_of
from planned_work_callers import KeptCaller
from planned_work_records import Journal
from planned_work_targets import RecordingTarget, free_address

from carawayquay.membership import Address
from carawayquay_standins.platform_store import PlatformStoreStandIn

_PROGRAM = Path(__file__).parents[3] / "deploy" / "gateway.py"

#: Time from a stop signal to the kill of a process that has not ended, and to its start again.
_GRACE_SECONDS = 6.0
_DRAIN_SECONDS = 2.5
_REUSE_SECONDS = 2.0
_START_SECONDS = 20.0

_IDLE_LIMITS_MS = (500, 1000, 2000, 5000, 15000, 60000)
_TIMEOUTS_MS = (1200, 4000, 9000)
_TARGETS = 4
_VMS = 3
_CALLERS = 24

#: Share of the work that is done before more is begun.
_IN_SERIES_SHARE = 0.15

#: Longest pause between two pieces of planned work.
_MAX_GAP_SECONDS = 0.8


class _VM:
    """One gateway process, with its settings file."""

    def __init__(self, name, host, ports, path):
        self.name = name
        self.callers = Address(host, ports[0])
        self.ready = Address(host, ports[1])
        self.lookups = Address(host, ports[2])
        self.path = path
        self.log = path.with_suffix(".log")
        self.process = None
        self.ends_by_plan = False
        self.settings_whole = True
        self.started = False

    def launch(self):
        """Start the process."""
        self.ends_by_plan = False
        self.started = False
        environment = os.environ | {"CARAWAYQUAY_NODE_FILE": str(self.path)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(_PROGRAM)], stdout=log, stderr=log, env=environment
            )

    def reload(self):
        """Send a reload signal, if the process runs and its interpreter has begun the program."""
        if self.process.poll() is None and _minds_reload_signals(self.process.pid):
            self.process.send_signal(signal.SIGHUP)

    async def until_ready(self):
        """Wait until the process says that it is ready."""
        async with curio.timeout_after(_START_SECONDS):
            while await status_of(self.ready, "/ready") != 200:
                await curio.sleep(0.1)
        self.started = True


def _minds_reload_signals(pid):
    """Return whether a process ignores or handles the reload signal, which else ends it."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [int(it.split()[1], 16) for it in lines if it.startswith(("SigIgn:", "SigCgt:"))]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)


class PlannedWorkSite:
    """A store, recording targets, gateway processes, callers, and the work planned for them.

    :param folder: for settings files and logs
    :param host_prefix: the first three parts of the addresses to use
    """

    def __init__(self, folder, seed, host_prefix):
        self.random = random.Random(seed)
        self.journal = Journal()
        self.store = PlatformStoreStandIn()
        self.idle_seconds = 5.0
        self.stopping_callers = False
        self.work_done = {}
        self._folder = folder
        self._prefix = host_prefix
        self._vms = []
        self._targets = []
        self._target_count = 0
        self._version = 1
        self._store_busy = False
        self._works = {
            "stop and restart": self._restart,
            "removal": self._remove,
            "reload": self._reload,
            "silent change of settings": self._change_settings,
            "configurations": self._reconfigure,
            "draining target": self._drain_target,
            "leaving target": self._remove_target,
            "idle connections of a target": self._close_target_connections,
            "store away": self._lose_store,
        }

    @property
    def lookups(self):
        """The addresses of all VMs for look-ups."""
        return [vm.lookups for vm in self._vms]

    def vm_at(self, address):
        """Return the name of the VM with an address for callers."""
        return next(vm.name for vm in self._vms if vm.callers == address)

    async def start(self):
        """Start everything and wait until every VM is ready."""
        sock = tcp_server_socket(f"{self._prefix}.9", 0)
        await curio.spawn(run_server, sock, self.store.http.serve, daemon=True)
        for index in range(_TARGETS):
            service = "granite" if index % 2 == 0 else "sledway"
            await self._add_target(service, free_address(f"{self._prefix}.8"))
        await self.store.put("config", "main", self._draw_configuration())
        ports = free_ports(f"{self._prefix}.1", 6)
        for index in range(_VMS):
            self._add_vm(index, ports, sock.getsockname()[1])
        for vm in self._vms:
            await vm.until_ready()

    async def run(self, seconds):
        """Let callers send while work is done, for some seconds, and until both have ended."""
        async with curio.TaskGroup() as callers:
            for index in range(_CALLERS):
                patience = 3 if index % 3 == 0 else 1
                caller = KeptCaller(f"c{index}", self, patience, heedless=index % 2 == 0)
                await callers.spawn(caller.run)
            watching = await curio.spawn(self._watch_processes, daemon=True)
            await curio.sleep(1.0)
            await self._do_planned_work(time.monotonic() + seconds)
            self.stopping_callers = True
            async for _ in callers:
                pass
            await watching.cancel()

    def stop(self):
        """Kill every process that is left."""
        for vm in self._vms:
            vm.ends_by_plan = True
            vm.process.kill()
            vm.process.wait()

    async def _do_planned_work(self, until):
        """Do drawn work until a time, some of it overlapping, and wait for all of it."""
        async with curio.TaskGroup() as overlapping:
            while time.monotonic() < until:
                name = self.random.choice(list(self._works))
                self.work_done[name] = self.work_done.get(name, 0) + 1
                task = await overlapping.spawn(self._works[name])
                if self.random.random() < _IN_SERIES_SHARE:
                    await task.wait()
                await curio.sleep(self.random.uniform(0, _MAX_GAP_SECONDS))

    async def _watch_processes(self):
        """Record processes that end by themselves, and start them again."""
        while True:
            for vm in self._vms:
                if vm.process.poll() is not None and not vm.ends_by_plan:
                    tail = vm.log.read_text(errors="replace")[-1500:]
                    code = vm.process.returncode
                    self.journal.failures.append(f"{vm.name} ended by itself, {code}: {tail}")
                    vm.launch()
            await curio.sleep(0.05)

    def _running_vm(self):
        """Return a VM that may be stopped, as another one runs and its settings are whole, or None.

        The platform writes the settings before each start.
        """
        running = [vm for vm in self._vms if not vm.ends_by_plan]
        stoppable = [vm for vm in running if vm.settings_whole]
        return self.random.choice(stoppable) if len(running) > 1 and stoppable else None

    async def _restart(self):
        vm = self._running_vm()
        if vm is not None:
            await self._end(vm)
            vm.launch()
            if self.random.random() < 0.5:
                await curio.sleep(self.random.uniform(0, 1.0))
                vm.reload()
            await vm.until_ready()

    async def _remove(self):
        """Stop a VM for longer, as if another one were added later at its address."""
        vm = self._running_vm()
        if vm is not None:
            await self._end(vm)
            await curio.sleep(self.random.uniform(1, 4))
            vm.launch()
            await vm.until_ready()

    async def _end(self, vm):
        vm.ends_by_plan = True
        allowed = (0,) if vm.started else (0, -signal.SIGTERM)
        self.journal.note_stop(vm.name)
        vm.process.send_signal(signal.SIGTERM)
        async with curio.ignore_after(_GRACE_SECONDS):
            while vm.process.poll() is None:
                await curio.sleep(0.02)
        if vm.process.poll() is None:
            self.journal.failures.append(f"{vm.name} did not end within its grace")
            vm.process.kill()
            vm.process.wait()
        elif vm.process.returncode not in allowed:
            code = vm.process.returncode
            self.journal.failures.append(f"{vm.name} ended with {code} after a stop signal")

    async def _reload(self):
        """Send reload signals to a VM, also while its settings file is being replaced."""
        vm = self.random.choice(self._vms)
        rewriting = await curio.spawn(self._rewrite_settings, vm)
        for _ in range(self.random.randint(1, 3)):
            vm.reload()
            await curio.sleep(self.random.uniform(0, 0.2))
        await rewriting.join()
        vm.reload()

    async def _change_settings(self):
        await self._rewrite_settings(self.random.choice(self._vms))

    async def _rewrite_settings(self, vm):
        """Replace a settings file at once, or after it was missing, incomplete or no text."""
        if not vm.settings_whole:
            return
        ratio = self.random.choice(("0.2", "0.3"))
        text = re.sub("retry_ratio = .*", f"retry_ratio = {ratio}", vm.path.read_text())
        how = self.random.choice(("at once", "in parts", "not text", "missing"))
        if how == "at once" or vm.ends_by_plan:
            new = vm.path.with_suffix(".new")
            new.write_text(text)
            new.replace(vm.path)
            return
        vm.settings_whole = False
        if how == "in parts":
            vm.path.write_text(text[: self.random.randrange(len(text))])
        elif how == "not text":
            vm.path.write_bytes(text.encode()[: self.random.randrange(len(text))] + b"\xc3")
        else:
            vm.path.unlink()
        await curio.sleep(self.random.uniform(0, 0.6))
        vm.path.write_text(text)
        vm.settings_whole = True

    async def _reconfigure(self):
        """Write some configurations in quick succession."""
        for _ in range(self.random.randint(1, 4)):
            self._version += self.random.randint(1, 3)
            await self.store.put("config", "main", self._draw_configuration())
            await curio.sleep(self.random.choice((0.0, 0.05, 0.5)))

    def _draw_configuration(self):
        def drawn_route(name, path_prefix):
            milliseconds = self.random.choice(_TIMEOUTS_MS)
            return route(
                name=name,
                path_prefix=path_prefix,
                timeout=f"{milliseconds}ms",
                target_latency=f"{milliseconds // 2}ms",
                kind=self.random.choice(("idempotent", "non_idempotent")),
                service=self.random.choice(("granite", "sledway")),
            )

        routes = [drawn_route("reports", "/reports/"), drawn_route("moved", "/moved/")]
        if self.random.random() < 0.5:
            routes.append(drawn_route("added", "/added/"))
        drawn = configuration(*routes, version=self._version)
        idle_ms = self.random.choice(_IDLE_LIMITS_MS)
        drawn["limits"]["idle_timeout"] = f"{idle_ms}ms"
        self.idle_seconds = min(5.0, idle_ms / 1000)
        return drawn

    async def _add_target(self, service, address):
        self._target_count += 1
        added = RecordingTarget(
            f"t{self._target_count}",
            service,
            address,
            self.journal,
            self.random,
            idle_seconds=self.random.choice((0.5, 1.0, 2.0, 10.0)),
            states_timeout=self.random.random() < 0.5,
        )
        await added.start()
        self._targets.append(added)
        await self.store.put("servers", added.name, added.registration())

    async def _drain_target(self):
        await self._replace_target(draining=True)

    async def _remove_target(self):
        await self._replace_target(draining=False)

    async def _replace_target(self, draining):
        """Let a target leave, and start another one at its address."""
        if len(self._targets) < _TARGETS:
            return
        leaving = self._targets.pop(self.random.randrange(len(self._targets)))
        if draining:
            spec = leaving.registration(state="draining")
            await self.store.put("servers", leaving.name, spec | {"sequence": 2})
        else:
            await self.store.remove("servers", leaving.name)
        await curio.sleep(_DRAIN_SECONDS + 1.0)
        await leaving.leave()
        await self.store.remove("servers", leaving.name)
        await curio.sleep(_REUSE_SECONDS)
        await self._add_target(leaving.service, leaving.address)

    async def _close_target_connections(self):
        await self.random.choice(self._targets).close_idle()

    async def _lose_store(self):
        if self._store_busy:
            return
        self._store_busy = True
        fault = self.random.choice(("down", "silent"))
        setattr(self.store.faults, fault, True)
        await curio.sleep(self.random.uniform(0.3, 2.5))
        setattr(self.store.faults, fault, False)
        self._store_busy = False

    def _add_vm(self, index, ports, store_port):
        name, host = f"puget-a-{index}", f"{self._prefix}.{index + 1}"
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", f"{self._prefix}.9:{store_port}")
        text = text.replace(
            "127.0.0.1:7004,127.0.0.2:7004",
            f"{self._prefix}.1:{ports[3]},{self._prefix}.2:{ports[3]}",
        )
        for position, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{position}", f"{host}:{port}")
        text = text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}")
        text = text.replace("name = puget-a-1", f"name = {name}")
        path = self._folder / f"{name}.ini"
        path.write_text(text)
        vm = _VM(name, host, ports, path)
        vm.launch()
        self._vms.append(vm)
