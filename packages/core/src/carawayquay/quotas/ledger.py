"""One VM's account of its organisations' requests, by which it admits or refuses each at once."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.load_reports import short_hash
from carawayquay.quotas.messages import QuotaGrant, QuotaUse
from carawayquay.quotas.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from carawayquay.organisations import Organisation, Quota
    from carawayquay.quotas.messages import QuotaGrants

__all__ = ["OverQuota", "QuotaLedger"]

#: Age from which grants are not used, since the coordinator or the path to it has failed.
_GRANTS_LIFETIME = timedelta(seconds=0.9)

#: Age from which less is admitted than was granted: demand may have grown since, and the
#: coordinator that would notice may have failed.
_GRANTS_FRESH_FOR = timedelta(seconds=0.5)
_STALE_FACTOR = 0.5

#: Time for which a changed count is reported again, so that one lost report delays nothing.
_REPORTED_FOR = timedelta(seconds=0.6)

#: Fraction of the burst that VMs without a coordinator divide among themselves.
_FALLBACK_BURST = 0.5

#: Bounds in seconds of the time until a refused request may be admitted.
_MIN_WAIT = 0.5
_MAX_WAIT = 5.0

_COUNT_SPAN = 2**32


@attrs.frozen
class OverQuota:
    """A request that exceeds its organisation's quota.

    :param wait: seconds until it may be admitted
    :param fraction: of the organisation's requests that are admitted here at present, or None
        without a coordinator
    """

    wait: float
    fraction: float | None


@attrs.define
class _Account:
    """The requests of one organisation at this VM.

    :param credit: sum of the fractions of the requests that arrived; one is admitted at 1
    :param own: the tokens of this VM alone, used while there are no grants
    :param own_since: number of grants after which these began
    """

    credit: float
    own: TokenBucket
    own_since: int = 0
    arrived: int = 0
    admitted: int = 0
    changed_at: timedelta = timedelta()


class QuotaLedger:
    """Admits requests by what the coordinator of the failure domain granted last.

    Without recent grants, the VM admits an equal part of what its failure domain had, or an equal
    part of the quota if it knows nothing of that.

    :param random: spreads the first refused request of all VMs
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._accounts: dict[int, _Account] = {}
        self._grants: dict[int, QuotaGrant] = {}
        self._granted_at: timedelta | None = None
        self._grants_received = 0
        self._domain_vms = 1
        self._fleet_vms = 1

    def set_fleet(self, *, domain_vms: int, fleet_vms: int) -> None:
        """Set the numbers of VMs in the failure domain and in all domains, each with this one."""
        self._domain_vms = max(1, domain_vms)
        self._fleet_vms = max(1, fleet_vms)

    def coordinated(self, now: timedelta) -> bool:
        """Return whether recent grants of a coordinator are known."""
        return self._granted_at is not None and now - self._granted_at < _GRANTS_LIFETIME

    def grant(self, organisation: str) -> QuotaGrant | None:
        """Return the last grant for an organisation, recent or not."""
        return self._grants.get(short_hash(organisation))

    def fractions(self) -> dict[int, float]:
        """Return the fraction that was granted last, by short hash of the organisation's name."""
        return {code: grant.fraction for code, grant in self._grants.items()}

    def share(self, code: int) -> float | None:
        """Return the failure domain's share of a quota by the last grants, 0 if it had none.

        :param code: short hash of the organisation's name
        :returns: None before the first grants
        """
        if self._granted_at is None:
            return None
        grant = self._grants.get(code)
        return 0.0 if grant is None else grant.share

    def admit(self, organisation: Organisation, now: timedelta) -> OverQuota | None:
        """Count a request; return why it must be refused, or None if it is admitted."""
        if organisation.quota is None:
            return None
        code = short_hash(organisation.name)
        account = self._account(code, now)
        account.arrived += 1
        account.changed_at = now
        refused = self._take(code, account, organisation.quota, now)
        if refused is None:
            account.admitted += 1
        return refused

    def refund(self, organisation: Organisation, now: timedelta) -> None:
        """Return the credit of an admitted request that no target ran."""
        account = self._accounts.get(short_hash(organisation.name))
        if organisation.quota is None or account is None:
            return
        account.admitted -= 1
        account.changed_at = now
        if not self.coordinated(now):
            account.own.draw(-1.0)

    def uses(self, now: timedelta, *, complete: bool = False) -> tuple[QuotaUse, ...]:
        """Return the counts that changed lately, or all, for a report to the coordinator."""
        return tuple(
            QuotaUse(code, account.arrived % _COUNT_SPAN, account.admitted % _COUNT_SPAN)
            for code, account in self._accounts.items()
            if complete or now - account.changed_at < _REPORTED_FOR
        )

    def apply(self, grants: QuotaGrants, now: timedelta) -> None:
        """Use the grants of the coordinator from now on."""
        self._grants = {grant.organisation: grant for grant in grants.grants}
        self._granted_at = now
        self._grants_received += 1

    def retain(self, organisations: Iterable[Organisation]) -> None:
        """Forget the organisations that the configuration no longer has."""
        known = {short_hash(organisation.name) for organisation in organisations}
        for code in self._accounts.keys() - known:
            del self._accounts[code]

    def _account(self, code: int, now: timedelta) -> _Account:
        account = self._accounts.get(code)
        if account is None:
            account = _Account(self._random.random(), self._new_bucket(now), self._grants_received)
            self._accounts[code] = account
        return account

    def _new_bucket(self, now: timedelta) -> TokenBucket:
        """Return a bucket with less than one token.

        VMs that lose their coordinator together must not each admit a request at once.
        """
        return TokenBucket(self._random.random(), now)

    def _take(self, code: int, account: _Account, quota: Quota, now: timedelta) -> OverQuota | None:
        if not self.coordinated(now):
            return self._take_own(code, account, quota, now)
        grant = self._grants.get(code)
        fraction = 1.0 if grant is None else grant.fraction
        if now - self._granted_at >= _GRANTS_FRESH_FOR:
            fraction *= _STALE_FACTOR
        account.credit += fraction
        if account.credit < 1.0:
            return OverQuota(_wait(fraction), fraction)
        account.credit = min(1.0, account.credit - 1.0)
        return None

    def _take_own(
        self, code: int, account: _Account, quota: Quota, now: timedelta
    ) -> OverQuota | None:
        """Take a token of this VM's own part of the quota."""
        grant = self._grants.get(code)
        part = 1.0 / self._fleet_vms if grant is None else grant.share / self._domain_vms
        rate = quota.rate * part
        if account.own_since != self._grants_received:
            account.own, account.own_since = self._new_bucket(now), self._grants_received
        capacity = max(1.0, _FALLBACK_BURST * quota.burst * part)
        if account.own.fill(rate=rate, capacity=capacity, now=now) < 1.0:
            return OverQuota(min(_MAX_WAIT, max(_MIN_WAIT, 1.0 / rate)), None)
        account.own.draw(1.0)
        return None


def _wait(fraction: float) -> float:
    """Return the seconds after which a request is likely to be admitted at a fraction."""
    if fraction <= 0.0:
        return _MAX_WAIT
    return min(_MAX_WAIT, max(_MIN_WAIT, 1.0 / fraction))
