"""The operator console: a separate HTTP listener that serves one call on each connection."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools

from balancer.errors import BalancerError
from balancer.net.endpoints import Address
from balancer.net.header_limit import HeaderLimit
from balancer.net.upgrade_offer import FRAMING_HEADERS, UpgradeIgnoringParser

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024  # No console call needs a body, so bodies are read and discarded.
CALL_TIMEOUT_S = 2.5  # A caller of the console has 2.5 s to send its complete request.
# A caller that is still sending has 1 s to read its response before the connection is aborted.
LINGER_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8  # If more than 8 connections are open, the oldest one that awaits no response is closed.
BACKLOG = 32
TEXT = "text/plain"
JSON = "application/json"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class CallError(BalancerError):
    """A console call is invalid; the message gives the reason."""

    code = "CON01"
    remedy = "use GET /healthcheck, GET /stats, POST /backends/ID/maint or POST /backends/ID/ready"

    def __init__(self, status: int, reason: str, allowed_method: str = "") -> None:
        """Create the error with the status of its response, and with the value of its Allow header if any."""
        super().__init__(reason)
        self.status = status
        self.allowed_method = allowed_method


class UnknownBackendError(CallError):
    """The backend whose maintenance ban should change was never in this node's endpoint list."""

    code = "CON02"
    remedy = "compare the id with discovery's list (/ is %2F in the path); call again once it is listed"


class InternalCallError(CallError):
    """A call failed because of a defect in the node, which keeps running; the log has the traceback."""

    code = "CON03"
    remedy = "repeat the call; if it fails again, report the traceback in the log"


@dataclass(slots=True, frozen=True)
class CallResponse:
    """The response to one call of the console."""

    status: int
    text: str
    content_type: str = TEXT
    extra_headers: str = ""


class ConsoleTarget(Protocol):
    """The node as the console shows and controls it."""

    def unready_reason(self) -> str:
        """Return why the process is not ready to serve, or an empty string if it is ready."""

    def stats(self) -> dict[str, object]:
        """Return the statistics."""

    async def set_maintenance(self, backend: str, is_banned: bool) -> bool:
        """Set or lift a maintenance ban; return False for a backend never listed. Raises BalancerError."""


