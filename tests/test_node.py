"""Test a node over loopback sockets: attempt outcomes, endpoint list, invalid input, limits, shutdown."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from balancer.interface import AttemptStatus, Idempotency, ListUpdateKind, Settings
from balancer.interface import RequestClass as Class
from balancer.net.attempt import AttemptResult
from balancer.net.config import load
from balancer.net.connection_pool import ConnectionPool
from balancer.net.endpoint_decoder import update_from_json
from balancer.net.endpoints import EndpointListError
from balancer.net.listener import Listener
from balancer.net.load_report import parse_load_report
from balancer.net.node import Node
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import MAX_BODY_BYTES, StreamMemory
from tests.sockets import (
    LONG_DEADLINES,
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    FakeDiscovery,
    Message,
    echo,
    echo_after,
    http_response,
    node_config,
    running_node,
    spawn_node,
)  # fmt: skip


async def never_respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Receive a request and send no response."""


def respond_with(*responses: bytes) -> Callable[[Backend, Message, asyncio.StreamWriter], Awaitable[None]]:
    """Send these responses in turn, over all backends that share them, then echo; b"" resets instead."""
    remaining = list(responses)

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if not remaining:
            await echo(backend, message, writer)
        elif text := remaining.pop(0):
            writer.write(text)
        else:
            writer.transport.abort()

    return respond


# --- serving requests and attempt outcomes


async def test_requests_are_served_over_one_kept_alive_connection(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        assert (await client.request("/up")).status == 200
        for _ in range(5):
            got = await client.request("/read/x?obj=7f", "Request-Timeout: 2000m", "Tenant: t")
            sent = await backend.requests.get()
            assert (got.status, got.body) == (200, f"b0 {sent.headers['request-id']}".encode())
            assert sent.start_line == "GET /read/x?obj=7f HTTP/1.1"
            assert 0 < int(sent.headers["request-timeout"].removesuffix("u")) <= 2_000_000
        body = b"x" * 65536
        assert (await client.request("/once", method="POST", body=body)).status == 200
        assert (await backend.requests.get()).body == body
        assert (await client.request_pay()).status == 200
        assert (await backend.requests.get()).headers["idempotency-key"] == "k1"
        assert backend.connection_count == 1


FULL = http_response(b"", "503 Service Unavailable", "Not-Started: 1")


@pytest.mark.parametrize(
    ("first", "path", "is_retried"),
    [
        (FULL, "/once", True),
        (http_response(b"", "504 Gateway Timeout", "Not-Started: 1"), "/once", True),
        (
            http_response(b"", "503 Service Unavailable"),
            "/once",
            False,
        ),  # Without Not-Started the request may have run.
        (http_response(b"", "500 Internal Server Error"), "/once", False),
        (http_response(b"", "500 Internal Server Error", "Not-Started: 1"), "/once", False),
        (b"", "/once", False),  # The backend resets the connection.
        (b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "/once", False),
        (b"", "/read", True),
    ],
)
async def test_attempt_outcome_decides_whether_a_request_is_retried(
    tmp_path: Path, first: bytes, path: str, is_retried: bool
) -> None:
    respond = respond_with(first)
    one, two = Backend("b0", respond), Backend("b1", respond)
    async with running_node(tmp_path, one, two) as rig:
        client = await rig.connect()
        got = await client.request(path, method="GET" if path == "/read" else "POST")
        assert got.status == (200 if is_retried else 502)
        assert one.requests.qsize() + two.requests.qsize() == 1 + is_retried


async def test_refused_connections_count_as_not_executed(tmp_path: Path) -> None:
    """A refused connection proves that the request never ran: it may be retried, or else rejected."""

    dead = [Backend(f"b{i}") for i in range(3)]
    async with running_node(tmp_path, *dead) as rig:
        for backend in dead:
            backend.stop()
        client = await rig.connect()
        assert (await client.request("/once", method="POST")).status == 503


async def test_connect_timeout_counts_as_not_executed(tmp_path: Path) -> None:
    full_listener = socket.socket()  # With a full accept queue, further connections are not established.
    full_listener.bind(("127.0.0.1", 0))
    full_listener.listen(0)
    queued_sockets = [socket.socket() for _ in range(4)]
    for sock in queued_sockets:
        sock.setblocking(False)
        sock.connect_ex(full_listener.getsockname())
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connect_timeout_ms=100.0), 10, RequestStatistics(), StreamMemory(64.0)
    )
    pool.update(_endpoint_update("b0", full_listener.getsockname()[1]), True)
    assert (await _start_attempt(pool, b"GET / HTTP/1.1\r\n\r\n")).status is AttemptStatus.CONNECT_FAILED
    assert pool.connection_count == 0
    for sock in [full_listener, *queued_sockets]:
        sock.close()


