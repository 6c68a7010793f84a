"""The entry VMs of a failure domain by the platform's list, which lags behind the actual state."""

from __future__ import annotations

import enum
import re
from functools import lru_cache
from ipaddress import IPv4Address

import attrs

__all__ = ["Address", "DomainList", "EntryVM", "VMState", "is_ip_address", "parse_domain_list"]

#: Matches any host that a socket takes; other texts raise errors that are no OSError.
_HOST = re.compile("[!-~]+")
_PORT = re.compile("[0-9]{1,9}")

#: Upper bound of port numbers, exclusive.
_MAX_PORT = 65536


@lru_cache(maxsize=8192)
def is_ip_address(host: str) -> bool:
    """Return whether a host is an IPv4 address, so that connecting to it looks up no name.

    >>> is_ip_address("10.0.0.1"), is_ip_address("10.0.0.300"), is_ip_address("localhost")
    (True, False, False)
    """
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


@attrs.frozen(order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse an address.

        >>> Address.parse("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)

        :raises ValueError: if *text* is not ``host:port``
        """
        host, _, port = text.rpartition(":")
        valid = _HOST.fullmatch(host) and _PORT.fullmatch(port) and 0 < int(port) < _MAX_PORT
        if not valid:
            raise ValueError(f'address "{text}" is not host:port')
        return cls(host, int(port))


class VMState(enum.Enum):
    """State of a VM by the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class EntryVM:
    """A VM that runs the daemon.

    :param callers: listening address for callers
    :param peers: listening address for other entry VMs
    :param admin: listening address for operators, or None if not listed
    """

    name: str
    domain: str
    region: str
    callers: Address
    peers: Address
    state: VMState = VMState.LIVE
    admin: Address | None = None


@attrs.frozen
class DomainList:
    """The platform's list of the entry VMs of one failure domain.

    :param version: version of the list in the platform's store
    """

    domain: str
    version: int
    members: tuple[EntryVM, ...] = ()

    #: The names of all members, including leaving ones.
    names: tuple[str, ...] = attrs.field(init=False, eq=False, repr=False)

    @names.default
    def _default_names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members)

    def member(self, name: str) -> EntryVM | None:
        """Return a member by its name, or None."""
        return next((member for member in self.members if member.name == name), None)


def parse_domain_list(domain: str, version: int, value: object) -> DomainList:
    """Parse the VM list of one failure domain from the platform's store.

    :raises ValueError: if the value is not a valid VM list
    """
    if not isinstance(value, dict) or not isinstance(value.get("vms"), list):
        raise ValueError(f'VM list of failure domain "{domain}" has no "vms"')
    return DomainList(domain, version, tuple(_parse_vm(domain, item) for item in value["vms"]))


def _parse_vm(domain: str, item: dict[str, str]) -> EntryVM:
    try:
        return EntryVM(
            name=item["name"],
            domain=domain,
            region=item["region"],
            callers=Address.parse(item["callers"]),
            peers=Address.parse(item["peers"]),
            state=VMState(item.get("state", "live")),
            admin=Address.parse(item["admin"]) if item.get("admin") else None,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'VM list of failure domain "{domain}": bad entry {item!r}') from error
