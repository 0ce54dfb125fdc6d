"""Parsing of client requests: head, framing and body pieces, handed to the client connection."""

from __future__ import annotations

import logging
from typing import Protocol

import httptools

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024


class BadRequestError(ValueError):
    """What a client sent cannot be served; the text goes into the response."""

    def __init__(self, status: int, reason: str) -> None:
        """Make the error with the status of its response."""
        super().__init__(reason)
        self.status = status


class RequestHandler(Protocol):
    """Receiver of parsed requests; what raises BadRequestError ends the parser's `feed`."""

    def request_started(self) -> bool:
        """Begin a request; False to have it skipped."""

    def head_received(self) -> None:
        """Check the request's head."""

    def body_received(self, data: bytes) -> None:
        """Take a piece of the body."""

    def request_received(self) -> None:
        """Take the end of the request."""


class RequestParser:
    """Parser of the requests on one client connection, in sequence."""

    def __init__(self, handler: RequestHandler) -> None:
        """Make a parser that calls `handler`."""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}  # by lower-case name
        self.body_size = 0  # bytes of the body received
        self.is_receiving = False  # a request has been received in part
        self.in_body = False
        self._handler = handler
        self._is_skipping = False  # the request is not taken
        self._header_size = 0  # of the names and values
        self._header_bytes = 0  # received while the head was incomplete
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            BadRequestError: they are no request that can be served.
            httptools.HttpParserUpgrade: the request asks for an upgrade; the parser has stopped.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise
        except httptools.HttpParserError as err:
            cause = err.__context__
            if isinstance(cause, BadRequestError):
                raise cause from None
            if isinstance(err, httptools.HttpParserCallbackError):
                log.exception("request failed")
                raise BadRequestError(500, "internal error") from None
            raise BadRequestError(400, "malformed request") from None

    def exceeds_header_limit(self, received: int) -> bool:
        """Count `received` bytes if the head is incomplete; returns whether it is too long by now.

        The parser buffers a header without end, and calls back only at its end.
        """
        if not self.is_receiving or self.in_body:
            return False
        self._header_bytes += received
        return self._header_bytes > MAX_HEADER_BYTES

    @property
    def method(self) -> bytes:
        """The request's method."""
        method: bytes = self._parser.get_method()
        return method

    @property
    def is_http_1_1(self) -> bool:
        """Whether the client speaks HTTP/1.1."""
        version: str = self._parser.get_http_version()
        return version == "1.1"

    @property
    def keeps_alive(self) -> bool:
        """Whether the client lets the connection carry another request."""
        return bool(self._parser.should_keep_alive()) and self.is_http_1_1

    @property
    def content_length(self) -> int | None:
        """The length of the body if the client says it; httptools has checked its form."""
        value = self.headers.get(b"content-length")
        return None if value is None else int(value)

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        return self.headers.get(b"expect", b"").strip().lower() == b"100-continue" and self.is_http_1_1

    # --- httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request, if the connection takes one."""
        self._is_skipping = not self._handler.request_started()
        if self._is_skipping:
            return
        self.target = b""
        self.headers = {}
        self.body_size = 0
        self._header_size = 0
        self._header_bytes = 0
        self.in_body = False
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target."""
        if not self._is_skipping:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        if not self._is_skipping and not self.in_body:
            self._header_size += len(name) + len(value)
            self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the size and hand on the head."""
        if self._is_skipping:
            return
        if self._header_size + len(self.target) > MAX_HEADER_BYTES:
            raise BadRequestError(431, "headers too long")
        self.in_body = True
        self._handler.head_received()

    def on_body(self, body: bytes) -> None:
        """Hand on a piece of the body."""
        if not self._is_skipping:
            self.body_size += len(body)
            self._handler.body_received(body)

    def on_message_complete(self) -> None:
        """End the request."""
        if not self._is_skipping:
            self.is_receiving = False
            self._handler.request_received()
