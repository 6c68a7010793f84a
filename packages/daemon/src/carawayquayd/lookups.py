"""Answers look-ups: which entry VMs a client should use for a service."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import attrs

from carawayquay.blocks import Home
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.lookup import choose_entries, client_bucket, client_domains
from carawayquay.membership import VMState
from carawayquay_wire.http import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.lookup import LookupAnswer
    from carawayquay.membership import EntryVM
    from carawayquayd.state import NodeState

__all__ = ["LookupApi", "client_from_query"]

#: Lifetime of a cached answer; short, so that answers follow VM lists, liveness and documents.
_CACHE_LIFETIME = timedelta(milliseconds=100)
_MAX_CACHED = 4096


@attrs.frozen
class _CachedAnswer:
    """An encoded answer without its closing brace, so that a key can be appended.

    :param expiry: instant at which the answer has to be built again
    """

    body: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    expiry: timedelta


class LookupApi:
    """Answers look-ups from this VM's documents, VM lists and client blocks.

    :param mint_key: returns a new idempotency key for a service, or None if none can be minted now
    """

    def __init__(
        self, state: NodeState, mint_key: Callable[[str], str | None] | None = None
    ) -> None:
        self._state = state
        self._mint_key = mint_key
        self._own_home = Home("", state.settings.region, state.settings.domain)
        self._cache: dict[tuple[str, Home, int, bool], _CachedAnswer] = {}

    def home(self, client: str) -> Home:
        """Return the home of a client, or this VM's own if no block contains the address.

        :raises ValueError: if *client* is not an IP address
        """
        found = self._state.blocks.find(client)
        if found is None or (found.region == self._own_home.region and not found.domain):
            return self._own_home
        return Home("", found.region, found.domain)

    def answer(self, service: str, client: str) -> HttpResponse:
        """Return the response to a look-up.

        :param client: IP address of the client that the entry VMs are for
        :raises RequestError: if the service has no document or *client* is not an IP address
        """
        try:
            home = self.home(client)
        except ValueError as error:
            raise RequestError(ErrorKind.MALFORMED, str(error)) from error
        cached = self._cached_answer(service, home, client_bucket(client))
        key = self._mint_key(service) if self._mint_key else None
        if key is None:
            return HttpResponse(200, cached.headers, cached.body + b"}")
        return HttpResponse(200, cached.headers, cached.body + b',"key":"%s"}' % key.encode())

    def select_entries(self, service: str, home: Home, spread: int) -> LookupAnswer:
        """Return the entry VMs for the clients of a home, in order of preference.

        :param spread: number that spreads clients over equally close VMs and failure domains

        :raises RequestError: if the service has no document
        """
        document = self._state.document(service).document
        directory = self._state.directory
        domains = client_domains(directory, home, document.order.get(home.region, ()), spread)
        return choose_entries(directory, domains, spread, self.usable)

    def usable(self, vm: EntryVM) -> bool:
        """Return whether callers may be sent to a VM."""
        return vm.state is VMState.LIVE and self._state.usable(vm)

    def _cached_answer(self, service: str, home: Home, spread: int) -> _CachedAnswer:
        now = self._state.clock.now()
        key = (service, home, spread, self._state.stopping)
        cached = self._cache.get(key)
        if cached is None or cached.expiry <= now:
            cached = self._build_answer(service, home, spread, now + _CACHE_LIFETIME)
            if len(self._cache) >= _MAX_CACHED:
                self._cache.clear()
            self._cache[key] = cached
        return cached

    def _build_answer(
        self, service: str, home: Home, spread: int, expiry: timedelta
    ) -> _CachedAnswer:
        answer = self.select_entries(service, home, spread)
        lifetime = int(answer.lifetime.total_seconds())
        value: dict[str, Any] = {
            "service": service,
            "region": home.region,
            "entries": [{"address": str(vm.callers), "domain": vm.domain} for vm in answer.entries],
            "lifetime_seconds": lifetime,
        }
        if not answer.entries:
            value["entries"] = [self._own_entry()]
        body = json.dumps(value, separators=(",", ":")).encode()[:-1]
        headers = (
            (b"content-type", b"application/json"),
            (b"cache-control", b"private, max-age=%d" % lifetime),
        )
        return _CachedAnswer(body, headers, expiry)

    def _own_entry(self) -> dict[str, str]:
        """Return this VM as an entry, for use while no VM list names any VM."""
        settings = self._state.settings
        return {"address": str(settings.callers), "domain": settings.domain}


def client_from_query(query: str, peer: str) -> str:
    """Return the client of a look-up: the one in the query, or else the TCP peer.

    >>> client_from_query("client=192.0.2.1", "127.0.0.1")
    '192.0.2.1'

    :raises RequestError: if the query is not a single ``client``
    """
    if not query:
        return peer
    fields = parse_qsl(query, keep_blank_values=True)
    if len(fields) != 1 or fields[0][0] != "client":
        raise RequestError(ErrorKind.MALFORMED, f'query "{query}" is not "client=IP"')
    return fields[0][1]
