"""Organisations that share the services: their API keys, priorities, regions and quotas."""

from __future__ import annotations

from carawayquay.organisations.access import Access, AnyCaller, KeyUndecided, UnknownKey, Verified
from carawayquay.organisations.organisation import Organisation, Quota, key_digest
from carawayquay.organisations.registry import Organisations

__all__ = [
    "Access",
    "AnyCaller",
    "KeyUndecided",
    "Organisation",
    "Organisations",
    "Quota",
    "UnknownKey",
    "Verified",
    "key_digest",
]
