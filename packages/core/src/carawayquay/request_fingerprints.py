"""Fingerprints by which entry VMs recognise equal requests of the same caller."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayquay.forwarding import CallerRequest

__all__ = ["request_fingerprint"]

_FINGERPRINT_BYTES = 8


def request_fingerprint(call: CallerRequest) -> int:
    """Return a 64-bit hash of organisation, host, method, path, object key and body.

    Equal requests of two organisations have different hashes. That of a request without an
    organisation is the one that versions without organisations compute.
    """
    key = _organisation_key(call.organisation)
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES, key=key)
    for part in (call.host, call.method, call.path, call.object_key):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(call.body)
    return int.from_bytes(digest.digest(), "big")


def _organisation_key(organisation: str) -> bytes:
    """Return the key of the hash, of the same length for names of any length."""
    return hashlib.blake2b(organisation.encode()).digest() if organisation else b""
