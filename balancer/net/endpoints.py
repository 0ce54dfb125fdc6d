"""Types of the endpoint list: addresses, members, and updates."""

from __future__ import annotations

import ipaddress
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net.sharded_dict import ShardedDict

Address = tuple[str, int]

MAX_PORT = 65_535

# Long lists repeat few port numbers, so the cache shares one int object for each of them.
_port_number = lru_cache(1024)(int)
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
is_canonical_address = re.compile(
    rf"{_OCTET}(?:\.{_OCTET}){{3}}:(?:0|[1-9]\d{{0,3}}|[1-5]\d{{4}})", re.ASCII
).fullmatch
"""Match `IP:PORT` for most IPv4 addresses in canonical form; `parse_address` decides on all other texts."""


class AddressError(ValueError):
    """A value is not `IP:PORT`."""


class EndpointListError(BalancerError):
    """An entry of the endpoint list is invalid; the message names the field."""

    code = "LST01"
    remedy = "correct the entry in the source of discovery; until then the node keeps its current list"


@dataclass(slots=True)
class Member(api.Endpoint):
    """A backend of discovery's list: the entry of the decision module with the address as `IP:PORT`.

    The address stays text until a connection is opened, as most backends of a long list never receive a
    request. Entry and address are one object because two objects would take 2 MB more for 70,000 backends.
    """

    host_port: str = ""

    @property
    def address(self) -> Address:
        """The parsed address that the backend listens on."""
        return parse_address(self.host_port)


MemberLookup = Callable[[str], Member | None]
"""Returns the current member of the list with this id, or None."""


def no_member(name: str) -> None:
    """Return None, as the lookup of a member while no list is in force."""


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A complete endpoint list, or one watch event that changes it.

    With `is_repeated` the members come from an earlier update and are sent to the decision module again.
    """

    revision: int
    complete: bool
    members: tuple[Member, ...]
    is_repeated: bool = False
    by_id: ShardedDict[Member] | None = field(default=None, compare=False, repr=False)


def parse_address(value: object) -> Address:
    """Parse `IP:PORT`; host names are rejected, as the node resolves no names. Raises AddressError."""
    if not isinstance(value, str):
        raise AddressError(f"{value!r} is not a string")
    try:
        return _parse(value)
    except ValueError as err:
        raise AddressError(str(err)) from None


def _parse(text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        # For IPv4 this is six times as fast as the `ipaddress` module, which matters for long lists.
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        ipaddress.ip_address(host)
    if not port.isdecimal() or not 0 <= (number := _port_number(port)) <= MAX_PORT:
        raise ValueError(f"{text!r} has no valid port")
    return host, number
