"""Messages about quotas between entry VMs; organisations are identified by short hashes."""

from __future__ import annotations

import attrs

__all__ = [
    "QuotaDemand",
    "QuotaDemands",
    "QuotaGrant",
    "QuotaGrants",
    "QuotaReport",
    "QuotaUse",
]


@attrs.frozen
class QuotaUse:
    """The requests of one organisation at one VM since the start of the VM.

    :param arrived: requests that came from callers, modulo 2**32
    :param admitted: requests that the quota admitted, without refunded ones, modulo 2**32
    """

    organisation: int
    arrived: int
    admitted: int


@attrs.frozen
class QuotaReport:
    """What a VM reports to the coordinator of its failure domain.

    Counts are totals, so that a lost report is made up for by the next one.

    :param sender: name of the VM
    :param incarnation: number of its start
    :param sequence: number of the report within the incarnation, from 1
    :param complete: whether it names every organisation that had requests at the VM
    """

    sender: str
    incarnation: int
    sequence: int
    uses: tuple[QuotaUse, ...]
    complete: bool = False


@attrs.frozen
class QuotaGrant:
    """What the VMs of a failure domain may admit of one organisation's requests.

    :param fraction: of the requests that arrive, 0 to 1
    :param share: the domain's fraction of the quota, 0 to 1
    """

    organisation: int
    fraction: float
    share: float


@attrs.frozen
class QuotaGrants:
    """What a coordinator tells the VMs of its failure domain.

    It names every organisation with requests in the domain; all requests of others are admitted.
    """

    sender: str
    incarnation: int
    sequence: int
    grants: tuple[QuotaGrant, ...]


@attrs.frozen
class QuotaDemand:
    """The requests of one organisation in a failure domain.

    :param rate: requests/s that arrive
    :param share: the domain's fraction of the quota, 0 to 1
    """

    organisation: int
    rate: float
    share: float


@attrs.frozen
class QuotaDemands:
    """What the coordinator of a failure domain tells those of other domains.

    It names every organisation with requests or a share in the domain.
    """

    sender: str
    incarnation: int
    sequence: int
    domain: str
    demands: tuple[QuotaDemand, ...]
