"""A stand-in node for the judge's tests: keeps the rules, but for the one that its defect names.

`none` keeps them all. It is no load balancer: it sends to a random backend that may have the request, once.
As a process of its own it has the defect as its first argument.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
from collections.abc import Callable
from typing import Any

CRASH_AT = 3.0  # s after its start that a node with the defect `crash` ends
Headers = dict[str, str]
Address = tuple[str, int]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Start line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def http_response(code: int, body: bytes = b"") -> bytes:
    """An HTTP answer."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (code, len(body), body)


def address(text: str) -> Address:
    """HOST:PORT."""
    host, port = text.split(":")
    return host, int(port)


class DefectiveNode:
    """The node: its list, who is out, its connections. `die` ends all of it at once."""

    def __init__(self, defect: str, config: dict[str, Any], die: Callable[[], None]) -> None:
        self.defect, self.die, self.random = defect, die, random.Random(1)
        self.discovery = address(config["discovery"])
        self.members = {m["id"]: m for m in config["known"]["members"]}
        self.banned: set[str] = set()
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    def choose(self) -> dict[str, Any]:
        """A backend that may have a request; cold ones get a tenth."""
        rows = [m for m in self.members.values() if m["id"] not in self.banned]
        cold = [m for m in rows if m["up_since_ms"]]
        if self.defect == "topple" and cold and self.random.random() < 0.8:
            return dict(cold[0])
        weights = [0.1 if m["up_since_ms"] else 1.0 for m in rows]
        chosen: dict[str, Any] = self.random.choices(rows, weights)[0]
        return chosen

    async def watch(self) -> None:
        """Apply the lines of the watch."""
        reader, writer = await asyncio.open_connection(*self.discovery)
        writer.write(b"GET /discovery/hosts?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        while True:
            size = int(await reader.readuntil(b"\n"), 16)
            line = (await reader.readexactly(size + 2)).strip()
            for row in json.loads(line)["members"] if line else ():
                if row["phase"] == "in_service":
                    self.members[row["id"]] = row
                elif self.defect != "drain":
                    self.members.pop(row["id"], None)

    async def attempt(self, start: str, headers: Headers, body: bytes) -> tuple[int, bool, bytes]:
        """Send a request once; its status (0: no connection), whether it was turned away, its body."""
        lines = [start, "Host: b", *(f"{k}: {v}" for k, v in headers.items() if k != "host")]
        try:
            reader, writer = await asyncio.open_connection(*address(self.choose()["host_port"]))
        except OSError:
            return 0, True, b""
        self.writers.add(writer)
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            status, back, text = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            return 0, False, b""
        finally:
            self.writers.discard(writer)
            writer.close()
        return int(status.split(" ")[1]), "not-started" in back, text

    async def serve(self, start: str, headers: Headers, body: bytes) -> bytes | None:
        """The answer to one request; None for never."""
        defect, hit, method = self.defect, self.random.random() < 0.1, start.split(" ")[0]
        if defect == "answer" and hit:
            return None
        if defect == "made-up" and hit:
            return http_response(200, b"all is well")
        if defect == "changed" and method == "POST":
            body = body.replace(b"wish", b"fish")
        if defect == "one-out" and method == "GET" and hit:
            results = await asyncio.gather(*(self.attempt(start, headers, body) for _ in range(2)))
            status, never, text = results[0]
        else:
            status, never, text = await self.attempt(start, headers, body)
        if defect == "twice" and "place-order" in start:
            status, never, text = await self.attempt(start, headers, body)
        if defect == "refuse" and "place-order" in start:
            return http_response(503)
        if status == 200:
            return http_response(200, text)
        return http_response(503 if never else 500)

    async def client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One client's connection."""
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                if start.startswith("GET /up "):
                    writer.write(http_response(200))
                    continue
                out: bytes | None = http_response(500)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(float(headers["request-timeout"][:-1]) / 1000 - 0.03):
                        out = await self.serve(start, headers, body)
                if out is None:
                    await asyncio.sleep(3600)
                else:
                    writer.write(out)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def operator(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call to the console."""
        start, _, _ = await read_message(reader)
        parts = start.split(" ")[1].split("/")
        if parts[-1] == "maint" and self.defect != "banned":
            self.banned.add(parts[-2])
        elif parts[-1] == "ready":
            self.banned.discard(parts[-2])
        writer.write(http_response(200))
        writer.close()

    async def run(self, listen: Address, console: Address) -> None:
        """Listen, and follow discovery while it is there."""
        for handler, place in ((self.client, listen), (self.operator, console)):
            self.servers.append(await asyncio.start_server(handler, *place, backlog=512))
        if self.defect == "crash":
            asyncio.get_running_loop().call_later(CRASH_AT, self.die)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self.watch()  # discovery is gone: the run is at its end


async def main() -> None:
    """Listen until killed."""
    with open(os.environ["PROXY_CONFIG"]) as file:
        node = DefectiveNode(sys.argv[1], json.load(file), lambda: os._exit(3))
    await node.run(address(os.environ["PROXY_LISTEN"]), address(os.environ["PROXY_CONSOLE"]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
