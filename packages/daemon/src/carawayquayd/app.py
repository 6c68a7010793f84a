"""The application object, which creates the components of a daemon and connects them."""

from __future__ import annotations

import random
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.claim_messages import HolderQuery, Replicate
from carawayquay.clock import Clock, MonotonicClock
from carawayquay.grants import GrantRequest
from carawayquay.heartbeats import Heartbeat
from carawayquay.loans import LoanRequest
from carawayquay.lookup import LIFETIME
from carawayquay.objects import DOCUMENTS, VM_LISTS, Pull
from carawayquay.quarantine import SuspectCleared, SuspectReport
from carawayquay.shift_levels import LevelQuery
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http import HttpLimits
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.links import LinkPool
from carawayquay_wire.listener import Listener
from carawayquay_wire.loop_lag import LoopLag
from carawayquay_wire.signals import StopSignal
from carawayquay_wire.store import StoreClient
from carawayquayd.admin import AdminApi
from carawayquayd.admission import AdmissionController
from carawayquayd.block_map_reader import BlockMapReader
from carawayquayd.bookings import BookingCoordinator
from carawayquayd.callers import CallerApi
from carawayquayd.claim_shards import ClaimShardManager
from carawayquayd.heartbeats import HeartbeatExchange
from carawayquayd.lending import LoanExchange
from carawayquayd.lookups import LookupApi
from carawayquayd.object_replicator import ObjectReplicator
from carawayquayd.peers import PeerApi
from carawayquayd.probes import TargetProber
from carawayquayd.routing_explainer import RoutingExplainer
from carawayquayd.state import NodeState
from carawayquayd.steering import Steering
from carawayquayd.suspects import SuspectBroadcaster
from carawayquayd.target_state import TargetState
from carawayquayd.targets import TargetRunner
from carawayquayd.watcher import StoreWatcher

if TYPE_CHECKING:
    from carawayquay.settings import Settings

__all__ = ["Application"]

_log = EventLog("app")

_ADMIN_CONNECTIONS = 64
_LOOKUP_EXPIRY_MARGIN_SECONDS = 0.5
_PULL_TIMEOUT = timedelta(seconds=2)
_STOP_POLL_SECONDS = 0.05

#: Longest time that a planned stop waits for other VMs to take over the claim shards.
_CLAIM_HANDOVER_TIMEOUT_SECONDS = 5.0

#: Time in which the other VMs learn of a planned stop and borrow this VM's slots.
_SLOT_HANDOVER_SECONDS = 1.0


