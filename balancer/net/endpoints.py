"""Endpoints as discovery lists them: address, member, and one update of the endpoint list."""

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

# Few ports are in use and a list is long: one int object of each is enough.
_port_number = lru_cache(1024)(int)
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
is_canonical_address = re.compile(
    rf"{_OCTET}(?:\.{_OCTET}){{3}}:(?:0|[1-9]\d{{0,3}}|[1-5]\d{{4}})", re.ASCII
).fullmatch
"""Match most IPv4 addresses in their one canonical form; `parse_address` has to decide on all others."""


class AddressError(ValueError):
    """A text is no `HOST:PORT` with a literal address."""


class EndpointListError(BalancerError):
    """An entry or a line of the list makes no sense."""

    code = "LST01"
    remedy = "correct the entry where discovery has it from; until then the node keeps the list it has"


@dataclass(slots=True)
class Member(api.Endpoint):
    """One backend as discovery lists it: the decision module's entry and the address as `HOST:PORT`.

    The address stays text until a connection is opened, as most backends of a long list never get a request.
    Entry and address are one object because two would take 2 MB more for 70,000 backends.
    """

    host_port: str = ""

    @property
    def address(self) -> Address:
        """Host and port that the backend listens on."""
        return parse_address(self.host_port)


MemberLookup = Callable[[str], Member | None]
"""Returns the member in force by its id, or None."""


def no_member(name: str) -> None:
    """Look up a member before any list is in force: there is none."""


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A complete endpoint list, or one watch event that changes it.

    With `is_repeated` the members are those of an earlier update, sent to the decision module once more.
    """

    revision: int
    complete: bool
    members: tuple[Member, ...]
    is_repeated: bool = False
    by_id: ShardedDict[Member] | None = field(default=None, compare=False, repr=False)


def parse_address(value: object) -> Address:
    """Parse `HOST:PORT` with a literal address, as there is no DNS. Raises AddressError."""
    if not isinstance(value, str):
        raise AddressError(f"{value!r} is not text")
    try:
        return _parse(value)
    except ValueError as err:
        raise AddressError(str(err)) from None


def _parse(text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET, host)  # six times as fast as `ipaddress`, and lists are long
    except OSError:
        ipaddress.ip_address(host)
    if not port.isdecimal() or not 0 <= (number := _port_number(port)) <= MAX_PORT:
        raise ValueError(f"{text!r} has no port")
    return host, number
