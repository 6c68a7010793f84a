"""Fingerprints by which entry VMs recognise equal requests of the same caller."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayquay.forwarding import CallerRequest
    from carawayquay.requests import Forward

__all__ = ["booking_fingerprint", "request_fingerprint", "suspect_fingerprint"]

_FINGERPRINT_BYTES = 8
_FORWARD_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 4

#: Schemes of ``Authorization`` whose credentials are the same in each request of a caller.
_LASTING_SCHEMES = frozenset({b"basic", b"bearer"})


def request_fingerprint(call: CallerRequest) -> int:
    """Return a 64-bit hash of organisation, host, method, path, object key and body.

    Equal requests of two organisations have different hashes. That of a request without an
    organisation is the one that versions without organisations compute.
    """
    key = _key_of(call.organisation.encode())
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES, key=key)
    for part in (call.host, call.method, call.path, call.object_key):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(call.body)
    return int.from_bytes(digest.digest(), "big")


def booking_fingerprint(forward: Forward) -> bytes:
    """Return a hash of service, method, path and body, which tells bookings of one key apart."""
    return _hash_forward(forward, b"")


def suspect_fingerprint(forward: Forward) -> bytes:
    """Return a hash of service, method, path, body and caller, by which crashes are counted.

    The caller is known by the credentials that it shows to the target, if they stay the same from
    request to request. Without any, the hash is that of ``booking_fingerprint``.
    """
    return _hash_forward(forward, _key_of(_credentials(forward)))


def _hash_forward(forward: Forward, key: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=_FORWARD_FINGERPRINT_BYTES, key=key)
    for part in (forward.service.encode(), forward.method.encode(), forward.path.encode()):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(forward.body)
    return digest.digest()


def _credentials(forward: Forward) -> bytes:
    """Return the caller's credentials, empty if it shows none or other ones each time."""
    values = [header.value for header in forward.headers if header.name == b"authorization"]
    lasting = [it for it in values if it.partition(b" ")[0].lower() in _LASTING_SCHEMES]
    return b"\n".join(lasting)


def _key_of(caller: bytes) -> bytes:
    """Return the key of the hash for a caller, of the same length for names of any length."""
    return hashlib.blake2b(caller).digest() if caller else b""