class Application:
    """One daemon: its components, its listening sockets and its planned stop."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._state = NodeState(settings, clock or MonotonicClock(), secrets.randbits(63))
        self._store = StoreClient(
            settings.store, settings.store_timeout, self._state.metrics.observe_store_call
        )
        self._links = LinkPool(self._handle_peer, self._state.clock, settings.peers.host)
        self._targets = TargetState(self._state)
        self._prober = TargetProber(self._state, self._targets)
        self._suspects = SuspectBroadcaster(self._state, self._links)
        self._runner = TargetRunner(self._state, self._targets, self._prober, self._suspects)
        self._loans = LoanExchange(self._state, self._targets, self._links, self._runner.wake_all)
        self._admission = AdmissionController(self._state, self._runner)
        self._peers = PeerApi(self._state, self._admission)
        self._peers.register(LoanRequest, self._loans.receive)
        self._peers.register(SuspectReport, self._suspects.receive_report)
        self._peers.register(SuspectCleared, self._suspects.receive_cleared)
        self._random = random.Random(self._state.incarnation)
        self._replicator = ObjectReplicator(self._state, self._links, _PULL_TIMEOUT)
        self._replicator.register(DOCUMENTS, self._state.documents.adopt_object)
        self._replicator.register(VM_LISTS, self._state.adopt_vm_list)
        self._peers.register(Pull, self._replicator.answer)
        self._heartbeats = HeartbeatExchange(
            self._state, self._links, self._replicator, self._runner.loads, self._random
        )
        self._peers.register(Heartbeat, self._heartbeats.receive)
        self._steering = Steering(self._state, self._admission, self._links, self._state.current)
        self._peers.register(GrantRequest, self._admission.offer)
        self._peers.register(LevelQuery, self._steering.shifts.answer)
        self._watcher = StoreWatcher(self._state, self._store, self._replicator, self._random)
        self._blocks = BlockMapReader(self._state, self._store)
        self._shards = ClaimShardManager(self._state, self._store, self._links)
        self._peers.register(Replicate, self._shards.receive)
        self._peers.register(HolderQuery, self._shards.answer)
        self._bookings = BookingCoordinator(self._state, self._shards, self._steering, self._links)
        self._peers.register_booking(self._bookings.book)
        self._lookups = LookupApi(self._state, lambda _: self._shards.mint_key())
        self._callers = CallerApi(self._state, self._steering, self._bookings, self._lookups)
        dumps = {
            "vm": self._state.dump,
            "documents": self._state.documents.dump,
            "vms": self._state.directory.dump,
            "peers": self._heartbeats.dump,
            "targets": self._runner.dump,
            "suspects": self._suspects.dump,
            "admission": self._admission.dump,
            "steering": self._steering.dump,
            "store": self._watcher.dump,
            "spreading": self._replicator.dump,
            "membership": self._heartbeats.dump_membership,
            "claims": self._shards.dump,
            "blocks": self._state.blocks.dump,
            "metrics": self._state.metrics.dump,
        }
        explainer = RoutingExplainer(self._state, self._lookups, self._steering.explain)
        self._admin = AdminApi(dumps, self._state.metrics, explainer)
        limits = HttpLimits(body_bytes=settings.body_bytes, connections=settings.connections)
        self._caller_server = HttpServer(self._callers.handle, self._callers.reject, limits)
        self._admin_server = HttpServer(
            self._admin.handle, self._admin.reject, HttpLimits(connections=_ADMIN_CONNECTIONS)
        )
        self._caller_listener = Listener(settings.callers, self._caller_server.serve)
        self._admin_listener = Listener(settings.admin, self._admin_server.serve)
        self._peer_listener = Listener(settings.peers, self._peers.serve)
        self._loop_lag = LoopLag(self._state.clock, self._state.metrics)
        self._add_gauges()

    async def run(self) -> None:
        """Serve until a stop signal arrives, then drain and return.

        :raises Exception: the exception of a component, if one failed
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._stop_on_signal, StopSignal())
            await group.spawn(self._caller_listener.run_forever)
            await group.spawn(self._admin_listener.run_forever)
            await group.spawn(self._peer_listener.run_forever)
            await group.spawn(self._heartbeats.run)
            for kind in self._state.objects.kinds:
                is_vm_list = kind == VM_LISTS
                started = (
                    self._heartbeats.seeds_contacted if is_vm_list else self._heartbeats.joined
                )
                await group.spawn(self._watcher.run, kind, started)
            await group.spawn(self._shards.run)
            await group.spawn(self._blocks.run)
            await group.spawn(self._loop_lag.run)
            await group.spawn(self._loans.run)
            await group.spawn(self._prober.run)
            await group.spawn(self._steering.shifts.run)
            _log.info(Event.STARTED, vm=self._settings.name, callers=self._settings.callers)
        if group.completed.exception is not None:
            raise group.completed.exception
        _log.info(Event.STOPPED, vm=self._settings.name)

    async def _stop_on_signal(self, signal: StopSignal) -> None:
        await signal.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Withdraw from look-ups, serve until cached answers expire, then drain open requests."""
        _log.info(Event.STOPPING, vm=self._settings.name)
        self._state.stopping = True
        self._caller_server.announce_close()
        async with curio.ignore_after(self._settings.stop_grace.total_seconds()):
            await curio.sleep(_SLOT_HANDOVER_SECONDS)
            self._runner.stop_accepting()
            await curio.sleep(
                LIFETIME.total_seconds() + _LOOKUP_EXPIRY_MARGIN_SECONDS - _SLOT_HANDOVER_SECONDS
            )
            await self._caller_listener.close()
            await self._caller_server.drain()
            while self._in_flight():
                await curio.sleep(_STOP_POLL_SECONDS)
            await self._wait_for_claim_handover()

    def _in_flight(self) -> bool:
        """Return whether a caller is still connected or a request is in flight."""
        open_connections = self._caller_server.open_connections
        running = self._peers.running + self._bookings.running + self._runner.active
        return open_connections > 0 or running > 0

    async def _wait_for_claim_handover(self) -> None:
        """Wait until other VMs have taken over the claim shards held here, for a limited time."""
        async with curio.ignore_after(_CLAIM_HANDOVER_TIMEOUT_SECONDS):
            while self._shards.holding:
                await curio.sleep(_STOP_POLL_SECONDS)

    def _add_gauges(self) -> None:
        gauge = self._state.metrics.gauge
        gauge("caller_connections", lambda: self._caller_server.open_connections)
        gauge("caller_connections_refused", lambda: self._caller_server.refused_connections)
        gauge("peer_links", lambda: self._links.open_links)
        gauge("stopping", lambda: float(self._state.stopping))

    async def _handle_peer(self, message: Any) -> Any:
        return await self._peers.handle(message)
