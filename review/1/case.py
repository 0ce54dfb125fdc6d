"""Idle clients fill the descriptors while some clients take seconds to read long answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import sys
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    HOST,
    Backend,
    Discovery,
    NotRunError,
    Platform,
    Received,
    Record,
    free_ports,
    main,
    read_message,
    response,
    settings,
)

SEED = 41
SOCKETS = 256  # TERMS: "between 256 and 1,024 descriptors"
IDLE_CLIENTS = 300  # more than such a node takes in
CROWD_EVERY_S = 1.0  # those that the node has ended come back together
ANSWER_BYTES = 10_000_000  # DAYS: "Some answers and bodies are long, up to 32 MB"
READ_BYTES_PER_S = (700_000, 2_000_000)  # DAYS: "peers take seconds to read": 5 to 14 s here
PIECE_BYTES = 16 * 1024
READERS = 12
SECONDS = 60.0


class LongBackend(Backend):
    """A sound backend with long answers, which it writes as fast as they are taken."""

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await read_message(reader)
                request_id = message.headers["request-id"]
                at = self.record.add(self.name, f"runs {request_id}")
                self.received.append(Received(self.name, request_id, at, at))
                await asyncio.sleep(self.work_s)
                writer.write(response("200 OK", request_id.encode().ljust(ANSWER_BYTES, b".")))
                await writer.drain()
                self.record.add(self.name, f"has written all of {request_id}")
        writer.close()


class Crowd:
    """Idle clients: each connects, sends nothing, and closes as soon as the node has ended the connection."""

    def __init__(self, port: int) -> None:
        """Create the crowd of the node that listens on a port."""
        self.port = port
        self.ended = 0
        self._open: set[asyncio.Task[None]] = set()

    async def press(self, stop: asyncio.Event) -> None:
        """Keep `IDLE_CLIENTS` connected or connecting."""
        while not stop.is_set():
            for _ in range(IDLE_CLIENTS - len(self._open)):
                task = asyncio.create_task(self._rest())
                self._open.add(task)
                task.add_done_callback(self._open.discard)
            await asyncio.sleep(CROWD_EVERY_S)
        for task in list(self._open):
            task.cancel()

    async def _rest(self) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            try:
                await reader.read()
                self.ended += 1
            finally:
                writer.close()


class SlowReader:
    """A client that takes seconds to read each of its long answers."""

    def __init__(self, record: Record, port: int, draws: random.Random) -> None:
        """Create a client of the node that listens on a port."""
        self.record, self.port, self.draws = record, port, draws
        self.whole = self.refused = 0
        self.cut: list[str] = []

    async def send_until(self, end: float) -> None:
        """Send one request after the other; the last one begins before `end`."""
        await asyncio.sleep(self.draws.uniform(0.0, 6.0))
        while self.record.now() < end:
            with contextlib.suppress(OSError):  # Shut before anything was read of it.
                await self._exchange()
            await asyncio.sleep(self.draws.uniform(0.0, 0.5))

    async def _exchange(self) -> None:
        loop = asyncio.get_running_loop()
        rate = self.draws.uniform(*READ_BYTES_PER_S)
        request_id = uuid.uuid4().hex[:16]
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, self.port))
            head = (
                f"POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request_id}\r\n"
                "Request-Timeout: 900m\r\nContent-Length: 10\r\n\r\n"
            )
            self.record.add("reader", f"sends {request_id}")
            await loop.sock_sendall(sock, head.encode() + b'{"meal":1}')
            got, end = bytearray(), "whole"
            begun = loop.time()
            try:
                while not is_whole(got):
                    data = await loop.sock_recv(sock, PIECE_BYTES)
                    if not data:
                        end = "ended by the node before its end"
                        break
                    got += data
                    await asyncio.sleep(max(0.0, begun + len(got) / rate - loop.time()))
            except OSError as err:
                end = f"broken ({err.strerror})"
        status = got.split(b"\r\n", 1)[0].decode()
        took_s = loop.time() - begun
        self.record.add("reader", f"gets {request_id}: {status}, {len(got)} bytes in {took_s:.1f} s, {end}")
        if " 200 " in status and end == "whole" and request_id.encode() in got[:PIECE_BYTES]:
            self.whole += 1
        elif " 200 " in status:
            self.cut.append(request_id)
        else:
            self.refused += 1


def is_whole(got: bytearray) -> bool:
    """Return whether an answer has all of the body that its head declares."""
    end = got.find(b"\r\n\r\n", 0, PIECE_BYTES)
    if end < 0:
        return False
    lines = bytes(got[:end]).lower().split(b"\r\n")[1:]
    fields = {name: value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    if fields.get(b"transfer-encoding") == b"chunked":
        return got.endswith(b"\r\n0\r\n\r\n")
    return len(got) >= end + 4 + int(fields.get(b"content-length", 0))


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether each answer that the node had begun came whole."""
    draws = random.Random(SEED)
    backends: list[Backend] = [LongBackend(record, f"s-{number}") for number in range(4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.come_up()
    listen, console = free_ports(2)
    config = folder / "config.json"
    table = {
        "name": "n0", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "known": discovery.full_list(), "settings": settings(),
    }  # fmt: skip
    config.write_text(json.dumps(table))
    platform = Platform(record, folder)
    stop = asyncio.Event()
    crowd = Crowd(listen)
    readers = [SlowReader(record, listen, draws) for _ in range(READERS)]
    pressing: list[asyncio.Task[None]] = []
    try:
        node = await platform.start("node", config, folder / "tmp", console)
        await node.wait_ready(20.0)
        if trouble:
            pressing = [asyncio.create_task(crowd.press(stop))]
            await asyncio.sleep(2.0)
        end = record.now() + SECONDS
        await asyncio.gather(*(reader.send_until(end) for reader in readers))
        if node.process.returncode is not None:
            raise NotRunError("the node has ended")
    finally:
        stop.set()
        await asyncio.gather(*pressing)
        await platform.end()
    whole, cut = sum(reader.whole for reader in readers), [name for r in readers for name in r.cut]
    refused = sum(reader.refused for reader in readers)
    written = sum("has written all of" in line for line in record.lines)
    record.add("check", f"{written} answers written whole by the backends; {crowd.ended} idle clients ended")
    record.add("check", f"{whole} answers came whole, {refused} requests got another answer or none")
    for name in cut:
        done = any(f"has written all of {name}" in line for line in record.lines)
        record.add("check", f"cut off: {name}, {'given whole' if done else 'not given whole'} by its backend")
    return not cut


main(play, Path(__file__).resolve().parent)
