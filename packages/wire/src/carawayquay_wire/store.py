"""Client of the platform's object store: versioned reads, conditional writes and watches."""

from __future__ import annotations

import json
import re
import time
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.errors import ConflictError, StoreError, UnconfirmedWriteError
from carawayquay.store_versions import NUMBER_BITS, combine_version, restores, stored_number
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from carawayquay.membership import Address

__all__ = ["StoreClient", "StoreListing", "StoreObject"]

_log = EventLog("store")

#: Time beyond its wait that a watch may take to respond before it fails.
_WATCH_GRACE_SECONDS = 1.0
_MIN_SERVER_ERROR_STATUS = 500

#: Header with the store's era, which rises by one when the store is restored from an older copy.
_ERA_HEADER = b"store-era"

#: Matches a valid era, which fits into a version.
_ERA = re.compile("[0-9]{1,6}")

_MAX_VERSION = (1 << NUMBER_BITS) - 1


@attrs.frozen
class StoreObject:
    """One object of the store.

    :param version: increasing number of the write that produced it, across restores of the store
    :param value: the parsed JSON of the object, or None after its deletion
    """

    kind: str
    name: str
    version: int
    value: Any


@attrs.frozen
class StoreListing:
    """Objects of one kind.

    :param revision: the store-wide version up to which the listing is complete
    """

    revision: int
    objects: tuple[StoreObject, ...]


