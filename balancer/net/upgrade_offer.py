"""Read requests that offer a protocol upgrade, as HTTP/1.1 lets a server ignore the offer."""

from __future__ import annotations

from typing import Protocol

import httptools

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestCallbacks(Protocol):
    """Receiver of the parser's callbacks; `headers` has the framing headers at least, by lower-case name."""

    headers: dict[bytes, bytes]

    def on_message_begin(self) -> None:
        """Begin a request."""

    def on_url(self, url: bytes) -> None:
        """Receive a fragment of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header."""

    def on_headers_complete(self) -> None:
        """End the head."""

    def on_body(self, body: bytes) -> None:
        """Receive a chunk of the body."""

    def on_message_complete(self) -> None:
        """End the request; while `is_at_upgrade`, only its head has ended."""


class _BodyCallbacks:
    """Callbacks of a parser that reads the body behind a head which was reported before."""

    def __init__(self, callbacks: RequestCallbacks) -> None:
        """Create callbacks that report the body and its end to `callbacks`."""
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete


class UpgradeIgnoringParser:
    """Request parser of httptools that reads the body of a request with an offer to upgrade.

    The library ends such a request behind its head, whatever its framing headers say, and takes the body for
    bytes of another protocol. A request with an offer is the last one of its connection.
    """

    def __init__(self, callbacks: RequestCallbacks) -> None:
        """Create a parser that reports requests to `callbacks`."""
        self._callbacks = callbacks
        self._parser = httptools.HttpRequestParser(callbacks)

    def get_method(self) -> bytes:
        """Return the method of the request."""
        method: bytes = self._parser.get_method()
        return method

    def get_http_version(self) -> str:
        """Return the protocol version of the request, for example `1.1`."""
        version: str = self._parser.get_http_version()
        return version

    def should_keep_alive(self) -> bool:
        """Return whether the client allows another request on the connection."""
        return bool(self._parser.should_keep_alive())

    @property
    def is_at_upgrade(self) -> bool:
        """Whether the library is about to stop behind a head, and reports an end that is none."""
        return bool(self._parser.should_upgrade())

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: the request is malformed, or a callback raised an exception.
            httptools.HttpParserUpgrade: the request asks for a tunnel (CONNECT), which has no body.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.get_method() == b"CONNECT":
                raise
            self._restart_behind_head()
            if rest := data[upgrade.args[0] :]:
                self._parser.feed_data(rest)

    def _restart_behind_head(self) -> None:
        """Replace the library's parser by one that expects the body which the framing headers announce."""
        head = b"%b / HTTP/%b\r\nconnection: close\r\n" % (
            self.get_method(),
            self.get_http_version().encode(),
        )
        for name in FRAMING_HEADERS:
            if name in self._callbacks.headers:
                head += b"%b: %b\r\n" % (name, self._callbacks.headers[name])
        self._parser = httptools.HttpRequestParser(_BodyCallbacks(self._callbacks))
        self._parser.feed_data(head + b"\r\n")
