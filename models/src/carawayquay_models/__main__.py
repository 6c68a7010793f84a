"""Command that checks every model and prints the results."""

from __future__ import annotations

import sys

from carawayquay_models import (
    conditional_writes,
    document_replication,
    key_claims,
    peer_forwarding,
    slot_lists,
    slot_loans,
    store_restores,
    store_watches,
)
from carawayquay_models.verdicts import print_verdicts

__all__ = ["main"]


def main(*, thorough: bool = False) -> None:
    """Check every model and print the results.

    :param thorough: also check the configurations of the key claims whose search takes minutes
    """
    key_claims.main(thorough=thorough)
    print_verdicts("slot loans", slot_loans.check, slot_loans.Safeguard)
    print_verdicts("slot lists", slot_lists.check, slot_lists.Safeguard)
    conditional_writes.main()
    document_replication.main()
    store_restores.main()
    store_watches.main()
    peer_forwarding.main()


if __name__ == "__main__":
    main(thorough="--thorough" in sys.argv[1:])