READ_CLASS = Class("read", Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0)


def _endpoint_update(name: str, port: int, **over: Any) -> Any:
    row = {"id": name, "host_port": f"127.0.0.1:{port}", "phase": "in_service"} | over
    return update_from_json({"revision": 1, "complete": True, "members": [row]}).members


async def _start_attempt(
    pool: ConnectionPool, data: bytes, meanwhile: Callable[[], Any] = lambda: None
) -> AttemptResult:
    ends: asyncio.Queue[AttemptResult] = asyncio.Queue()
    pool.start_attempt("b0", data, ends.put_nowait)
    meanwhile()
    return await ends.get()


async def test_connection_lost_before_the_last_byte_was_sent_counts_as_not_executed() -> None:
    was_aborted = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)  # The request has begun, and most of it is still unsent.
        writer.transport.abort()
        was_aborted.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=1000.0),
        10,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    pool.update(_endpoint_update("b0", server.sockets[0].getsockname()[1]), True)
    assert (await _start_attempt(pool, b"x" * 64_000_000)).status is AttemptStatus.CONNECT_FAILED
    await was_aborted.wait()
    assert (await _start_attempt(pool, b"x")).status is AttemptStatus.RESET
    server.close()


async def test_endpoint_removed_while_connecting_is_sent_nothing() -> None:
    backend = Backend("b0")
    await backend.start()
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=1000.0),
        10,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    for change in ({"phase": "terminating"}, {"phase": "terminated"}, {"host_port": "127.0.0.1:9"}):
        pool.update(_endpoint_update("b0", backend.port), True)
        late = _endpoint_update("b0", backend.port, **change)
        got = await _start_attempt(pool, b"x", lambda late=late: pool.update(late, False))  # type: ignore[misc]
        assert got.status is AttemptStatus.NOT_STARTED
        assert pool.connection_count == 0
    assert backend.requests.empty()
    backend.stop()


async def test_cancelled_attempt_closes_its_connection_at_once() -> None:
    """Guards against a retry that is sent while the connection of the cancelled attempt is still open."""

    listener = socket.create_server(("127.0.0.1", 0))
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=1000.0),
        10,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    pool.update(_endpoint_update("b0", listener.getsockname()[1]), True)
    attempt = pool.start_attempt("b0", b"hello", lambda result: None)
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    peer, _ = await loop.sock_accept(listener)
    assert await loop.sock_recv(peer, 10) == b"hello"
    attempt.cancel()
    peer.setblocking(True)
    peer.settimeout(WAIT_TIMEOUT_S)
    assert peer.recv(1) == b""  # The connection is closed before the next event loop iteration.
    peer.close()
    listener.close()


async def test_limit_on_backend_connections_holds(tmp_path: Path) -> None:
    """Over the limit the longest idle connection is closed; without one the attempt is not started."""

    backends = [Backend("b0"), Backend("b1", never_respond)]
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=60_000.0),
        1,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    members = ()
    for backend in backends:
        await backend.start()
        members += _endpoint_update(backend.name, backend.port)
    pool.update(members, True)
    request = b"GET / HTTP/1.1\r\nrequest-id: 1\r\n\r\n".replace(b"request-id:", b"Request-Id:")
    assert (await _start_attempt(pool, request)).status is AttemptStatus.OK
    attempt = pool.start_attempt("b1", request, lambda result: None)
    await backends[1].requests.get()
    await backends[0].closed_connections.get()
    assert pool.connection_count == 1
    assert (await _start_attempt(pool, request)).status is AttemptStatus.NOT_STARTED
    attempt.cancel()
    for backend in backends:
        backend.stop()


