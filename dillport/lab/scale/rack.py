"""A rack is lost and discovery is cut off in the same moment, before a long list: real nodes under load."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from typing import cast

import uvloop

from dillport import interface as api
from dillport.lab.scale import fleet, size
from dillport.lab.scale.listing import (
    HOST,
    Client,
    StandInBackend,
    StandInDiscovery,
)
from dillport.lab.scale.points import NotPlayed, Play, Point
from dillport.lab.scale.processes import COUNT, READY_MOST, serving

LISTED = 20_000
RATE_PER_S = 40.0  # of each node's one client: one request after the other
BEFORE, AFTER = 4.0, 5.0  # s of load before the loss and behind it
GRACE = 1.05  # s after which nothing may go to what was told gone: the rule's, and its slack on sockets

LIMITS = (
    f"{COUNT} processes by `python -m dillport`, without the fleet's rooms, before {LISTED:,} listed. Each "
    "backend has an address of its own, all of them one listener of the rig. The rack is 40 backends that "
    "the nodes were using; they are told as gone, their connections are reset, and all watches end with "
    "discovery in the same moment. One client a node, 40 requests a second and not 193: rig and nodes share "
    "8 cores. Sends are counted as the backends saw them."
)


def address(number: int) -> str:
    """The host of a backend, in 127.0.0.0/8 and none of the rig's own."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Bank:
    """All backends: one listener, told apart by the address that was called."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        self.socket.bind(("0.0.0.0", 0))
        self.port: int = self.socket.getsockname()[1]
        self.got = Counter[str]()  # requests by host
        self.lost: frozenset[str] = frozenset()
        self.lost_at = 0.0
        self.late = 0  # requests that reached a lost one after the grace
        self.open: set[NamedBackend] = set()

    def lose(self, hosts: frozenset[str]) -> None:
        """These are gone: what is open there is reset, what comes is too."""
        self.lost, self.lost_at = hosts, asyncio.get_running_loop().time()
        for connection in [c for c in self.open if c.host in hosts]:
            connection.transport.abort()

    def request(self, host: str) -> bool:
        """A request has come; whether it is to be answered."""
        self.got[host] += 1
        if host not in self.lost:
            return True
        self.late += asyncio.get_running_loop().time() - self.lost_at > GRACE
        return False


class NamedBackend(StandInBackend):
    """One connection to one of the bank."""

    def __init__(self, bank: Bank) -> None:
        self.bank, self.host = bank, ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See who is called."""
        super().connection_made(transport)
        self.host = cast(str, transport.get_extra_info("sockname")[0])
        self.bank.open.add(self)

    def data_received(self, data: bytes) -> None:
        """A request counts also where its backend is gone, and is not answered then."""
        if all(self.bank.request(self.host) for _ in range(data.count(b"\r\n\r\n"))):
            super().data_received(data)
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self.bank.open.discard(self)


async def load(client: Client, until: float, answers: Counter[int]) -> None:
    """One request after the other at the rate; counts the statuses, 0 for no answer."""
    loop = asyncio.get_running_loop()
    due = loop.time()
    while due < until:
        await asyncio.sleep(max(0.0, due - loop.time()))
        due += 1 / RATE_PER_S
        answers[(await client.ask())[0]] += 1
    client.close()


async def play_rack(
    count: int, backends: int, before: float = BEFORE, after: float = AFTER
) -> list[Point | NotPlayed]:
    """So many nodes before a list of so many, under load throughout."""
    loop = asyncio.get_running_loop()
    bank = Bank()
    told = fleet.entries(backends, time.time() * 1000 - fleet.DAY)
    by_host = {address(number): number for number in range(backends)}
    hosts = {told[number].backend: f"{host}:{bank.port}" for host, number in by_host.items()}
    discovery = StandInDiscovery(fleet.line(told, 2, True, hosts))
    async with contextlib.AsyncExitStack() as stack:
        server = await loop.create_server(lambda: NamedBackend(bank), sock=bank.socket)
        stack.callback(server.close)
        calls = await asyncio.start_server(discovery.serve, HOST, 0)
        stack.callback(calls.close)
        try:
            ports = await serving(stack, count, backends, calls.sockets[0].getsockname()[1])
        except TimeoutError:
            return [NotPlayed(f"rack at {backends}", f"not all {count} served in {READY_MOST:g} s")]
        answers, earlier = Counter[int](), Counter[int]()
        until = loop.time() + before + after
        work = [loop.create_task(load(Client(port), until, answers)) for port in ports.values()]
        await asyncio.sleep(before)
        earlier.update(answers)
        used = [host for host, _ in bank.got.most_common(size.RACK_MACHINES)]
        rack = [told[by_host[host]] for host in used]
        gone = [replace(entry, phase=api.Phase.GONE) for entry in rack]
        served_there = sum(bank.got[host] for host in used)
        discovery.tell(fleet.line(gone, 3, False, hosts))
        await asyncio.sleep(0)
        discovery.cut()
        calls.close()
        bank.lose(frozenset(used))
        await asyncio.gather(*work)
    later = answers - earlier
    figures = (
        ("sent_before", "requests", float(served_there)), ("sent_late", "requests", float(bank.late)),
        ("unanswered", "requests", float(answers[0])), ("asked_after", "requests", float(later.total())),
        ("served_after", "share", later[200] / max(1, later.total())),
    )  # fmt: skip
    return [Point("rack", name, unit, backends, value, False) for name, unit, value in figures]


def plays(quick: bool) -> list[Play]:
    """The play of the rack; not in a quick run."""

    def rack(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed("a rack lost and discovery cut off, before real processes", "not in a quick run")
            return
        yield from uvloop.run(play_rack(COUNT, LISTED))

    return [Play("rack", rack, size.BACKENDS, LIMITS)]