class StoreClient:
    """Client of the platform's object store.

    :param timeout: the time limit of each call; a watch has its wait and a grace period instead
    :param observe: called after each call with its name, whether it got a response other than 5xx,
        and its duration in seconds
    """

    def __init__(
        self,
        address: Address,
        timeout: timedelta,
        observe: Callable[[str, bool, float], None] | None = None,
    ) -> None:
        self._observe = observe
        self._address = address
        self._timeout_seconds = timeout.total_seconds()
        self._http = HttpClient()
        self._era = 0

    async def get(self, kind: str, name: str) -> StoreObject | None:
        """Return an object, or None if it does not exist.

        :raises StoreError: if the call fails or its response is not JSON
        """
        response = await self._read("get", f"/objects/{kind}/{name}", self._timeout_seconds)
        if response.status == 404:
            return None
        return self._parse_object(kind, {"name": name, **_parse_fields(response)})

    async def list(self, kind: str) -> StoreListing:
        """Return all objects of a kind.

        :raises StoreError: if the call fails or its response is not JSON
        """
        response = await self._read("list", f"/objects/{kind}", self._timeout_seconds)
        return self._parse_listing(kind, _parse_fields(response))

    async def watch(self, kind: str, after: int, wait: timedelta) -> StoreListing:
        """Wait for changes to objects of a kind and return the changed objects.

        :param after: the revision after which changes are returned
        :param wait: how long the store waits for a change before it responds without any
        :raises StoreError: if the call fails, its response is not JSON, or the store was restored
            since that revision
        """
        wait_ms = int(wait.total_seconds() * 1000)
        path = f"/watch/{kind}?after={stored_number(after)}&wait_ms={wait_ms}"
        response = await self._read("watch", path, wait.total_seconds() + _WATCH_GRACE_SECONDS)
        listing = self._parse_listing(kind, _parse_fields(response))
        if restores(listing.revision) != restores(after):
            # The number may have been given out again, so that changes before it are missing.
            raise StoreError(f"{path}: the store was restored, its era is {self._era}")
        return listing

    async def put(self, kind: str, name: str, value: Any, *, replaces: int) -> int:
        """Write an object if it still has the expected version, and return the new version.

        :param replaces: the expected version, or 0 to create the object
        :raises ConflictError: if the object has another version
        :raises UnconfirmedWriteError: if the write may have taken effect
        :raises StoreError: if the write did not take effect, or its response is not JSON
        """
        if replaces and restores(replaces) < restores(self._version(0)):
            raise ConflictError(f"{kind}/{name}: version {replaces} is from before a restore")
        body = json.dumps(value, separators=(",", ":")).encode()
        headers = ((b"if-match", str(stored_number(replaces)).encode()),)
        request = HttpRequest("PUT", f"/objects/{kind}/{name}", headers, body)
        try:
            response = await self._call("put", request, self._timeout_seconds)
        except HttpError as failure:
            raise _write_error(failure) from failure
        if response.status == 412:
            raise ConflictError(f"{kind}/{name} is no longer at version {replaces}")
        if response.status >= _MIN_SERVER_ERROR_STATUS:
            raise UnconfirmedWriteError(f"{kind}/{name}: store answered {response.status}")
        if response.status != 200:
            raise StoreError(f"{kind}/{name}: store answered {response.status}")
        return self._version(_version_field(_parse_fields(response), "version"))

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._http.close()

    async def _call(self, name: str, request: HttpRequest, seconds: float) -> HttpResponse:
        started = time.monotonic()
        answered = False
        try:
            response = await self._http.exchange(self._address, request, seconds)
            answered = response.status < _MIN_SERVER_ERROR_STATUS
            self._note_era(response)
            return response
        except HttpError:
            # What broke one connection may have broken those that are idle.
            await self._http.drop_idle(self._address)
            raise
        finally:
            if self._observe is not None:
                self._observe(name, answered, time.monotonic() - started)

    def _note_era(self, response: HttpResponse) -> None:
        """Record the era that a response names.

        :raises HttpError: if the response is from before a restore
        """
        text = response.header(_ERA_HEADER)
        valid = text is not None and _ERA.fullmatch(text) is not None
        era = int(text) if valid else 0
        if era < self._era:
            raise HttpError(f"the response of era {era} is from before a restore", sent=True)
        self._era = era

    def _version(self, number: int) -> int:
        return combine_version(self._era, number)

    def _parse_listing(self, kind: str, fields: dict[str, Any]) -> StoreListing:
        """Parse a listing; log and skip the objects that cannot be read.

        :raises StoreError: if the listing has no valid revision or list of objects
        """
        items = fields.get("items")
        if not isinstance(items, list):
            raise StoreError(f"{kind}: the store's response has no list of objects")
        objects = []
        for item in items:
            try:
                objects.append(self._parse_object(kind, item))
            except StoreError as error:
                _log.warning(Event.OBJECT_REFUSED, kind=kind, name="", reason=error)
        return StoreListing(self._version(_version_field(fields, "revision")), tuple(objects))

    def _parse_object(self, kind: str, item: Any) -> StoreObject:
        """Parse one object.

        :raises StoreError: if it has no valid name, version or value
        """
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise StoreError(f"{kind}: an object has no name")
        if "value" not in item:
            raise StoreError(f'{kind}: object "{item["name"]}" has no value')
        version = self._version(_version_field(item, "version"))
        return StoreObject(kind, item["name"], version, item["value"])

    async def _read(self, name: str, path: str, seconds: float) -> Any:
        request = HttpRequest("GET", path, (), b"")
        try:
            response = await self._call(name, request, seconds)
        except HttpError as failure:
            raise StoreError(str(failure)) from failure
        if response.status not in (200, 404):
            raise StoreError(f"{path}: store answered {response.status}")
        return response


def _write_error(failure: HttpError) -> StoreError:
    if failure.sent:
        return UnconfirmedWriteError(str(failure))
    return StoreError(str(failure))


def _parse_fields(response: HttpResponse) -> dict[str, Any]:
    """Return the fields of the JSON object in a response.

    :raises StoreError: if there is none
    """
    try:
        fields = response.json()
    except ValueError as error:
        raise StoreError(f"store response is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise StoreError("store response is not a JSON object")
    return fields


def _version_field(fields: dict[str, Any], key: str) -> int:
    """Return a version or revision.

    :raises StoreError: if it is missing or invalid
    """
    value = fields.get(key)
    if type(value) is not int or not 0 <= value <= _MAX_VERSION:
        raise StoreError(f'the store\'s response has no valid "{key}"')
    return value
