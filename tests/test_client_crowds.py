"""Test the memory of a node under crowds of clients, each as rude or slow as the pages allow.

`python -m tests.test_client_crowds SEED SECONDS MEMORY_MB` plays a longer crowd of all kinds by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

import pytest

from balancer.net.stream import MAX_WINDOW_BYTES, MIN_BUFFERED_BYTES, StreamMemory, Upload
from tests.sockets import ROOT, WAIT_TIMEOUT_S, FakeDiscovery, abort_connection, node_config

CLIENTS = 320  # Under a third of the descriptors.
DESCRIPTORS = 1024
MEMORY_MB = 64.0
PLAY_S = 5.0
LONG_RESPONSE_BYTES = 8 * 1024 * 1024
REQUEST_NUMBERS = itertools.count(1)
Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter


def head(method: str, path: str, *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: a", f"Request-Id: {next(REQUEST_NUMBERS):016x}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n"


async def read_length(reader: Reader) -> int:
    """Read a head and return the length that it states."""
    text = (await reader.readuntil(b"\r\n\r\n")).lower()
    found = re.search(rb"content-length: (\d+)", text)
    return int(found[1]) if found else 0


async def serve_backend(reader: Reader, writer: Writer) -> None:
    """Read requests, and answer with 60 kB after some work, or with megabytes."""
    try:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await serve_request(reader, writer)
    finally:
        abort_connection(writer)


async def serve_request(reader: Reader, writer: Writer) -> None:
    text = await reader.readuntil(b"\r\n\r\n")
    found = re.search(rb"Content-Length: (\d+)", text)
    await reader.readexactly(int(found[1]) if found else 0)
    await asyncio.sleep(0.3)
    size = LONG_RESPONSE_BYTES if b"/long" in text else 60_000
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    while size > 0:
        writer.write(b"y" * min(60_000, size))
        size -= 60_000
        await writer.drain()


async def send_short_fields(draws: random.Random, reader: Reader, writer: Writer) -> None:
    count = draws.choice([500, 2000, 2300, 9000])
    writer.write(head("POST", "/once") + b"".join(b"%x:\r\n" % number for number in range(count)))
    await reader.read()


async def send_half_a_body(draws: random.Random, reader: Reader, writer: Writer) -> None:
    size = draws.choice([65_536, 100_000, 700_000])
    writer.write(head("POST", "/once", f"Content-Length: {size}") + b"\r\n")
    for _ in range(0, int(size * draws.choice([0.5, 0.95])), 8_000):
        writer.write(b"z" * 8_000)
        await writer.drain()
    await reader.read()


async def send_body_slowly(draws: random.Random, reader: Reader, writer: Writer) -> None:
    size = draws.choice([60_000, 200_000])
    writer.write(head("POST", "/once", f"Content-Length: {size}") + b"\r\n")
    for begin in range(0, size, 6_400):
        writer.write(b"z" * min(6_400, size - begin))
        await asyncio.sleep(0.1)
    await reader.readexactly(await read_length(reader))


async def send_short_bodies(draws: random.Random, reader: Reader, writer: Writer) -> None:
    for _ in range(10):
        size = draws.choice([65_536, 50_000])
        writer.write(head("POST", "/once", f"Content-Length: {size}") + b"\r\n" + b"z" * size)
        await reader.readexactly(await read_length(reader))


async def read_slowly(draws: random.Random, reader: Reader, writer: Writer) -> None:
    writer.write(head("GET", "/read/long") + b"\r\n")
    while await reader.read(20_000):
        await asyncio.sleep(draws.uniform(0.05, 0.2))


KINDS: dict[str, Callable[[random.Random, Reader, Writer], Awaitable[None]]] = {
    "short fields": send_short_fields,
    "half a body": send_half_a_body,
    "slow body": send_body_slowly,
    "short bodies": send_short_bodies,
    "slow reader": read_slowly,
}


@dataclass
class CrowdedNode:
    """A running node, its log in a file, and what good clients saw beside the crowd."""

    process: subprocess.Popen[bytes]
    port: int
    served: int = 0
    refused: int = 0
    lost: int = 0

    def peak_memory_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+)", text)
        assert found
        return int(found[1]) / 1024


@contextlib.asynccontextmanager
async def crowded_node(folder: Path, memory_mb: float) -> AsyncIterator[CrowdedNode]:
    """Run a node with six backends."""
    servers = [await asyncio.start_server(serve_backend, "127.0.0.1", 0) for _ in range(6)]
    discovery = FakeDiscovery()
    await discovery.start()
    members = [
        {"id": f"b{number}", "host_port": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "locality": "a",
         "flavor": "m", "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
        for number, server in enumerate(servers)
    ]  # fmt: skip
    config = node_config(members, discovery.port, sockets=DESCRIPTORS)
    config["limits"]["memory_mb"] = memory_mb
    path, log_path = folder / "config.json", folder / "node.log"
    path.write_text(json.dumps(config))
    with log_path.open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "balancer"], cwd=ROOT, stderr=log,
            env={"PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        )  # fmt: skip
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (found := re.search(r"serves on \S+:(\d+)", log_path.read_text())):
                await asyncio.sleep(0.05)
        yield CrowdedNode(process, int(found[1]))
        assert process.poll() is None and "Traceback" not in log_path.read_text()
    finally:
        process.kill()
        process.wait()
        for server in servers:
            server.close()
        discovery.stop()


async def crowd_client(kind: str, node: CrowdedNode, draws: random.Random) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            try:
                async with asyncio.timeout(6.0):
                    await KINDS[kind](draws, reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(draws.uniform(0.0, 0.1))


async def good_client(node: CrowdedNode) -> None:
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        try:
            writer.write(head("GET", "/read") + b"\r\n")
            async with asyncio.timeout(4.5):  # The time of the class and half a second.
                text = await reader.readuntil(b"\r\n\r\n")
            node.served += b" 200 " in text
            node.refused += b" 200 " not in text
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            node.lost += 1
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.1)


async def watch_memory(node: CrowdedNode, seconds: float, memory_mb: float) -> float:
    """Check the memory for some seconds, and return the most that was resident."""
    until = time.monotonic() + seconds
    peak_mb = 0.0
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
        peak_mb = node.peak_memory_mb()
        assert peak_mb < memory_mb, f"{peak_mb:.1f} MB resident, {memory_mb:g} allowed"
    return peak_mb


async def play(kinds: list[str], seed: int, seconds: float, memory_mb: float, folder: Path) -> CrowdedNode:
    """Play a crowd of these kinds beside a good client, and return what was seen."""
    draws = random.Random(seed)
    async with crowded_node(folder, memory_mb) as node:
        tasks = [asyncio.create_task(good_client(node))]
        for kind in itertools.islice(itertools.cycle(kinds), CLIENTS):
            tasks.append(asyncio.create_task(crowd_client(kind, node, random.Random(draws.random()))))
        try:
            peak_mb = await watch_memory(node, seconds, memory_mb)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        print(
            f"{kinds}, seed {seed}: {peak_mb:.1f} of {memory_mb:g} MB; of a good client's requests"
            f" {node.served} served, {node.refused} refused or failed, {node.lost} lost"
        )
        return node


@pytest.mark.parametrize("kind", KINDS)
async def test_crowd_of_slow_or_rude_clients_stays_within_the_memory_limit(tmp_path: Path, kind: str) -> None:
    """Guards against a node that is killed for its memory while hundreds of clients are slow or rude."""
    assert (await play([kind], 1, PLAY_S, MEMORY_MB, tmp_path)).served


@pytest.mark.parametrize("seed", [1, 2])
async def test_mixed_crowd_stays_within_the_memory_limit(tmp_path: Path, seed: int) -> None:
    assert (await play(list(KINDS), seed, 2 * PLAY_S, MEMORY_MB, tmp_path)).served


def test_short_bodies_share_a_budget() -> None:
    memory = StreamMemory(32.0)
    assert memory.buffer(MIN_BUFFERED_BYTES) and not memory.buffer(1)
    memory.release(10)
    assert memory.buffer(10) and not memory.buffer(1)


def test_bytes_kept_for_a_retry_are_limited_by_the_window() -> None:
    memory = StreamMemory(64.0)
    memory.stream_count = 300
    upload = Upload(None, memory, lambda _: None)
    upload.attach(lambda: None)
    upload.feed(b"a" * 3 * memory.window_bytes)
    assert memory.window_bytes < MAX_WINDOW_BYTES and upload.take() and upload.is_prefix_dropped


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as by_hand:
        chosen_seed, chosen_seconds, chosen_memory = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
        asyncio.run(play(list(KINDS), chosen_seed, chosen_seconds, chosen_memory, Path(by_hand)))