async def test_failed_socket_creation_is_not_counted_as_a_connection() -> None:
    """Guards against a pool that counts failed sockets, and so shrinks whenever descriptors run out."""

    backend = Backend("b0", respond_with(http_response(b"x")))
    await backend.start()
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=60_000.0),
        1,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    pool.update(_endpoint_update("b0", backend.port), True)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (0, hard))
    try:
        got = await _start_attempt(pool, b"GET / HTTP/1.1\r\n\r\n")
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert got.status is AttemptStatus.NOT_STARTED and pool.connection_count == 0
    assert (await _start_attempt(pool, b"GET / HTTP/1.1\r\n\r\n")).status is AttemptStatus.OK
    backend.stop()


async def test_idle_connection_is_closed_before_the_backend_closes_it(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend, limits={"conn-idle": 300}) as rig:
        client = await rig.connect()
        await client.request("/read")
        assert await backend.closed_connections.get() == 1
        assert (await client.request("/read")).status == 200
        assert backend.connection_count == 2


async def test_excess_response_closes_the_connection_but_does_not_fail_the_request(tmp_path: Path) -> None:
    async def twice(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(b"mine") + http_response(b"not mine"))

    backend = Backend("b0", twice)
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        for number in (1, 2, 3):
            assert (await client.request("/read")).body == b"mine"
            assert await backend.closed_connections.get() == number


async def test_response_with_an_endless_head_fails(tmp_path: Path) -> None:
    backend = Backend("b0", respond_with(b"HTTP/1.1 200 OK\r\nLong: " + b"x" * 20_000))
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        assert (await client.request("/once", method="POST")).status == 502
        await rig.wait_for_log("headers too long")
        await backend.closed_connections.get()


async def test_interim_responses_are_skipped(tmp_path: Path) -> None:
    first = b"HTTP/1.1 103 Early Hints\r\nNot-Started: 1\r\n\r\n" + http_response(b"late")
    async with running_node(tmp_path, Backend("b0", respond_with(first))) as rig:
        client = await rig.connect()
        assert (await client.request("/once", method="POST")).body == b"late"


# --- load reports in responses


def test_load_reports_are_parsed_and_invalid_ones_raise() -> None:
    report = parse_load_report("TEXT inflight=7, queue=2, util=0.61, other=3")
    assert (report.in_flight, report.queue, report.cpu_utilization) == (7.0, 2.0, 0.61)
    for bad in ("", "JSON {}", "TEXT inflight", "TEXT inflight=x", "TEXT inflight=nan", "TEXT queue=-1"):
        with pytest.raises(ValueError):
            parse_load_report(bad)


async def test_invalid_load_report_is_logged_and_the_response_used(tmp_path: Path) -> None:
    first = http_response(b"fine", "200 OK", "Server-Load: TEXT inflight=many")
    async with running_node(tmp_path, Backend("b0", respond_with(first))) as rig:
        client = await rig.connect()
        assert (await client.request("/read")).body == b"fine"
        await rig.wait_for_log("not a load report")
        assert (await client.request("/read")).status == 200


# --- deadlines, disconnects and rejections


async def test_request_without_a_response_fails_at_its_deadline(tmp_path: Path) -> None:
    backend = Backend("b0", never_respond)
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        loop = asyncio.get_running_loop()
        start = loop.time()
        assert (await client.request("/once", "Request-Timeout: 700m", method="POST")).status == 502
        assert loop.time() - start >= 0.6
        await backend.closed_connections.get()  # The attempt is cancelled at the deadline.
        backend.respond = echo
        assert (await client.request("/up")).status == 200


async def test_client_disconnect_cancels_its_attempt(tmp_path: Path) -> None:
    backend = Backend("b0", never_respond)
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.send("/read")
        await backend.requests.get()
        client.writer.close()
        await backend.closed_connections.get()


async def test_rejection_is_immediate_and_has_retry_after(tmp_path: Path) -> None:
    """Guards against clients that all retry at once after a rejection."""

    backend = Backend("b0", never_respond)
    limits = {"retry-after": True, "max-retry-after": 100}
    async with running_node(tmp_path, backend, limits=limits) as rig:
        client = await rig.connect()
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(42, backend.list_entry(phase="terminating"))
        rig.discovery.send_update(43, complete=True)
        while (got := await client.request("/read", "Request-Timeout: 50m")).status != 503:
            pass
        assert 0 < float(got.headers["retry-after"]) <= 0.1


# --- the endpoint list and its watch


