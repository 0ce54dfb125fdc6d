"""Seeded runs of long and short responses and uploads at a real node, with signals, upgrades and crowds.

Clients keep using their connections until the process is killed, at the earliest time that the platform may.
Each exchange is judged by two pairs of rules that pull apart: long responses are not cut off and short ones
end in time; uploads are answered in time and those that are still written are not refused for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import math
import random
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeAlias

from balancer.net.stream import MAX_BUFFERED_BODY_BYTES
from tests.response_patterns import (
    ALLOWED_DELAY_S,
    MAX_OVERRUN_S,
    UNKNOWN_LENGTH,
    End,
    Framing,
    Piece,
    Play,
    body_size,
    ending_of,
    lumps,
    steady,
    write_response,
)
from tests.sockets import (
    CLASSES,
    REQUEST_NUMBERS,
    WAIT_TIMEOUT_S,
    Backend,
    FakeDiscovery,
    Rig,
    abort_connection,
    node_config,
    started_node,
)
from tests.test_console import CONSOLE

CLIENT_COUNT = 14
CROWD_COUNT = 60
BACKEND_COUNT = 5
GIVE_UP_MS = 1500
KILL_AFTER_TERM_S = GIVE_UP_MS / 1000 + 0.7  # The earliest SIGKILL behind a SIGTERM.
LAST_ANSWERS_S = 0.3  # A process answers what is left, also what is not whole, this long before SIGKILL.
UNANSWERED_AT_KILL_S = 0.7  # Requests that came this soon after SIGTERM may be unanswered at SIGKILL.
MAX_HOLD_UP_S = 0.15
PATIENCE_S = 12.0
MAX_RIG_LAG_S = 0.1  # A run in which the rig itself was held up for longer is void.
SOAK_CLASSES = [entry | {"objective": 100, "give-up": GIVE_UP_MS, "late-worth": 0.5} for entry in CLASSES]
UPLOAD_READ_BYTES = 4096
BACKEND_BUFFER_BYTES = 16 * 1024


Start: TypeAlias = Callable[[], contextlib.AbstractAsyncContextManager[Rig]]


class Kind(enum.Enum):
    """What an exchange plays."""

    LONG = "a long response"
    SHORT = "a short response"
    UPLOAD = "an upload"


@dataclass
class Exchange:
    """A request and the response that its backend plays."""

    kind: Kind
    play: Play
    class_name: str = "once"
    body_bytes: int = 2
    write_rate: float = math.inf  # Bytes per s that the client writes.
    read_rate: float = math.inf  # Bytes per s that the backend reads.
    read_limit: float = math.inf  # The backend reads no more than this.
    executions: int = 0
    first_piece_at: float | None = None  # When the backend wrote the first part of its response.


def draw_exchange(draws: random.Random) -> Exchange:
    """Draw an exchange whose response shows, by what comes first, whether it will be long."""
    timeout_s = draws.uniform(0.35, 1.0)
    framing = draws.choice(UNKNOWN_LENGTH)
    kind = draws.choices([Kind.LONG, Kind.SHORT, Kind.UPLOAD], [2, 5, 2])[0]
    if kind is Kind.LONG:
        return Exchange(kind, Play(draw_long(draws), draws.choice([framing, *Framing]), timeout_s))
    if kind is Kind.SHORT:
        return Exchange(
            kind, Play(draw_short(draws, timeout_s), draws.choice([framing, *Framing]), timeout_s)
        )
    answer = Play([Piece(50)], Framing.LENGTH, timeout_s)
    exchange = Exchange(kind, answer, body_bytes=draws.randrange(70_000, 1_500_000))
    exchange.write_rate = draws.choice([math.inf, math.inf, 150_000.0, 400_000.0])
    exchange.read_rate = draws.choices([math.inf, 80_000.0, 300_000.0], [8, 1, 1])[0]
    exchange.read_limit = draws.choices([math.inf, 20_000.0], [9, 1])[0]
    if exchange.write_rate < math.inf:
        exchange.body_bytes = min(exchange.body_bytes, int(2 * exchange.write_rate))
        exchange.read_rate = exchange.read_limit = math.inf
    return exchange


def draw_long(draws: random.Random) -> list[Piece]:
    if draws.random() < 0.4:
        duration_s = draws.uniform(1.5, 4.0)
        return steady(int(duration_s * draws.uniform(66_000, 150_000)), duration_s, int(duration_s * 20))
    first = draws.randrange(36_000, MAX_BUFFERED_BODY_BYTES)
    rest = [draws.randrange(35_000, 90_000) for _ in range(draws.choice([1, 1, 2]))]
    return lumps(first, *rest, pause_s=draws.uniform(0.2, 1.8))


def draw_short(draws: random.Random, timeout_s: float) -> list[Piece]:
    form = draws.choices(range(4), [12, 1, 1, 1])[0]  # Failures make a node shed requests.
    if form == 0:
        return [Piece(draws.randrange(100, 60_000))]
    if form == 1:
        duration_s = timeout_s + draws.uniform(1.0, 2.0)
        return steady(int(min(60_000, duration_s * draws.uniform(500, 22_000))), duration_s, 25)
    sizes = [draws.randrange(100, 30_000) for _ in range(2)]
    return lumps(*sizes, pause_s=draws.uniform(0.1, 2.0) if form == 2 else PATIENCE_S)


class SoakBackend(Backend):
    """Backend that plays the exchange that the path of a request names."""

    def __init__(self, name: str, exchanges: list[Exchange]) -> None:
        super().__init__(name)
        self.exchanges = exchanges

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BACKEND_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=2 * UPLOAD_READ_BYTES)
        self.port = sock.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                exchange = self.exchanges[int(head.split(b" ")[1].rpartition(b"/")[2])]
                await self._read_body(reader, head.lower(), exchange)
                exchange.executions += 1
                exchange.first_piece_at = asyncio.get_running_loop().time()
                await write_response(writer, exchange.play)
                if exchange.play.framing is Framing.CLOSE:
                    return

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes, exchange: Exchange) -> None:
        left = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
        taken = 0
        while left:
            if taken > exchange.read_limit:
                await asyncio.sleep(PATIENCE_S)
                raise ConnectionError
            data = await reader.read(min(left, UPLOAD_READ_BYTES))
            if not data:
                raise ConnectionError
            left -= len(data)
            taken += len(data)
            if exchange.read_rate < math.inf:
                await asyncio.sleep(len(data) / exchange.read_rate)


@dataclass
class SoakRun:
    """A run: its node, what its clients have seen, and what breaks a rule."""

    seed: int
    port: int
    begun_at: float
    exchanges: list[Exchange] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    terminated_at: list[float] = field(default_factory=list)
    killed_at: list[float] = field(default_factory=list)
    rigs: list[Rig] = field(default_factory=list)
    rig_lag_s: float = 0.0

    @property
    def is_void(self) -> bool:
        """Whether the rig was too slow to tell what the node did."""
        return self.rig_lag_s > MAX_RIG_LAG_S

    def is_shutting_down(self, at: float) -> bool:
        """Whether a process was giving its last answers before its SIGKILL."""
        return any(
            terminated_at + KILL_AFTER_TERM_S - LAST_ANSWERS_S <= at <= terminated_at + KILL_AFTER_TERM_S
            for terminated_at in self.terminated_at
        )

    def is_excused(self, sent_at: float, ended_at: float) -> bool:
        """Whether a kill ended an exchange that may be unanswered then."""
        for terminated_at, killed_at in zip(self.terminated_at, self.killed_at, strict=False):
            is_early = sent_at <= terminated_at + UNANSWERED_AT_KILL_S
            if sent_at <= killed_at <= ended_at + 0.05 and ended_at < killed_at + 0.5:
                return is_early
        return False


@dataclass(frozen=True)
class Seen:
    """What a client saw of an exchange; times are loop times in s."""

    sent_at: float
    written_at: float | None  # When its machine had taken the last byte; None if an answer came first.
    ended_at: float
    end: End
    received: bytes


def judge(run: SoakRun, exchange: Exchange, seen: Seen) -> str:
    """Return which rule an exchange breaks, or an empty string."""
    play = exchange.play
    if run.is_excused(seen.sent_at, seen.ended_at):
        return ""
    if exchange.executions > 1 and exchange.class_name == "once":
        return "ran twice"
    if not seen.received:
        return "lost: no answer"
    if exchange.kind is Kind.LONG:
        return "" if seen.end is End.WHOLE or not _had_begun(exchange, seen) else "a long response is cut off"
    # A request may be refused for other reasons, as soon as its body is too long to be held whole.
    checked_at_s = MAX_BUFFERED_BODY_BYTES / exchange.write_rate + ALLOWED_DELAY_S
    is_judged = seen.written_at is None and exchange.write_rate < math.inf
    if is_judged and not run.is_shutting_down(seen.ended_at) and seen.ended_at - seen.sent_at > checked_at_s:
        return "an upload is refused for its time while it is still written"
    limit_s = play.timeout_s + MAX_OVERRUN_S + ALLOWED_DELAY_S
    is_late = seen.written_at is not None and seen.ended_at - seen.written_at > limit_s
    return "the end is late" if is_late or seen.end is End.NONE else ""


def describe_exchange(exchange: Exchange, seen: Seen) -> str:
    """Return one line on an exchange."""
    play = exchange.play
    status = seen.received.split(b"\r\n")[0].decode()
    pieces = " ".join(f"{piece.size}+{piece.pause_s:.2f}s" for piece in play.pieces[:4])
    upload = ""
    if exchange.kind is Kind.UPLOAD:
        upload = (
            f"; body {exchange.body_bytes}, written at {exchange.write_rate:g}, read at"
            f" {exchange.read_rate:g} up to {exchange.read_limit:g}, written: {seen.written_at is not None}"
        )
    return (
        f"{exchange.class_name}, {play.framing.name}, time {play.timeout_s:.2f} s, {len(play.pieces)} pieces"
        f" of {play.size} bytes ({pieces}){upload}; seen: {status}, {body_size(seen.received)} bytes,"
        f" {seen.end.value}, {seen.ended_at - seen.sent_at:.2f} s, executions {exchange.executions}"
    )


def _had_begun(exchange: Exchange, seen: Seen) -> bool:
    """Return whether the backend had begun its response with time left, so that it is not to be cut off."""
    begun_at = exchange.first_piece_at
    return begun_at is not None and begun_at - seen.sent_at < exchange.play.timeout_s / 2


@dataclass
class SoakClient:
    """A client that uses its connection until the node closes it."""

    run: SoakRun
    draws: random.Random
    stops_at: float
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def use(self) -> None:
        """Send requests until it is time to stop."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.stops_at:
            exchange = draw_exchange(self.draws)
            exchange.class_name = self.draws.choice(["once", "pay"])
            self.run.exchanges.append(exchange)
            head = self._head(exchange, len(self.run.exchanges) - 1)
            seen = await self._send(exchange, head)
            if not seen.received and not exchange.executions:
                # A close that crosses a request which the node has not read; it is sent once more.
                self.run.ends["sent again"] += 1
                seen = await self._send(exchange, head)
            self.run.ends[f"{exchange.kind.value}: {seen.end.value}"] += 1
            if broken := judge(self.run, exchange, seen):
                at_s = seen.ended_at - self.run.begun_at
                self.run.findings.append(f"{at_s:.2f} {broken}: {describe_exchange(exchange, seen)}")
            await asyncio.sleep(self.draws.uniform(0.0, 0.1))
        self._close()

    def _head(self, exchange: Exchange, number: int) -> bytes:
        lines = [
            f"POST /{exchange.class_name}/{number} HTTP/1.1",
            "Host: a",
            f"Request-Id: {next(REQUEST_NUMBERS):016x}",
            f"Request-Timeout: {exchange.play.timeout_s * 1000:.0f}m",
            f"Content-Length: {exchange.body_bytes}",
            *(["Idempotency-Key: k"] if exchange.class_name == "pay" else []),
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _connect(self) -> None:
        if self.reader is not None and self.reader.at_eof():
            self._close()
        while self.writer is None:
            with contextlib.suppress(OSError):
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.run.port)
                self.writer.transport.set_write_buffer_limits(high=0)
                return
            await asyncio.sleep(0.05)

    def _close(self) -> None:
        if self.writer is not None:
            abort_connection(self.writer)
        self.reader = self.writer = None

    async def _send(self, exchange: Exchange, head: bytes) -> Seen:
        await self._connect()
        assert self.reader is not None and self.writer is not None
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        written_at: list[float] = []
        writing = asyncio.create_task(self._write(self.writer, exchange, head, written_at.append))
        received, end = b"", End.NONE
        try:
            async with asyncio.timeout(PATIENCE_S):
                while end is End.NONE:
                    data = await self.reader.read(1 << 16)
                    received += data
                    end = ending_of(received, bool(data))
        except ConnectionError:
            end = End.TRUNCATED
        except TimeoutError:
            pass
        ended_at = loop.time()
        was_written = bool(written_at)
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        is_last = b"connection: close" in received.partition(b"\r\n\r\n")[0].lower()
        if end in (End.NONE, End.TRUNCATED) or is_last or not was_written:
            self._close()
        return Seen(sent_at, written_at[0] if was_written else None, ended_at, end, received)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        exchange: Exchange,
        head: bytes,
        on_written: Callable[[float], None],
    ) -> None:
        writer.write(head)
        step = exchange.body_bytes if exchange.write_rate == math.inf else int(exchange.write_rate / 20)
        for begin in range(0, exchange.body_bytes, step):
            if begin:
                await asyncio.sleep(0.05)
            writer.write(b"z" * min(step, exchange.body_bytes - begin))
            await writer.drain()
        on_written(asyncio.get_running_loop().time())


