"""By how much the requests of an organisation may exceed its quota."""

from __future__ import annotations

from datetime import timedelta

import attrs

__all__ = ["QuotaTolerance"]


@attrs.frozen
class QuotaTolerance:
    """The requests that may run in any window: (rate x window + burst) x (1 + ratio) + slack.

    :param window: length of the sliding window
    :param ratio: fraction of the quota by which it may be exceeded, 0 to 1
    :param slack: further requests of each organisation
    """

    window: timedelta = timedelta(seconds=5)
    ratio: float = 0.0
    slack: float = 0.0
