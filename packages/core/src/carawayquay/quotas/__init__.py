"""Quotas of organisations over all entry VMs."""

from __future__ import annotations

from carawayquay.quotas.coordinator import DomainView, QuotaCoordinator, coordinators
from carawayquay.quotas.ledger import OverQuota, QuotaLedger
from carawayquay.quotas.messages import (
    QuotaDemand,
    QuotaDemands,
    QuotaGrant,
    QuotaGrants,
    QuotaReport,
    QuotaUse,
)
from carawayquay.quotas.tolerance import QuotaTolerance

__all__ = [
    "DomainView",
    "OverQuota",
    "QuotaCoordinator",
    "QuotaDemand",
    "QuotaDemands",
    "QuotaGrant",
    "QuotaGrants",
    "QuotaLedger",
    "QuotaReport",
    "QuotaTolerance",
    "QuotaUse",
    "coordinators",
]
