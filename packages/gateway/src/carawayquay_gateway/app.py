"""The gateway application: construction, run loop and graceful shutdown."""

from __future__ import annotations

import random
import secrets
import sys
import time
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import curio

from carawayquay.clock import Clock, MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import VMIdentity
from carawayquay.planned_stop import PlannedStop
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.admin import AdminApi, ReadinessApi, reject
from carawayquay_gateway.answer_memory import new_answer_memory
from carawayquay_gateway.client_ends import ClientEnds
from carawayquay_gateway.client_limits import (
    BODY_SECONDS,
    SEND_BUFFER_BYTES,
    ClientListener,
    configured_limits,
    new_budget,
    new_peer_budget,
    side_limits,
)
from carawayquay_gateway.configuration_sync import ConfigurationSync
from carawayquay_gateway.forwarder import Forwarder
from carawayquay_gateway.lookups import LookupApi
from carawayquay_gateway.peer_calls import MAX_PEER_IDLE, PeerCaller
from carawayquay_gateway.peer_requests import PeerRequestApi
from carawayquay_gateway.peers import PeerExchange
from carawayquay_gateway.quota_exchange import QuotaExchange
from carawayquay_gateway.reach_prober import ReachProber
from carawayquay_gateway.registrar import VMRegistrar
from carawayquay_gateway.reload import SettingsReloader, log_problems
from carawayquay_gateway.request_explainer import RequestExplainer
from carawayquay_gateway.round_trips import RoundTrips
from carawayquay_gateway.selection import Selection
from carawayquay_gateway.settings_file import SettingsFile
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.summaries import SummaryExchange
from carawayquay_gateway.target_attempts import TargetAttempts
from carawayquay_gateway.target_calls import TargetCaller
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.events import Event, EventLog, set_up_bounded_logging
from carawayquay_wire.http import HttpLimits
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.listener import Listener
from carawayquay_wire.log_writer import LogWriter
from carawayquay_wire.loop_lag import LoopLag
from carawayquay_wire.metrics import Metrics
from carawayquay_wire.request_turns import RequestTurns
from carawayquay_wire.signals import ReloadSignal, StopSignal

if TYPE_CHECKING:
    from carawayquay.routes import TrafficLimits
    from carawayquay_gateway.replicas import Replica
    from carawayquay_gateway.settings import GatewaySettings
    from carawayquay_platform.objects import ObjectKind
    from carawayquay_wire.connection_ends import ConnectionEnd
    from carawayquay_wire.http import HttpResponse
    from carawayquay_wire.http_server import Handler

__all__ = ["Gateway", "run"]

_log = EventLog("app")

_STOP_POLL_SECONDS = 0.05

#: Share of the process's memory for the bodies of all callers' requests.
_BODIES_SHARE = 0.35
_BYTES_IN_MB = 1_000_000

#: Shares of the process's file descriptors for callers' connections, and for those of other VMs;
#: the rest is for targets.
_CALLERS_SHARE = 0.5
_PEERS_SHARE = 0.1

#: Number of headers that another VM adds to a request: one with its decisions, and content-length.
_PEER_HEADERS = 2

#: Time beyond that for which other VMs reuse an idle connection, after which it is closed.
_PEER_IDLE_MARGIN_SECONDS = 1.0

#: Maximum size of the header with another VM's decisions on a request, in bytes.
_PEER_HEADER_BYTES = 16 * 1024

#: Part of the grace period of a planned stop that is reserved for the last answers and the exit.
_EXIT_MARGIN = timedelta(seconds=0.4)

#: Time after which callers' cached look-ups that name this VM have expired.
_LOOKUP_EXPIRY = timedelta(seconds=2.8)

#: Largest share of a planned stop that waits for them; the rest is for the requests in flight.
_MAX_EXPIRY_SHARE = 0.6


