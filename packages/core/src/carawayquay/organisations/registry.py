"""The organisations of one version of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.organisations.access import Access, AnyCaller, KeyUndecided, UnknownKey, Verified
from carawayquay.organisations.organisation import key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from carawayquay.organisations.organisation import Organisation

__all__ = ["Organisations"]


class Organisations:
    """Organisations by name and by the digest of their API keys.

    If two organisations share a name or a key, it belongs to the first one.

    :param complete: whether every organisation of the configuration could be read
    """

    def __init__(self, organisations: Iterable[Organisation], *, complete: bool = True) -> None:
        self._by_name: dict[str, Organisation] = {}
        self._by_key: dict[bytes, Organisation] = {}
        self._complete = complete
        for organisation in organisations:
            if organisation.name in self._by_name:
                continue
            self._by_name[organisation.name] = organisation
            for digest in organisation.key_digests:
                self._by_key.setdefault(digest, organisation)
        self._limited = tuple(it for it in self._by_name.values() if it.quota is not None)

    @property
    def complete(self) -> bool:
        """Whether every organisation of the configuration could be read."""
        return self._complete

    @property
    def limited(self) -> tuple[Organisation, ...]:
        """The organisations that have a quota."""
        return self._limited

    def __iter__(self) -> Iterator[Organisation]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Organisation | None:
        """Return an organisation by name, or None."""
        return self._by_name.get(name)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that holds an API key, or None."""
        return self._by_key.get(key_digest(key))

    def check(self, key: str | None, *, public: bool) -> Access:
        """Decide whose request carries an API key.

        :param key: None if the request carries none
        :param public: whether its route needs no key
        """
        organisation = None if key is None else self.find(key)
        if organisation is not None:
            return Verified(organisation)
        if public:
            return AnyCaller()
        if key is not None and not self._complete:
            return KeyUndecided()
        return UnknownKey()
