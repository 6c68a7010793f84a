"""The newest known VM list of each failure domain."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from carawayquay.errors import ObjectError
from carawayquay.membership import DomainList, EntryVM, VMState, parse_domain_list

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.objects import StoredObject

__all__ = ["Directory"]


class Directory:
    """VM lists by failure domain, whose versions only increase."""

    def __init__(self) -> None:
        self._lists: dict[str, DomainList] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """The names of all listed failure domains, sorted."""
        return tuple(sorted(self._lists))

    def __iter__(self) -> Iterator[DomainList]:
        return iter(self._lists.values())

    def domain(self, name: str) -> DomainList:
        """Return the VM list of a failure domain, an empty one of version 0 if none is known."""
        return self._lists.get(name) or DomainList(name, 0)

    def region(self, domain: str) -> str:
        """Return the region of a failure domain, an empty string if it has no listed VM."""
        members = self.domain(domain).members
        return members[0].region if members else ""

    def live(self, domain: str) -> tuple[EntryVM, ...]:
        """Return the VMs of a failure domain that are listed as live."""
        members = self.domain(domain).members
        return tuple(member for member in members if member.state is VMState.LIVE)

    def find(self, name: str) -> EntryVM | None:
        """Return a VM by its name, or None."""
        for listed in self._lists.values():
            member = listed.member(name)
            if member is not None:
                return member
        return None

    def dump(self) -> dict[str, Any]:
        """Return versions and members of the lists by failure domain, in JSON types."""
        return {
            listed.domain: {
                "version": listed.version,
                "members": {vm.name: vm.state.value for vm in listed.members},
            }
            for listed in self._lists.values()
        }

    def adopt_object(self, item: StoredObject) -> None:
        """Replace a VM list by that of a stored object if it is newer.

        :raises ObjectError: if the object is not a valid VM list
        """
        try:
            self.adopt(parse_domain_list(item.name, item.version, json.loads(item.value)))
        except (ValueError, RecursionError) as error:
            raise ObjectError(str(error)) from error

    def adopt(self, listed: DomainList) -> bool:
        """Replace a VM list if the given one is newer; return whether it was replaced."""
        if listed.version <= self.domain(listed.domain).version:
            return False
        self._lists[listed.domain] = listed
        return True