class Gateway:
    """One gateway process: its components, listeners, background tasks and planned stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        file: SettingsFile,
        output: LogWriter,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._file = file
        self._output = output
        seed = secrets.randbits(63)
        identity = VMIdentity(
            settings.name,
            settings.callers.host,
            settings.domain,
            settings.region,
            int(time.time() * 1000),
        )
        generator = random.Random(seed)
        self._state = GatewayState(settings, clock or MonotonicClock(), Metrics(), identity)
        observe = self._state.metrics.observe_store_call
        self._store = PlatformStoreClient(
            settings.store, settings.store_timeout, observe, self._state.store_history.note_era
        )
        self._watchers = [
            Watcher(self._state, self._store, replica, generator)
            for replica in self._state.replicas.values()
        ]
        self._configuration_sync = ConfigurationSync(self._state, generator)
        self._registrar = VMRegistrar(self._state, self._store, generator)
        crashes = CrashCounts()
        warm = WarmGossip()
        self._summaries = SummaryExchange(self._state, crashes, warm)
        self._peers = PeerExchange(self._state, crashes, warm, self._summaries, generator)
        self._quotas = QuotaExchange(self._state)
        round_trips = RoundTrips(settings.domain, settings.regions)
        selection = Selection(self._state, round_trips, generator)
        self._prober = ReachProber(self._state, generator)
        memory = new_answer_memory(settings)
        self._target_caller = TargetCaller(self._state, crashes, round_trips, self._prober, memory)
        attempts = TargetAttempts(self._state, selection, self._target_caller, crashes, warm)
        self._peer_caller = PeerCaller(self._state, memory, generator)
        self._forwarder = Forwarder(self._state, attempts, self._peer_caller, crashes, generator)
        self._peer_requests = PeerRequestApi(self._state, attempts, crashes, generator)
        self._loop_lag = LoopLag(self._state.clock, self._state.metrics)
        self._caller_limits = HttpLimits(
            connections=int(settings.descriptors * _CALLERS_SHARE),
            min_read_bytes_per_s=settings.min_read_bytes_per_s,
            send_buffer_bytes=SEND_BUFFER_BYTES,
        )
        self._ends = ClientEnds(self._state)
        self._budgets = {it: new_budget(settings, it) for it in ClientListener}
        peer_budget = new_peer_budget(settings)
        bodies = BodyBudget(int(settings.memory_mb * _BYTES_IN_MB * _BODIES_SHARE))
        self._turns = RequestTurns()
        self._caller_server = HttpServer(
            self._forwarder.handle,
            self._forwarder.reject,
            self._caller_limits,
            bodies,
            self._record_caller_end,
            self._budgets[ClientListener.CALLERS],
            self._turns,
        )
        self._caller_listener = Listener(settings.callers, self._caller_server.serve)
        self._peer_server = HttpServer(
            self._peer_requests.handle,
            self._peer_requests.reject,
            _peer_limits(settings, HttpLimits()),
            bodies,
            self._ends.observer("peer_requests"),
            peer_budget,
            turns=self._turns,
        )
        self._peer_listener = Listener(settings.peer_requests, self._peer_server.serve)
        self._listeners = [
            self._caller_listener,
            self._peer_listener,
            self._side_listener(ClientListener.READY, ReadinessApi(self._state).handle),
            self._side_listener(ClientListener.LOOKUPS, LookupApi(self._state).handle),
            self._side_listener(
                ClientListener.ADMIN,
                AdminApi(self._state, RequestExplainer(self._state, round_trips)).handle,
            ),
        ]
        gauge = self._state.metrics.gauge
        gauge("caller_connections", lambda: self._caller_server.open_connections)
        gauge("requests_active", lambda: self._forwarder.active)
        gauge("requests_waiting", lambda: float(self._turns.waiting))
        gauge("body_bytes", lambda: float(bodies.used))
        budgets = (*self._budgets.values(), peer_budget)
        gauge("client_bytes", lambda: float(sum(it.used for it in budgets)))
        gauge("configuration_remarks", lambda: float(len(self._state.object_applier.remarks)))
        gauge("objects_refused", lambda: float(len(self._state.object_applier.refused)))
        gauge("targets_limited", lambda: float(self._state.target_limits.limited))
        gauge("store_era", lambda: float(self._state.store_history.era))
        for kind, replica in self._state.replicas.items():
            name = kind.name.lower()
            gauge(f"{name}_age_seconds", partial(self._knowledge_age, kind))
            gauge(f"{name}_history_bytes", partial(_history_bytes, replica))
        gauge("stopping", lambda: float(self._state.stopping))

    async def run(self, reload_signal: ReloadSignal) -> None:
        """Serve until a stop signal arrives, then drain.

        :param reload_signal: noted from before the settings were read
        :raises Exception: the error of a task that failed
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._stop_on_signal, StopSignal())
            for listener in self._listeners:
                await group.spawn(listener.run_forever)
            await group.spawn(self._peers.run)
            await group.spawn(self._summaries.run)
            await group.spawn(self._quotas.run)
            for watcher in self._watchers:
                await group.spawn(watcher.run)
            await group.spawn(self._configuration_sync.run)
            await group.spawn(self._registrar.run)
            await group.spawn(self._update_state)
            await group.spawn(
                self._prober.run, self._target_caller.abandon_calls, self._peer_caller.close
            )
            await group.spawn(self._peer_caller.close_unused)
            await group.spawn(self._flush_output)
            await group.spawn(SettingsReloader(self._state, self._file).run, reload_signal)
            _log.info(Event.STARTED, vm=self._settings.name, callers=self._settings.callers)
        if group.completed.exception is not None:
            _log.error(Event.FAILED, task=group.completed.name, reason=group.completed.exception)
            self._output.flush()
            raise group.completed.exception
        _log.info(Event.STOPPED, vm=self._settings.name)
        self._output.flush()

    def _side_listener(self, kind: ClientListener, handle: Handler) -> Listener:
        """Return a listener for a handler that answers without waiting and reads no bodies."""
        server = HttpServer(
            handle,
            reject,
            side_limits(self._settings, kind),
            on_end=self._ends.observer(kind.value),
            connection_budget=self._budgets[kind],
        )
        return Listener(getattr(self._settings, kind.value), server.serve)

    def _record_caller_end(self, cause: ConnectionEnd, response: HttpResponse | None) -> None:
        self._forwarder.record_connection_end(cause, response)
        self._ends.record(ClientListener.CALLERS.value, cause, response)

    def _knowledge_age(self, kind: ObjectKind) -> float:
        """Return the age of this VM's knowledge of a kind in seconds, -1 if it has none."""
        age = self._state.knowledge.age(kind)
        return -1.0 if age is None else age.total_seconds()

    async def _update_state(self) -> None:
        """Update the state each tick, and apply a new configuration's limits to the server."""
        applied = None
        while True:
            self._state.update(self._state.clock.now())
            self._store.set_address(self._state.settings.store)
            configuration = self._state.configuration
            if configuration is not None and configuration is not applied:
                applied = configuration
                self._set_limits(configuration.limits)
            await self._loop_lag.measure(self._state.ticker.next, self._state.ticker.seconds_left)

    def _set_limits(self, limits: TrafficLimits) -> None:
        """Apply the limits of a configuration to the servers of callers and of other VMs."""
        callers = configured_limits(self._caller_limits, limits)
        self._caller_server.set_limits(callers)
        self._peer_server.set_limits(_peer_limits(self._settings, callers))

    async def _flush_output(self) -> None:
        while True:
            self._output.flush()
            await self._state.ticker.next()

    async def _stop_on_signal(self, signal: StopSignal) -> None:
        await signal.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Drain: deregister, serve until cached look-ups expire, then finish in-flight requests."""
        _log.info(Event.STOPPING, vm=self._settings.name)
        self._state.stopping = True
        self._caller_server.announce_close()
        self._peer_server.announce_close()
        self._peers.announce()
        now = self._state.clock.now()
        grace = max(timedelta(), self._state.settings.stop_grace - _EXIT_MARGIN)
        expiry = min(_LOOKUP_EXPIRY, grace * _MAX_EXPIRY_SHARE)
        self._state.planned_stop = PlannedStop(now + expiry, now + grace)
        async with curio.ignore_after(grace.total_seconds()):
            await curio.spawn(self._registrar.deregister, daemon=True)
            await curio.sleep(expiry.total_seconds())
            for listener in (self._caller_listener, self._peer_listener):
                await listener.close()
            for server in (self._caller_server, self._peer_server):
                await server.drain()
            while self._busy:
                await curio.sleep(_STOP_POLL_SECONDS)

    @property
    def _busy(self) -> bool:
        """Whether callers or other VMs still have connections or requests here."""
        connections = self._caller_server.open_connections + self._peer_server.open_connections
        return connections + self._forwarder.active + self._peer_requests.active > 0


def _peer_limits(settings: GatewaySettings, callers: HttpLimits) -> HttpLimits:
    """Return the limits of the requests that other VMs send through this one.

    Those have passed the limits of another VM, which adds headers.

    :param callers: the limits of callers' requests
    """
    return HttpLimits(
        header_bytes=callers.header_bytes + _PEER_HEADER_BYTES,
        headers=callers.headers + _PEER_HEADERS,
        body_bytes=callers.body_bytes,
        body_seconds=BODY_SECONDS,
        idle_seconds=MAX_PEER_IDLE.total_seconds() + _PEER_IDLE_MARGIN_SECONDS,
        connections=int(settings.descriptors * _PEERS_SHARE),
        min_read_bytes_per_s=settings.min_read_bytes_per_s,
    )


def _history_bytes(replica: Replica) -> float:
    return float(replica.history_bytes)


def run(settings: str) -> None:
    """Run a gateway until a stop signal arrives.

    :param settings: path of the INI file
    """
    file = SettingsFile(Path(settings))
    reload_signal = ReloadSignal()
    loaded = file.wait_and_read()
    output = LogWriter(sys.stdout.fileno())
    set_up_bounded_logging(loaded.log_level, output)
    log_problems(loaded, file.path)
    try:
        curio.run(Gateway(loaded, file, output).run, reload_signal)
    finally:
        # The requests that the end cuts off log so when their tasks are cancelled.
        output.flush()