async def crowd_client(run: SoakRun, draws: random.Random, stops_at: float) -> None:
    """Connect, send nothing or half a request, and stay for a while."""
    loop = asyncio.get_running_loop()
    while loop.time() < stops_at:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", run.port)
            writer.write(
                draws.choice([b"", b"GET / HT", b"POST /once HTTP/1.1\r\nContent-Length: 70000\r\n\r\nz"])
            )
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(draws.uniform(0.2, 3.0)):
                    await reader.read(1000)
            abort_connection(writer)
        await asyncio.sleep(draws.uniform(0.05, 0.3))


async def watch_lag(run: SoakRun) -> None:
    """Measure how long the rig itself is held up."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + 0.02
        await asyncio.sleep(0.02)
        run.rig_lag_s = max(run.rig_lag_s, loop.time() - due_at)


@contextlib.asynccontextmanager
async def terminated(run: SoakRun, rig: Rig, draws: random.Random) -> AsyncIterator[None]:
    """Send signals in series, do what is to be done meanwhile, and kill the process at the earliest time."""
    loop = asyncio.get_running_loop()
    signalled_at = loop.time()
    run.terminated_at.append(signalled_at)
    rig.terminate()
    for signal_number in draws.choice(
        [[], [signal.SIGTERM], [signal.SIGHUP], [signal.SIGHUP, signal.SIGTERM]]
    ):
        await asyncio.sleep(draws.uniform(0.0, 0.5))
        with contextlib.suppress(ProcessLookupError):
            rig.process.send_signal(signal_number)
    yield
    await asyncio.sleep(signalled_at + KILL_AFTER_TERM_S - loop.time())
    run.killed_at.append(loop.time())
    with contextlib.suppress(ProcessLookupError):
        rig.process.send_signal(signal.SIGKILL)
    await rig.process.wait()


async def start_logged(run: SoakRun, stack: contextlib.AsyncExitStack, start: Start) -> Rig:
    """Start a process and go on reading its log, which would fill its pipe."""
    rig = await stack.enter_async_context(start())
    run.rigs.append(rig)
    reading = asyncio.create_task(rig.read_log())
    stack.callback(reading.cancel)
    return rig


async def hold_up_in_series(rig: Rig, draws: random.Random) -> None:
    """Stop the process for as long as the pages allow for, some times."""
    for _ in range(draws.randrange(2, 5)):
        rig.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(draws.uniform(0.05, MAX_HOLD_UP_S))
        rig.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(draws.uniform(0.1, 0.6))


async def reload_in_series(rig: Rig, draws: random.Random) -> None:
    """Give new configurations in quick succession."""
    table = json.loads(rig.config.read_text())
    for _ in range(draws.randrange(2, 5)):
        table["settings"]["limits"]["connect-timeout"] = draws.choice([400, 800, 1000])
        rig.reload(json.dumps(table))
        await asyncio.sleep(draws.uniform(0.1, 0.8))


async def play_signals(run: SoakRun, draws: random.Random, start: Start, stops_at: float) -> None:
    """Run the node, and restart, upgrade and reload it, in series, until the clients stop."""
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        rig = await start_logged(run, stack, start)
        while True:
            await asyncio.sleep(draws.uniform(1.2, 2.5))
            if loop.time() > stops_at - KILL_AFTER_TERM_S:
                break
            step = draws.choice(["hold up", "reload", "restart", "upgrade", "upgrade"])
            run.ends[f"signal: {step}"] += 1
            if step == "hold up":
                await hold_up_in_series(rig, draws)
            elif step == "reload":
                await reload_in_series(rig, draws)
            elif step == "restart":
                async with terminated(run, rig, draws):
                    pass
                rig = await start_logged(run, stack, start)
            else:
                successor = await start_logged(run, stack, start)
                async with terminated(run, rig, draws):
                    if draws.random() < 0.5:
                        await reload_in_series(successor, draws)
                rig = successor
        await asyncio.sleep(max(0.0, stops_at - loop.time()) + PATIENCE_S)


def reserve_port() -> socket.socket:
    """Return a socket that reserves a port on which several processes can listen."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