class ConsoleConnection(asyncio.Protocol):
    """A connection to the console, which serves one call."""

    def __init__(self, console: Console) -> None:
        """Create the protocol of a connection to `console`."""
        self._console = console
        self._transport: asyncio.Transport | None = None
        self.headers: dict[bytes, bytes] = {}  # The framing headers of the call, by lower-case name.
        self._parser = UpgradeIgnoringParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._header_limit = HeaderLimit(MAX_HEADER_BYTES)
        self._body_bytes = 0
        self._is_executing = False
        self._is_answered = False

    # --- asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the call."""
        # The transports of uvloop are not subclasses of asyncio.Transport, hence the cast.
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self._console.loop.call_later(CALL_TIMEOUT_S, self._expire)
        self._console.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        self._is_answered = True
        if self._timer is not None:
            self._timer.cancel()
        self._console.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Parse the call; data after it is discarded."""
        if self._is_answered:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(CallError(405, "tunnels are not supported"))
        except httptools.HttpParserCallbackError:
            self._fail()
        except httptools.HttpParserError:
            self._reject(CallError(400, "malformed HTTP request"))
        self._header_limit.add(len(data))
        if self._header_limit.is_exceeded and not self._is_executing:
            self._reject(CallError(431, "headers too long"))

    def _expire(self) -> None:
        self._reject(CallError(408, f"call was not received within {CALL_TIMEOUT_S:g} s"))

    @property
    def awaits_response(self) -> bool:
        """Whether the call is being executed, or its response is not sent completely."""
        if not self._is_answered:
            return self._is_executing
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        """Abort the connection without a response."""
        self._is_answered = True
        self._console.connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    # --- httptools callbacks

    def on_message_begin(self) -> None:
        """Begin the call; the state of the connection is that of its one call."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a framing header."""
        key = name.lower()
        if key in FRAMING_HEADERS:
            self.headers[key] = value

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Record that the head has ended."""
        self._header_limit.progress()

    def on_body(self, body: bytes) -> None:
        """Discard a piece of the body, and reject a body that is too long."""
        self._header_limit.progress()
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._reject(CallError(413, f"body exceeds {MAX_BODY_BYTES // 1024} KiB"))

    def on_message_complete(self) -> None:
        """Execute the call, unless it is already rejected or the library stops at an offer to upgrade."""
        if not self._is_answered and not self._is_executing and not self._parser.is_at_upgrade:
            self._is_executing = True
            self._console.start(self._execute(self._parser.get_method(), self._target))

    async def _execute(self, method: bytes, target: bytes) -> None:
        try:
            response = await self._console.call(method, target)
        except CallError as err:
            self._reject(err)
        except Exception:  # A defect in one call of the console must not end the node.
            self._fail()
        else:
            self._respond(response)

    # --- responses

    def _reject(self, error: CallError) -> None:
        extra_headers = f"Allow: {error.allowed_method}\r\n" if error.allowed_method else ""
        self._respond(CallResponse(error.status, _lines(*error.report_lines), TEXT, extra_headers))

    def _fail(self) -> None:
        error = InternalCallError(500, "internal error")
        log.exception("console: %s", error.summary)
        self._reject(error)

    def _respond(self, response: CallResponse) -> None:
        """Send the response, unless one was sent before, and end the connection."""
        if self._is_answered or self._transport is None:
            return
        self._is_answered = True
        body = response.text.encode()
        head = (
            f"HTTP/1.1 {response.status} {REASON_PHRASES[response.status]}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{response.extra_headers}"
            "Connection: close\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        # Closing the socket while the caller still sends would reset the connection and discard the response.
        self._transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._console.loop.call_later(LINGER_TIMEOUT_S, self.drop)


class Console:
    """The listener of the console and its connections."""

    def __init__(self, target: ConsoleTarget) -> None:
        """Create a console for `target` that is not listening yet."""
        self.loop = asyncio.get_running_loop()
        # The open connections to the console, oldest first.
        self.connections: dict[ConsoleConnection, None] = {}
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """The address on which the console listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def listen(self, address: Address) -> None:
        """Accept connections on this address."""
        self._server = await self.loop.create_server(
            lambda: ConsoleConnection(self), *address, backlog=BACKLOG
        )

    def add(self, connection: ConsoleConnection) -> None:
        """Register a connection; beyond the limit, close the oldest one that awaits no response."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            # The newest has not sent its call yet, so there is always one to close.
            next(other for other in self.connections if not other.awaits_response).drop()

    def start(self, call: Coroutine[None, None, None]) -> None:
        """Execute a call in the background."""
        task = self.loop.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, method: bytes, target: bytes) -> CallResponse:
        """Execute one call and return its response. Raises CallError."""
        try:
            path = httptools.parse_url(target).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise CallError(400, "bad target") from None
        # The path is split before its segments are decoded, because a backend id may contain a slash.
        match [unquote_to_bytes(part).decode("utf-8", "replace") for part in path.split(b"/")[1:]]:
            case ["healthcheck"]:
                _check_method(method, b"GET")
                reason = self._target.unready_reason()
                return CallResponse(503 if reason else 200, f"{reason or 'ready'}\n")
            case ["stats"]:
                _check_method(method, b"GET")
                table = json.dumps(self._target.stats(), separators=(",", ":"))
                return CallResponse(200, table + "\n", JSON)
            case ["backends", backend, ("maint" | "ready") as state]:
                _check_method(method, b"POST")
                return await self._set_maintenance(backend, state == "maint")
        raise CallError(404, "the console has no such call")

    async def _set_maintenance(self, backend: str, is_banned: bool) -> CallResponse:
        try:
            is_known = await self._target.set_maintenance(backend, is_banned)
        except BalancerError as err:
            happened, remedy = err.report_lines
            return CallResponse(503, _lines(f"{happened}; the maintenance ban is unchanged", remedy))
        if not is_known:
            raise UnknownBackendError(404, "backend was never in the endpoint list of this node")
        return CallResponse(200, f"{backend} is {'out' if is_banned else 'back'}\n")

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()


def _lines(*lines: str) -> str:
    return "\n".join(lines) + "\n"


def _check_method(method: bytes, allowed: bytes) -> None:
    if method != allowed:
        raise CallError(405, f"this call requires the method {allowed.decode()}", allowed.decode())
