"""The operators' own listener: one call to a connection, answered at once or turned away in time."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Coroutine
from typing import Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools

from balancer.errors import BalancerError
from balancer.net.endpoints import Address

log = logging.getLogger(__name__)

MAX_HEAD = 8 * 1024
MAX_BODY = 64 * 1024  # no call needs one; what comes is read and thrown away
PATIENCE = 2.5  # s for a call to come in whole
LINGER = 1.0  # s for a caller to read its answer while it still sends
CALLERS = 8  # connections at a time; over that the longest waiting one goes
BACKLOG = 32  # callers that wait to be accepted
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip


class CallRefused(BalancerError):
    """A call of the console makes no sense; the text says why."""

    code = "CON01"
    remedy = "GET /healthcheck, GET /stats, POST /backends/ID/maint, POST /backends/ID/ready are the calls"

    def __init__(self, status: int, why: str, allow: str = "") -> None:
        super().__init__(why)
        self.status, self.allow = status, allow


class UnknownBackend(CallRefused):
    """The backend that is to be taken out or put back was never listed here."""

    code = "CON02"
    remedy = "compare the id with discovery's list (/ is %2F in the path); call again once it is listed"


class CallFailed(CallRefused):
    """A call failed by a defect of the node, which goes on; the log has its trace."""

    code = "CON03"
    remedy = "call again; if it fails again, take the trace from the log and report it"


class Operated(Protocol):
    """What the console shows and steers."""

    def health(self) -> str:
        """Why the process is not ready to serve; empty where it is."""

    def stats(self) -> dict[str, object]:
        """The figures."""

    async def operate(self, backend: str, out: bool) -> bool:
        """Take a backend out or put it back; False where it was never listed. Raises BalancerError."""


class Caller(asyncio.Protocol):
    """One connection, one call."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.timer: asyncio.TimerHandle | None = None
        self.target, self.size, self.body = b"", 0, 0
        self.in_body = self.called = self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Give the caller its time."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.timer = self.console.loop.call_later(PATIENCE, self._stalled)
        self.console.took(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller has left or was let go."""
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        self.console.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Read the call; what comes after it is thrown away."""
        if self.answered:
            return
        if not self.in_body:
            self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._no(CallRefused(400, "no upgrade is to be had here"))
        except httptools.HttpParserError as err:
            if isinstance(err, httptools.HttpParserCallbackError):
                self._failed()
            else:
                self._no(CallRefused(400, "malformed call"))
        if not self.in_body and self.size > MAX_HEAD:
            self._no(CallRefused(431, "headers too long"))

    def _stalled(self) -> None:
        self._no(CallRefused(408, "call took too long"))

    def drop(self) -> None:
        """Let go without an answer."""
        self.answered = True
        if self.transport is not None:
            self.transport.abort()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        """The target, in pieces."""
        self.target += url

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self.in_body = True

    def on_body(self, body: bytes) -> None:
        """No call needs a body."""
        self.body += len(body)
        if self.body > MAX_BODY:
            self._no(CallRefused(413, "body too large"))

    def on_message_complete(self) -> None:
        """The call is whole."""
        if not self.answered and not self.called:
            self.called = True
            self.console.start(self._carry_out(self.parser.get_method(), self.target))

    async def _carry_out(self, method: bytes, target: bytes) -> None:
        try:
            status, text, kind = await self.console.call(method, target)
        except CallRefused as err:
            self._no(err)
        except Exception:  # guards against one bad call ending the node
            self._failed()
        else:
            self.answer(status, text, kind)

    # --- answers

    def _no(self, why: CallRefused) -> None:
        extra = f"Allow: {why.allow}\r\n" if why.allow else ""
        self.answer(why.status, _lines(*why.report), "text/plain", extra)

    def _failed(self) -> None:
        why = CallFailed(500, "internal error")
        log.exception("console: %s", why.line)
        self._no(why)

    def answer(self, status: int, text: str, kind: str, extra: str = "") -> None:
        """Answer once and end the connection."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        body = text.encode()
        head = (f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\n"
                f"Content-Length: {len(body)}\r\n{extra}Connection: close\r\n\r\n")  # fmt: skip
        self.transport.write(head.encode() + body)
        # Guards against a reset that takes the answer with it: it is what closing does while bytes come in.
        self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.console.loop.call_later(LINGER, self.drop)


class Console:
    """The listener and its callers."""

    def __init__(self, node: Operated) -> None:
        self.node, self.loop = node, asyncio.get_running_loop()
        self.callers: dict[Caller, None] = {}  # longest here first
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self.server is not None
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    async def listen(self, address: Address) -> None:
        """Accept callers on this address only."""
        self.server = await self.loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)

    def took(self, caller: Caller) -> None:
        """A caller came; guards the descriptors and true callers against those that finish no call."""
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            next(iter(self.callers)).drop()

    def start(self, call: Coroutine[None, None, None]) -> None:
        """Carry out a call beside the others."""
        task = self.loop.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, method: bytes, target: bytes) -> tuple[int, str, str]:
        """Carry out one call; returns its answer's status, text and type. Raises CallRefused."""
        try:
            path = httptools.parse_url(target).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise CallRefused(400, "bad target") from None
        # Cut into segments before decoding: an id may hold a slash.
        match [unquote_to_bytes(part).decode("utf-8", "replace") for part in path.split(b"/")[1:]]:
            case ["healthcheck"]:
                _expect(method, b"GET")
                why = self.node.health()
                return 503 if why else 200, f"{why or 'ready'}\n", "text/plain"
            case ["stats"]:
                _expect(method, b"GET")
                figures = json.dumps(self.node.stats(), separators=(",", ":"))
                return 200, figures + "\n", "application/json"
            case ["backends", backend, ("maint" | "ready") as word]:
                _expect(method, b"POST")
                try:
                    known = await self.node.operate(backend, word == "maint")
                except BalancerError as err:
                    happened, remedy = err.report
                    return 503, _lines(f"{happened}; nothing is changed", remedy), "text/plain"
                if not known:
                    raise UnknownBackend(404, "no such backend was ever listed")
                return 200, f"{backend} is {'out' if word == 'maint' else 'back'}\n", "text/plain"
        raise CallRefused(404, "no such call")

    def close(self) -> None:
        """Accept no more and let go of all callers."""
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.drop()


def _lines(*lines: str) -> str:
    return "\n".join(lines) + "\n"


def _expect(method: bytes, only: bytes) -> None:
    if method != only:
        raise CallRefused(405, f"this call is made with {only.decode()}", only.decode())
