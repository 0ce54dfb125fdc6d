"""Parse client requests and pass head, body chunks and end of each one to the client connection."""

from __future__ import annotations

import logging
from typing import Protocol

import httptools

from balancer.net.header_limit import HeaderLimit
from balancer.net.upgrade_offer import UpgradeIgnoringParser

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024
# Only these are stored: thousands of short headers would take far more memory than they have bytes.
STORED_HEADERS = frozenset(
    (
        b"client-retry",
        b"content-length",
        b"content-type",
        b"expect",
        b"host",
        b"idempotency-key",
        b"request-id",
        b"request-timeout",
        b"tenant",
        b"transfer-encoding",
        b"work-hint",
    )
)


class BadRequestError(ValueError):
    """A client request is invalid or unsupported; the message becomes the response body."""

    def __init__(self, status: int, reason: str) -> None:
        """Create the error with the status of the response that reports it."""
        super().__init__(reason)
        self.status = status


class RequestHandler(Protocol):
    """Receiver of parsed requests; a BadRequestError from a method stops the parser's `feed`."""

    def request_started(self) -> bool:
        """Begin a request; return False to make the parser skip it."""

    def head_received(self) -> None:
        """Validate the request head."""

    def body_received(self, data: bytes) -> None:
        """Receive a chunk of the request body."""

    def request_received(self) -> None:
        """Handle the end of the request."""


class RequestParser:
    """Parser for the successive requests of one client connection."""

    def __init__(self, handler: RequestHandler) -> None:
        """Create a parser that reports requests to `handler`."""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}  # Values of `STORED_HEADERS` by lower-case name.
        self.body_size = 0  # Number of body bytes received so far.
        self.total_body_bytes = 0  # Number of body bytes of all requests so far.
        self.is_receiving = False  # True while a request has been received in part only.
        self.in_body = False
        self._handler = handler
        self._is_skipping = False  # True while the handler has declined the current request.
        self._header_size = 0  # Total length of the parsed header names and values, in bytes.
        self._header_limit = HeaderLimit(MAX_HEADER_BYTES)
        self._parser = UpgradeIgnoringParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            BadRequestError: the request is malformed or its headers are too long, or the handler rejects it.
        """
        self._parse(data)
        if self.is_receiving:
            self._header_limit.add(len(data))
            if self._header_limit.is_exceeded:
                raise BadRequestError(431, "headers too long")

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(405, "tunnels are not supported") from None
        except httptools.HttpParserError as err:
            cause = err.__context__
            if isinstance(cause, BadRequestError):
                raise cause from None
            if isinstance(err, httptools.HttpParserCallbackError):
                log.exception(
                    "request failed: unexpected exception in a parser callback; the client gets status 500"
                )
                raise BadRequestError(500, "internal error") from None
            raise BadRequestError(400, "malformed request") from None

    @property
    def method(self) -> bytes:
        """The HTTP method of the request."""
        return self._parser.get_method()

    @property
    def is_http_1_1(self) -> bool:
        """Whether the request uses HTTP/1.1."""
        return self._parser.get_http_version() == "1.1"

    @property
    def keeps_alive(self) -> bool:
        """Whether the client allows another request on the connection."""
        return self._parser.should_keep_alive() and self.is_http_1_1

    @property
    def content_length(self) -> int | None:
        """The declared length of the body, None without one; httptools has validated the number."""
        value = self.headers.get(b"content-length")
        return None if value is None else int(value)

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a `100 Continue` response before it sends the body."""
        return self.headers.get(b"expect", b"").strip().lower() == b"100-continue" and self.is_http_1_1

    # --- httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request, if the handler accepts one."""
        self._is_skipping = not self._handler.request_started()
        if self._is_skipping:
            return
        self.target = b""
        self.headers = {}
        self.body_size = 0
        self._header_size = 0
        self._header_limit.reset()
        self.in_body = False
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        if not self._is_skipping:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that is in use; trailers after the body are ignored."""
        if not self._is_skipping and not self.in_body:
            self._header_size += len(name) + len(value)
            if (key := name.lower()) in STORED_HEADERS:
                self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check the size of the head and pass it to the handler."""
        if self._is_skipping:
            return
        if self._header_size + len(self.target) > MAX_HEADER_BYTES:
            raise BadRequestError(431, "headers too long")
        self.in_body = True
        self._header_limit.progress()
        self._handler.head_received()

    def on_body(self, body: bytes) -> None:
        """Pass a chunk of the body to the handler."""
        if not self._is_skipping:
            self._header_limit.progress()
            self.body_size += len(body)
            self.total_body_bytes += len(body)
            self._handler.body_received(body)

    def on_message_complete(self) -> None:
        """Report the end of the request to the handler, unless the library stops at an offer to upgrade."""
        if not self._is_skipping and not self._parser.is_at_upgrade:
            self.is_receiving = False
            self._handler.request_received()