async def test_draining_endpoint_gets_no_requests_and_its_idle_connections_close(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        await client.request("/read")
        await backend.requests.get()
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(42, backend.list_entry(phase="terminating"))
        await backend.closed_connections.get()
        assert (await client.request("/read")).status == 503
        assert backend.requests.empty()


async def test_complete_list_in_small_chunks_replaces_the_endpoints(tmp_path: Path) -> None:
    old, new = Backend("b0"), Backend("b1")
    await new.start()
    async with running_node(tmp_path, old) as rig:
        client = await rig.connect()
        await client.request("/read")
        assert await rig.discovery.watch_targets.get() == "/discovery/hosts?watch=1&from=41"
        line = json.dumps({"revision": 50, "complete": True, "members": [new.list_entry()]}).encode()
        for i in range(0, len(line), 7):
            rig.discovery.send_chunk(line[i : i + 7])
            await asyncio.sleep(0)
        rig.discovery.send_chunk(b"\n\n")
        await old.closed_connections.get()
        assert (await client.request("/read")).body.startswith(b"b1 ")
    new.stop()


async def test_endpoint_may_move_to_another_address(tmp_path: Path) -> None:
    old, new = Backend("b0"), Backend("b0")
    await new.start()
    async with running_node(tmp_path, old) as rig:
        client = await rig.connect()
        await client.request("/read")
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(42, new.list_entry())
        await old.closed_connections.get()
        assert (await client.request("/read")).status == 200
        assert new.requests.qsize() == 1
    new.stop()


async def test_ended_or_silent_watch_is_repeated_from_the_last_revision(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(47, backend.list_entry())
        assert rig.discovery.writer is not None
        rig.discovery.writer.close()
        assert await rig.discovery.watch_targets.get() == "/discovery/hosts?watch=1&from=47"
        # Discovery now sends nothing and does not close, so the node must time the watch out.
        assert await rig.discovery.watch_targets.get() == "/discovery/hosts?watch=1&from=47"
        client = await rig.connect()
        assert (await client.request("/read")).status == 200  # The last list stays in use.


async def test_reload_moves_the_watch_at_once_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the node, and against missing a drain that only the new address sends."""

    backend, moved = Backend("b0"), FakeDiscovery()
    await moved.start()
    async with running_node(tmp_path, backend) as rig:
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(43, backend.list_entry())
        client = await rig.connect()
        before = json.loads(rig.config.read_text())
        nowhere = json.dumps(before | {"discovery": "nowhere"})
        for text, why in (("{", "JSON"), ("[]", "object"), ("{}", "missing"), (nowhere, "IP:PORT")):
            rig.reload(text)
            await rig.wait_for_log(why)
        rig.reload(json.dumps(before | {"discovery": f"127.0.0.1:{moved.port}"}))
        assert await moved.watch_targets.get() == "/discovery/hosts?watch=1&from=43"
        assert (await client.request("/read")).status == 200
        moved.send_update(44, backend.list_entry(phase="terminating"))
        await backend.closed_connections.get()  # The drain has arrived, so the idle connection is closed.
        assert (await client.request("/read")).status == 503
        assert rig.discovery.watch_targets.empty()
    assert moved.server is not None
    moved.server.close()


async def test_reload_moves_the_watch_while_the_old_address_is_down(tmp_path: Path) -> None:
    backend, moved = Backend("b0"), FakeDiscovery()
    await moved.start()
    async with running_node(tmp_path, backend) as rig:
        await rig.discovery.watch_targets.get()
        assert rig.discovery.server is not None and rig.discovery.writer is not None
        rig.discovery.server.close()
        rig.discovery.writer.transport.abort()
        await rig.wait_for_log("discovery: no connection")
        before = json.loads(rig.config.read_text())
        rig.reload(json.dumps(before | {"discovery": f"127.0.0.1:{moved.port}"}))
        assert await moved.watch_targets.get() == "/discovery/hosts?watch=1&from=41"
        moved.send_update(45, backend.list_entry())
        assert moved.writer is not None
        moved.writer.transport.abort()
        assert await moved.watch_targets.get() == "/discovery/hosts?watch=1&from=45"
    assert moved.server is not None
    moved.server.close()


async def test_invalid_update_is_logged_and_the_complete_list_is_requested(tmp_path: Path) -> None:
    """Guards against applying a later update although the invalid one before it is missing."""

    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        await rig.discovery.watch_targets.get()
        gone = {"revision": 43, "complete": False, "members": [backend.list_entry(phase="terminated")]}
        bad = b'{"revision": 42, "members": [{"id": "b9"}]}\n'
        rig.discovery.send_chunk(bad + json.dumps(gone).encode() + b"\n")
        await rig.wait_for_log("bad list")
        assert await rig.discovery.watch_targets.get() == "/discovery/hosts?watch=1&from=0"
        client = await rig.connect()
        assert (await client.request("/read")).status == 200


async def test_indented_list_is_accepted_in_one_chunk_and_in_many(tmp_path: Path) -> None:
    """Guards against parsing each line as an object: no list was accepted, and reconnects never ended."""

    old, new = Backend("b0"), Backend("b1")
    await new.start()
    async with running_node(tmp_path, old) as rig:
        client = await rig.connect()
        await client.request("/read")
        await rig.discovery.watch_targets.get()
        first = {"revision": 50, "complete": True, "members": [new.list_entry()]}
        rig.discovery.send_chunk(json.dumps(first, indent=1).encode() + b"\n")
        await old.closed_connections.get()
        assert (await client.request("/read")).body.startswith(b"b1 ")
        second = {"revision": 51, "complete": False, "members": [new.list_entry(phase="terminating")]}
        text = json.dumps(second, indent=2).replace("\n", "\r\n").encode()
        for i in range(0, len(text), 7):
            rig.discovery.send_chunk(text[i : i + 7])
            await asyncio.sleep(0)
        await new.closed_connections.get()
        assert rig.discovery.watch_targets.empty()
    new.stop()


@pytest.mark.parametrize(
    "row",
    [{}, {"id": 3}, {"phase": "odd"}, {"size": -1}, {"size": "1"}, {"host_port": "here:1"}, {"cell": "x"}],
)
def test_invalid_endpoint_entries_raise(row: dict[str, Any]) -> None:
    good = {"id": "b0", "host_port": "127.0.0.1:1", "phase": "in_service"}
    with pytest.raises(EndpointListError):
        update_from_json({"revision": 1, "complete": True, "members": [good | row if row else "b0"]})


# --- invalid requests


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: soon\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 0m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: -5m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"OPTIONS * HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 404),
        (b"POST /read HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"POST /pay HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (b"POST /up HTTP/1.1\r\nContent-Length: 65537\r\n\r\n" + b"x" * 65537, 413),
        (b"GET /read HTTP/1.1\r\nLong: " + b"x" * 20_000, 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"GET /read HTTP/1.1\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n", 400),
    ],
)
async def test_invalid_request_gets_an_error_response_and_a_close(
    tmp_path: Path, text: bytes, status: int
) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(text)
        assert (await client.read_response()).status == status
        assert await client.read_until_closed() == b""
        assert backend.requests.empty()
        assert (await (await rig.connect()).request("/read")).status == 200


async def test_upgrade_request_gets_one_response(tmp_path: Path) -> None:
    """The parser reports an upgrade only after the complete request, which may already be answered."""

    async with running_node(tmp_path) as rig:  # Without backends every request is rejected at once.
        client = await rig.connect()
        client.send("/read", "Upgrade: websocket", "Connection: upgrade")
        assert (await client.read_response()).status == 503
        assert await client.read_until_closed() == b""


async def test_pipelined_request_after_a_closing_response_is_not_executed(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        # The idle backend connection that this leaves would carry a further request at once.
        await (await rig.connect()).request("/read")
        await backend.requests.get()
        rig.terminate()
        while (await (await rig.connect()).request("/up")).status != 503:
            pass
        client = await rig.connect()
        two = b"GET /up HTTP/1.1\r\n\r\nGET /read HTTP/1.1\r\nRequest-Id: 1\r\n\r\n"
        client.writer.write(two)  # One packet makes the node read both requests at once.
        assert (await client.read_response()).headers["connection"] == "close"
        assert await client.read_until_closed() == b""
        assert await rig.wait_for_exit() == 0
        assert backend.requests.empty()


async def test_request_pipelined_behind_an_open_one_is_not_executed(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        first = client.send("/read")
        client.send("/read")
        got = await client.read_response()
        assert got.body.decode().endswith(first) and got.headers["connection"] == "close"
        assert await client.read_until_closed() == b"" and backend.requests.qsize() == 1


# --- connection limits, start and shutdown


async def test_limit_on_client_connections_holds(tmp_path: Path) -> None:
    """Over the limit the longest idle connection is closed."""

    backend = Backend("b0")
    async with running_node(tmp_path, backend, sockets=64) as rig:  # 64 descriptors allow 19 clients.
        idle = [await rig.connect() for _ in range(19)]
        for client in idle:
            assert (await client.request("/up")).status == 200
        more = await rig.connect()
        assert await idle[0].read_until_closed() == b""
        for client in [more, *idle[1:]]:
            assert (await client.request("/read")).status == 200


async def test_connection_over_the_limit_gets_a_valid_response(tmp_path: Path) -> None:
    """Without an idle connection the newest one gets a 503 response and is closed."""

    backend = Backend("b0", never_respond)
    await backend.start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config([backend.list_entry()], 1)))
    config = load({"PROXY_CONFIG": str(path)})
    node = Node(config)
    node.update_endpoints(config.initial_list, ListUpdateKind.CACHED)
    listener = Listener(node, 2)
    await listener.listen(("127.0.0.1", 0), shared=False)
    clients = [Client(*await asyncio.open_connection(*listener.address)) for _ in range(2)]
    for client in clients:
        client.send("/read")
        await backend.requests.get()
    last = Client(*await asyncio.open_connection(*listener.address))
    got = await last.request("/read")
    assert got.status == 503 and got.headers["connection"] == "close"
    assert await last.read_until_closed() == b"" and backend.requests.empty()
    listener.stop()
    for client in clients:
        client.writer.transport.abort()
    while listener.connections or node.requests.open:
        await asyncio.sleep(0)
    backend.stop()


async def test_requests_over_max_open_are_rejected(tmp_path: Path) -> None:
    backend = Backend("b0", never_respond)
    async with running_node(tmp_path, backend, limits={"max-open": 1}, **LONG_DEADLINES) as rig:
        first, second = await rig.connect(), await rig.connect()
        first.send("/read")
        await backend.requests.get()
        assert (await second.request("/read")).status == 503


async def test_sigterm_answers_accepted_requests_and_exits_with_0(tmp_path: Path) -> None:
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
    async with running_node(tmp_path, backend) as rig:
        busy, idle = await rig.connect(), await rig.connect()
        await idle.request("/up")
        busy.send("/read")
        await backend.requests.get()
        rig.terminate()
        while (await (await rig.connect()).request("/up")).status != 503:
            pass
        late = await rig.connect()  # New connections are still accepted for a while.
        late.send("/read")
        await backend.requests.get()
        assert await idle.read_until_closed() == b""
        go.set()
        for client in (busy, late):
            got = await client.read_response()
            assert got.status == 200 and got.headers["connection"] == "close"
        assert await rig.wait_for_exit() == 0


@pytest.mark.parametrize(
    ("over", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "request-classes"),
        ({"seed": "xyz"}, "seed"),
        ({"known": {"revision": 1, "members": [{}]}}, "known"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        (None, "PROXY_CONFIG"),
    ],
)
async def test_invalid_configuration_is_reported_in_one_line_naming_the_field(
    tmp_path: Path, over: dict[str, Any] | None, field: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text("{" if over is None else json.dumps(node_config([], 1) | over))
    process = await spawn_node(path)
    _, err = await process.communicate()
    assert process.returncode == 2
    assert len(err.decode().splitlines()) == 1 and field in err.decode()


SLOW_BODY = b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\n1"


async def test_peers_without_a_complete_request_are_closed_in_time(tmp_path: Path) -> None:
    """Guards against silent peers that keep a connection: each must get an error or a close within 3 s."""

    async with running_node(tmp_path, Backend("b0")) as rig:
        kept = await rig.connect()
        peers = [(sent, await rig.connect()) for sent in (b"", b"\r\n", b"GET /up HT", SLOW_BODY)]
        begun = asyncio.get_running_loop().time()
        assert (await kept.request("/read")).status == 200
        for sent, peer in peers:
            peer.writer.write(sent)
        for sent, peer in peers:
            got = await peer.read_until_closed()
            assert (b" 408 " in got) == (len(sent) > 2), sent
            assert asyncio.get_running_loop().time() - begun < 8.0, sent
        # A client that has completed a request may stay connected.
        assert (await kept.request("/read")).status == 200
