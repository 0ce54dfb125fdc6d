"""Test an upgrade with two processes of one node: slots, connection steering, handover, shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import re
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from balancer.net import process_slots
from balancer.net.config import load
from balancer.net.connection_steering import steer_connections, stop_steering
from balancer.net.endpoint_updater import MAX_SHORT_UPDATE_ENTRIES
from balancer.net.json_stream import LONG_OBJECT_BYTES
from balancer.net.process_slots import ProcessSlots, SlotError
from balancer.net.shutdown import seconds_until_kill
from balancer.net.state_handover import consume_learned, write_learned
from balancer.policy import Balancer
from tests.helpers import BASE, SAFE, entry
from tests.sockets import (
    LONG_DEADLINES,
    WAIT_TIMEOUT_S,
    Backend,
    FakeDiscovery,
    Message,
    Rig,
    echo,
    node_config,
    running_node,
    spawn_node,
    started_node,
    wait_until_async,
)
from tests.test_console import CONSOLE

# SIGKILL excuses what it finds unanswered of requests that came this soon after SIGTERM.
UNANSWERED_AT_KILL_S = 0.7


@contextlib.contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve a port on which two processes can listen."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", 0))
        yield sock.getsockname()[1]


async def test_processes_detect_start_and_end_of_each_other(tmp_path: Path) -> None:
    changes: list[tuple[str, bool]] = []
    old = ProcessSlots(tmp_path / "x", lambda has_peer: changes.append(("old", has_peer)))
    new = ProcessSlots(tmp_path / "x", lambda has_peer: changes.append(("new", has_peer)))
    assert not old.acquire() and new.acquire()
    old.refresh_periodically()
    assert changes == [("old", True)] and not old.peer_started_first and new.peer_started_first
    old.stop()
    new.stop()
    old.release()
    new.refresh_periodically()
    assert changes[1:] == [("new", False)] and not new.peer_started_first
    new.stop()
    third = ProcessSlots(tmp_path / "x", lambda has_peer: None)
    assert third.acquire() and third.peer_started_first
    third.stop()


async def test_process_without_a_free_slot_raises(tmp_path: Path) -> None:
    processes = [
        ProcessSlots(tmp_path / "x", lambda has_peer: None) for _ in range(process_slots.SLOT_COUNT + 1)
    ]
    for slots in processes[:-1]:
        slots.acquire()
    with pytest.raises(SlotError):
        processes[-1].acquire()
    for slots in processes:
        slots.stop()
        slots.release()


def _accept_all(listener: socket.socket) -> int:
    count = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            listener.accept()[0].close()
            count += 1
    return count


def test_new_connections_are_steered_to_one_listener() -> None:
    with reserved_port() as port, contextlib.ExitStack() as stack:
        listeners = []
        for _ in range(2):
            listener = stack.enter_context(socket.socket())
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(("127.0.0.1", port))
            listener.listen(64)
            listener.setblocking(False)
            listeners.append(listener)

        def connections_per_listener() -> list[int]:
            for _ in range(32):
                socket.create_connection(("127.0.0.1", port)).close()
            return [_accept_all(listener) for listener in listeners]

        assert steer_connections(listeners[0], 1) and connections_per_listener() == [0, 32]
        assert steer_connections(listeners[1], 0) and connections_per_listener() == [32, 0]
        stop_steering(listeners[1])
        # With random distribution by the kernel this fails with a probability of 2 to the power of -31.
        assert min(connections_per_listener()) > 0


def test_limits_of_two_processes_add_up_to_the_descriptors_of_the_node(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config([], 1, sockets=384)))
    config = load({"PROXY_CONFIG": str(path)})
    clients, upstream = config.limits_per_process(2)
    # A process has 32 reserved descriptors, up to 16 clients over the limit, and 2 closing connections.
    own = 32 + 16 + 2
    assert sum(config.limits_per_process(1)) == 384 - own
    # Both processes may use their complete share at once, so no descriptor counts for both.
    assert clients == 96 and 2 * (clients + upstream + 32 + 12 + 2) == 384


def test_takeover_starts_watching_the_endpoint_list_at_once() -> None:
    balancer = Balancer(replace(BASE, must_subscribe=True), 1)
    saved = balancer.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("b0")]))
    assert not any(isinstance(a, api.WatchEndpoints) for a in saved)
    assert [type(a) for a in balancer.handle(1000.0, api.TakeoverStarted())] == [api.WatchEndpoints]


@pytest.mark.parametrize(("deadline", "seconds"), [(400.0, 1.1), (1200.0, 1.9), (9000.0, 3.7)])
def test_time_until_sigkill_follows_from_the_longest_deadline(deadline: float, seconds: float) -> None:
    classes = (replace(SAFE, deadline_ms=100.0), replace(SAFE, name="long", deadline_ms=deadline))
    assert seconds_until_kill(replace(BASE, classes=classes)) == pytest.approx(seconds)


async def test_upgrade_loses_no_connection_or_request(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if "/read?wait" in message.start_line:
            await go.wait()
        await echo(backend, message, writer)

    backend, other = Backend("b0", slow), Backend("b1", slow)
    with reserved_port() as port:
        listen = f"127.0.0.1:{port}"
        async with running_node(tmp_path, backend, other, console=CONSOLE, listen=listen) as old:
            await old.discovery.watch_targets.get()
            kept, busy = await old.connect(), await old.connect()
            assert (await kept.request("/read")).status == 200
            busy.send("/read?wait")
            assert (await old.call_console("/backends/b1/maint", "POST")).status == 200
            task = asyncio.create_task(_send_endpoint_update(old.discovery))
            async with started_node(old.config, old.discovery) as new:
                await task
                assert (await new.call_console("/healthcheck")).status == 200
                assert (await new.stats())["members_unavailable"] == 1
                await new.wait_for_log("handover: learned state taken over")
                old.terminate()
                while (await old.call_console("/healthcheck")).status == 200:
                    pass
                up = await kept.request("/up")
                assert up.status == 200 and up.headers["connection"] == "close"
                for _ in range(40):  # A process that shuts down would send `Connection: close`.
                    got = await (await new.connect()).request("/read")
                    assert got.status == 200 and "connection" not in got.headers
                go.set()
                got = await busy.read_response()
                assert got.status == 200 and got.headers["connection"] == "close"
                assert await old.wait_for_exit() == 0
                assert (await (await new.connect()).request("/read")).status == 200
                assert (await new.call_console("/backends/b1/ready", "POST")).status == 200


@pytest.mark.parametrize("has_successor", [False, True], ids=["restart", "upgrade"])
async def test_ending_process_takes_no_request_whose_long_response_sigkill_would_cut(
    tmp_path: Path, has_successor: bool
) -> None:
    """SIGKILL excuses only requests that came up to 0.7 s after SIGTERM: idle connections end before."""
    with reserved_port() as port:
        listen = f"127.0.0.1:{port}"
        async with running_node(tmp_path, Backend("b0"), console=CONSOLE, listen=listen) as old:
            kept = await old.connect()
            assert (await kept.request("/read")).status == 200
            async with contextlib.AsyncExitStack() as stack:
                if has_successor:
                    new = await stack.enter_async_context(started_node(old.config, old.discovery))
                    assert (await new.call_console("/healthcheck")).status == 200
                begun = asyncio.get_running_loop().time()
                old.terminate()
                assert await kept.read_until_closed() == b""
                assert asyncio.get_running_loop().time() - begun < UNANSWERED_AT_KILL_S


async def test_upgrade_while_a_long_endpoint_list_is_received(tmp_path: Path) -> None:
    """The new process receives a list in odd pieces; the old one gets SIGTERM halfway through it."""
    remaining, removed, added = Backend("b0"), Backend("b1"), Backend("b2")
    await added.start()
    with reserved_port() as port:
        listen = f"127.0.0.1:{port}"
        async with running_node(
            tmp_path, remaining, removed, console=CONSOLE, listen=listen, **LONG_DEADLINES
        ) as old:
            discovery = old.discovery
            rows = [remaining.list_entry(), *(added.list_entry(id=f"c{i}") for i in range(3000))]
            line = json.dumps({"revision": 42, "complete": True, "members": rows}).encode() + b"\n"
            assert len(line) > 4 * LONG_OBJECT_BYTES and len(rows) > 4 * MAX_SHORT_UPDATE_ENTRIES
            await discovery.watch_targets.get()
            kept, to_old = await old.connect(), discovery.writer
            assert to_old is not None
            discovery.send_chunk(line[: len(line) // 2])
            assert (await kept.request("/read")).status == 200

            process = await spawn_node(old.config)
            new = Rig(process, port, discovery, [], old.config)
            try:
                await new.wait_for_log("taking over")
                assert await discovery.watch_targets.get() == "/discovery/hosts?watch=1&from=41"
                at, size, pieces = 0, 1, list[bytes]()
                while at < len(line):
                    pieces.append(line[at : at + size])
                    at, size = at + size, size * 7 % 99_991 + 1
                for piece in pieces[:-1]:
                    discovery.send_chunk(piece)
                assert (await kept.request("/read")).status == 200
                assert (await (await old.connect()).request("/read")).status == 200
                discovery.send_chunk(pieces[-1])
                await new.wait_for_log("serves on")
                ports = re.findall(r"console on \S+:(\d+)", "".join(new.log))
                new.console_port = int(ports[0])

                async def all_listed() -> bool:
                    return bool((await new.stats())["members"] == len(rows))

                assert await wait_until_async(all_listed)
                assert (await old.stats())["members"] == 2  # An incomplete list is not applied.
                assert (await kept.request("/read")).status == 200

                old.terminate()
                while (await old.call_console("/healthcheck")).status == 200:
                    pass
                discovery.writer = to_old
                discovery.send_chunk(line[len(line) // 2 : -1000])
                request_ids = set[str]()
                for _ in range(40):  # A process that shuts down would send `Connection: close`.
                    client = await new.connect()
                    request_ids.add(client.send("/read"))
                    got = await client.read_response()
                    assert got.status == 200 and "connection" not in got.headers
                last = await kept.request("/read")
                assert last.status == 200 and last.headers["connection"] == "close"
                assert await old.wait_for_exit() == 0
                assert not any("bad list" in line or "Traceback" in line for line in (*old.log, *new.log))
                assert (await (await new.connect()).request("/read")).status == 200
                sent = {
                    removed.requests.get_nowait().headers["request-id"]
                    for _ in range(removed.requests.qsize())
                }
                assert not sent & request_ids  # The new process never had the removed endpoint in its list.
                new.terminate()
                assert await new.wait_for_exit() == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                for client in new.clients:
                    client.writer.transport.abort()
    added.stop()


async def test_long_response_at_shutdown_is_completed_or_aborted_in_time(tmp_path: Path) -> None:
    """Guards against closing a connection whose last response head announced keep-alive."""

    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if "long" not in message.start_line:
            await echo(backend, message, writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 50_000)
        await go.wait()
        if "ever" not in message.start_line:
            writer.write(b"x" * 50_000)

    async with running_node(tmp_path, Backend("b0", respond)) as rig:
        long, ever = await rig.connect(), await rig.connect()
        for client, target in ((long, "/read?long"), (ever, "/read?long_for_ever")):
            client.send(target)
            await client.reader.readuntil(b"\r\n\r\n")
        rig.terminate()
        while (await (await rig.connect()).request("/up")).status != 503:
            pass
        go.set()
        assert await asyncio.wait_for(long.reader.readexactly(100_000), WAIT_TIMEOUT_S)
        got = await long.request("/read")
        assert got.status == 200 and got.headers["connection"] == "close"
        with pytest.raises(
            asyncio.IncompleteReadError
        ) as short:  # All bytes written have arrived, so there was no reset.
            await asyncio.wait_for(ever.reader.readexactly(100_000), WAIT_TIMEOUT_S)
        assert len(short.value.partial) == 50_000
        assert await rig.wait_for_exit() == 0


LEARNED = api.LearnedState(21.5, 0.9, 0.0, {"read": (30.0, 4.0, 0.1)}, {"b0": (0.0, 1.0, math.inf, 1, 90.0)})


def test_learned_state_is_handed_over_once(tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)
    restored = consume_learned(path)
    assert restored is not None and restored.learned == LEARNED and 0 <= restored.age_ms < 10_000
    assert consume_learned(path) is None
    write_learned(tmp_path / "no" / "x.learned", LEARNED)  # A missing directory raises no exception.


@pytest.mark.parametrize(
    "change",
    [{"at": 0.0}, {"at": 1e15}, {"learned": 1}, {"learned": {"limit": "x"}}, {"learned": {"lost": math.nan}}],
)
def test_invalid_learned_state_is_not_taken_over(tmp_path: Path, change: dict[str, Any]) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)
    table = json.loads(path.read_text())
    inner = change.get("learned")
    change = change | ({"learned": table["learned"] | inner} if isinstance(inner, dict) else {})
    path.write_text(json.dumps(table | change))
    assert consume_learned(path) is None


async def _send_endpoint_update(discovery: FakeDiscovery) -> None:
    """Wait for the next watch and send it an update without changes."""
    await discovery.watch_targets.get()
    discovery.send_update(42)


async def test_second_process_that_cannot_listen_does_not_affect_the_first(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        path = tmp_path / "second.json"
        text = json.loads(rig.config.read_text()) | {"listen": f"127.0.0.1:{rig.port}"}
        path.write_text(json.dumps(text | {"discovery": "127.0.0.1:9", "console": CONSOLE}))
        second = await spawn_node(path)
        _, err = await second.communicate()
        assert second.returncode == 2
        assert err.decode().splitlines()[-1].startswith("balancer: NOD01: listen: ")
        assert (await (await rig.connect()).request("/read")).status == 200
