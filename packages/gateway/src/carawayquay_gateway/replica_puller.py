"""Pulls the objects of one kind from other entry VMs into a replica."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.errors import HistoryLostError, StoreError
from carawayquay.membership import Address
from carawayquay.store_revision import NO_REVISION
from carawayquay_platform.object_responses import ACCEPT_DEFLATE
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.entry_peers import Holder
    from carawayquay_gateway.replicas import Replica
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.object_changes import ObjectChanges, ObjectListing

__all__ = ["ReplicaPuller"]

_log = EventLog("watcher")

_PEER_TIMEOUT = timedelta(milliseconds=500)

#: Time in which the own domain should deliver a change before it is pulled from another domain
#: whose history of it does not reach back far enough.
_OTHER_DOMAIN_LAG = timedelta(seconds=0.5)


class ReplicaPuller:
    """Pulls changes to a replica from the VMs that are ahead of it."""

    def __init__(self, state: GatewayState, replica: Replica, random: Random) -> None:
        self._state = state
        self._random = random
        self._replica = replica
        self._kind_index = list(state.replicas).index(replica.kind)
        self._behind_since: timedelta | None = None

    def newest_holder(self) -> Holder | None:
        """Return a live VM with the highest revision, of the own domain if it has any.

        Of several, one is drawn, so that the VMs of a domain spread their pulls. Return None if no
        VM is ahead.
        """
        peers = self._state.peers
        known = self._replica.revision or NO_REVISION
        if peers.newest_revision(self._kind_index) <= known:
            return None
        holders = peers.holders(self._kind_index, self._state.clock.now())
        ahead = [holder for holder in holders if holder.revision > known]
        if not ahead:
            return None
        best = max((holder.revision, holder.same_domain) for holder in ahead)
        newest = [it for it in ahead if (it.revision, it.same_domain) == best]
        return self._random.choice(newest)

    async def pull_from_newest(self) -> bool:
        """Pull from the live VM with the highest revision; return whether that worked."""
        newest = self.newest_holder()
        if newest is None:
            self._behind_since = None
            return False
        may_list = newest.same_domain or self._is_behind_for_long()
        return await self.pull(newest.host, may_list=may_list)

    def _is_behind_for_long(self) -> bool:
        """Return whether the own domain has had time to deliver a change that another one has."""
        now = self._state.clock.now()
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= _OTHER_DOMAIN_LAG

    async def pull(self, host: str, *, may_list: bool = True, log_failure: bool = True) -> bool:
        """Pull changes or objects from another VM; return whether it had them.

        :param may_list: whether to pull all objects if the other VM's history does not reach back
        :param log_failure: whether to log a failure
        """
        address = Address(host, self._state.settings.admin.port)
        peer = PlatformStoreClient(address, _PEER_TIMEOUT, headers=(ACCEPT_DEFLATE,))
        try:
            await self._pull_from(peer, may_list=may_list)
        except HistoryLostError:
            return False
        except StoreError as error:
            if log_failure:
                kind = self._replica.kind.name
                _log.warning(Event.PULL_FAILED, kind=kind, peer=address, reason=error)
            return False
        finally:
            await peer.close()
        return True

    async def _pull_from(self, peer: PlatformStoreClient, *, may_list: bool) -> None:
        """Pull the changes, or all objects if the other VM's history does not reach back.

        :raises HistoryLostError: if its history does not reach back and all may not be pulled
        :raises StoreError: if the other VM does not answer
        """
        kind, revision = self._replica.kind, self._replica.revision
        if revision is not None:
            try:
                changes = await peer.pull(kind, revision)
            except HistoryLostError:
                if not may_list:
                    raise
            else:
                self._apply_pulled(changes)
                return
        listing = await peer.list(kind)
        self._state.store_history.note_era(listing.revision.era)
        self.apply_listing(listing, from_peer=True)

    def _apply_pulled(self, changes: ObjectChanges) -> None:
        """Apply the changes from another VM if they are ahead of the replica."""
        self._state.store_history.note_era(changes.revision.era)
        if changes.revision > self._replica.revision:
            self._replica.apply_changes(changes)

    def apply_listing(self, listing: ObjectListing, *, from_peer: bool = False) -> bool:
        """Apply a listing; return False if it is older than the replica."""
        applied = self._replica.apply_listing(listing, from_peer=from_peer)
        if applied:
            _log.info(
                Event.OBJECT_ADOPTED,
                kind=self._replica.kind.name,
                revision=listing.revision,
                objects=len(listing.objects),
                source="peer" if from_peer else "store",
            )
        else:
            _log.warning(
                Event.LISTING_PASSED_OVER,
                kind=self._replica.kind.name,
                revision=listing.revision,
                known=self._replica.revision,
                source="peer" if from_peer else "store",
            )
        return applied