async def play(seed: int, seconds: float, folder: Path) -> SoakRun:
    """Play a seed for some seconds of requests, and return what was seen."""
    draws = random.Random(seed)
    loop = asyncio.get_running_loop()
    with reserve_port() as reserved:
        run = SoakRun(seed, reserved.getsockname()[1], loop.time())
        backends = [SoakBackend(f"b{number}", run.exchanges) for number in range(BACKEND_COUNT)]
        discovery = FakeDiscovery()
        await discovery.start()
        for backend in backends:
            await backend.start()
        config = node_config(
            [backend.list_entry() for backend in backends], discovery.port,
            console=CONSOLE, listen=f"127.0.0.1:{run.port}", sockets=draws.choice([256, 1024]),
            **{"request-classes": SOAK_CLASSES},
        )  # fmt: skip
        config["limits"]["memory_mb"] = draws.choice([80, 192])
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        stops_at = loop.time() + 1.0 + seconds
        tasks = [
            asyncio.create_task(SoakClient(run, random.Random(draws.random()), stops_at).use())
            for _ in range(CLIENT_COUNT)
        ]
        crowd_size = draws.choice([0, 0, CROWD_COUNT])
        crowd = [
            asyncio.create_task(crowd_client(run, random.Random(draws.random()), stops_at))
            for _ in range(crowd_size)
        ]
        run.ends["crowd"] = crowd_size
        lag = asyncio.create_task(watch_lag(run))
        signals = asyncio.create_task(
            play_signals(run, draws, lambda: started_node(path, discovery), stops_at)
        )
        try:
            await asyncio.wait_for(asyncio.gather(*tasks), seconds + 3 * PATIENCE_S + WAIT_TIMEOUT_S)
            if signals.done():
                signals.result()
        finally:
            for task in (*tasks, *crowd, lag, signals):
                task.cancel()
            await asyncio.gather(*tasks, *crowd, lag, signals, return_exceptions=True)
            discovery.stop()
            for backend in backends:
                backend.stop()
    run.findings += [finding for rig in run.rigs if (finding := process_finding(rig))]
    return run


def process_finding(rig: Rig) -> str:
    """Return what a process did that none may do, or an empty string."""
    if any("Traceback" in line for line in rig.log):
        return "a traceback in the log"
    if rig.process.returncode not in (0, -signal.SIGKILL):
        return f"a process ended with exit code {rig.process.returncode}"
    return ""


async def play_until_valid(seed: int, seconds: float, folder: Path, tries: int) -> SoakRun:
    """Play a seed again while the rig was held up."""
    for number in range(tries):
        part = folder / str(number)
        part.mkdir()
        run = await play(seed, seconds, part)
        if not run.is_void:
            break
    return run
