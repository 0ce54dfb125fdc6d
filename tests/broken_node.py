"""Simple node with a chosen defect, for tests of the judge: it breaks only the rule named by the defect.

The defect `none` breaks no rule. The node does not balance load: it sends each request once, to a random
eligible backend. When run as a program, its first argument is the defect.
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

# A node with the defect `crash` exits CRASH_AFTER_S after its start.
CRASH_AFTER_S = 3.0
Headers = dict[str, str]
Address = tuple[str, int]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read one HTTP message and return its start line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def http_response(status: int, body: bytes = b"") -> bytes:
    """Return the bytes of an HTTP response."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def address(text: str) -> Address:
    """Parse an address of the form HOST:PORT."""
    host, port = text.split(":")
    return host, int(port)


class DefectiveNode:
    """Node with one defect; `exit_process` ends its process at once."""

    def __init__(self, defect: str, config: dict[str, Any], exit_process: Callable[[], None]) -> None:
        self.defect, self.exit_process, self.random = defect, exit_process, random.Random(1)
        self.discovery = address(config["discovery"])
        self.members = {m["id"]: m for m in config["known"]["members"]}
        self.banned: set[str] = set()
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    def choose(self) -> dict[str, Any]:
        """Choose a backend at random; one that has started recently gets a tenth of the weight."""
        rows = [m for m in self.members.values() if m["id"] not in self.banned]
        cold = [m for m in rows if m["up_since_ms"]]
        if self.defect == "topple" and cold and self.random.random() < 0.8:
            return dict(cold[0])
        weights = [0.1 if m["up_since_ms"] else 1.0 for m in rows]
        chosen: dict[str, Any] = self.random.choices(rows, weights)[0]
        return chosen

    async def watch(self) -> None:
        """Apply the endpoint list updates of the watch."""
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
        """Send a request once; return its status (0: none), whether it never ran, and the response body."""
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

    async def serve(
        self, start: str, headers: Headers, body: bytes, has_left: Callable[[], bool]
    ) -> bytes | None:
        """Return the response to one request, or None to send none; `has_left` tells of its client."""
        defect, hit, method = self.defect, self.random.random() < 0.1, start.split(" ")[0]
        if defect == "answer" and hit:
            return None
        if defect == "made-up" and hit:
            return http_response(200, b"all is well")
        if defect == "left" and hit:
            await asyncio.sleep(float(headers["request-timeout"][:-1]) / 1000 - 0.06)
        if defect == "changed" and method == "POST":
            body = body.replace(b"wish", b"fish")
        if defect == "one-out" and method == "GET" and hit:
            results = await asyncio.gather(*(self.attempt(start, headers, body) for _ in range(2)))
            status, never, text = results[0]
        else:
            status, never, text = await self.attempt(start, headers, body)
        if defect == "twice" and "place-order" in start and not has_left():
            status, never, text = await self.attempt(start, headers, body)
        if defect == "refuse" and "place-order" in start:
            return http_response(503)
        if status == 200:
            return http_response(200, text)
        return http_response(503 if never else 500)

    async def client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one client connection."""
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
                        out = await self.serve(
                            start, headers, body, lambda: reader.exception() is not None or reader.at_eof()
                        )
                if out is None:
                    await asyncio.sleep(3600)
                else:
                    writer.write(out)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def operator(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one console request."""
        start, _, _ = await read_message(reader)
        parts = start.split(" ")[1].split("/")
        if parts[-1] == "maint" and self.defect != "banned":
            self.banned.add(parts[-2])
        elif parts[-1] == "ready":
            self.banned.discard(parts[-2])
        writer.write(http_response(200))
        writer.close()

    async def run(self, listen: Address, console: Address) -> None:
        """Listen, and watch discovery until it closes the connection."""
        for handler, place in ((self.client, listen), (self.operator, console)):
            self.servers.append(await asyncio.start_server(handler, *place, backlog=512))
        if self.defect == "crash":
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self.exit_process)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self.watch()  # Discovery closes the watch at the end of the run.


async def main() -> None:
    """Run the node until it is killed."""
    with open(os.environ["PROXY_CONFIG"]) as file:
        node = DefectiveNode(sys.argv[1], json.load(file), lambda: os._exit(3))
    await node.run(address(os.environ["PROXY_LISTEN"]), address(os.environ["PROXY_CONSOLE"]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
