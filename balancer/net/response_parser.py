"""Parse backend responses: framing, the few headers in use, and a buffered or streamed body."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from balancer.interface import AttemptStatus, LoadReport
from balancer.net.attempt import AttemptResult, ResponseSink
from balancer.net.header_limit import HeaderLimit
from balancer.net.load_report import parse_load_report
from balancer.net.stream import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES

MAX_HEADER_BYTES = 16 * 1024
STATUS_OK = 200
FIRST_FINAL_STATUS = 200  # Responses with a lower status are interim (1xx).
REJECTION_STATUSES = (503, 504)


class ResponseTooLongError(ValueError):
    """A response body is longer than `MAX_BODY_BYTES`."""

    def __init__(self) -> None:
        """Create the error with its fixed message."""
        super().__init__(f"response body is longer than {MAX_BODY_BYTES // 1024**2} MiB")


class ResponseParser:
    """Parser for one response at a time on a backend connection; call `reset` before the next one.

    Its `on_...` methods are httptools callbacks. `begin_streaming` is called when the body turns out to be
    too long to buffer; it may set `sink`.
    """

    def __init__(self, begin_streaming: Callable[[], None]) -> None:
        """Create a parser that is ready for the first response."""
        self._begin_streaming = begin_streaming
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to the next request."""
        self._parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.body_size = 0  # Number of body bytes received, buffered or streamed.
        self.length: int | None = None  # Value of Content-Length, if there is one.
        self.content_type = b""
        self.load_report = b""
        self.sink: ResponseSink | None = None
        self.is_complete = False
        self.has_excess = False  # True once a second, unsolicited response has begun.
        self.keep_alive = False
        self._header_limit = HeaderLimit(MAX_HEADER_BYTES)
        self._in_body = False
        self._is_framed = False
        self._not_started = False
        self._status = 0

    def feed(self, data: bytes) -> str:
        """Parse received bytes; return a description of the error, or an empty string."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            # The parser's error has a callback's exception as its context; that one names the actual cause.
            return f"malformed response: {err.__context__ or err}"
        self._header_limit.add(len(data))
        return ""

    @property
    def has_excessive_headers(self) -> bool:
        """Whether the head, the framing of a chunk or the trailers exceed their limit."""
        return self._header_limit.is_exceeded

    def finish_at_eof(self) -> bool:
        """Complete a response that is delimited by connection close; return False if it is truncated."""
        if not self._in_body or self._is_framed or self.is_complete:
            return False
        self.is_complete = True
        self.keep_alive = False
        self._status = self._parser.get_status_code()
        return True

    def take_body(self) -> bytes:
        """Return the buffered part of the body and clear the buffer."""
        data = bytes(self.body)
        self.body = bytearray()
        return data

    def result(self, report: LoadReport | None) -> AttemptResult:
        """Return the attempt result for a complete response, with its buffered body."""
        if self._status == STATUS_OK:
            return AttemptResult(AttemptStatus.OK, report, self.take_body(), self.content_type)
        if self._status in REJECTION_STATUSES and self._not_started:
            return AttemptResult(AttemptStatus.REJECTED, report)
        return AttemptResult(AttemptStatus.ERROR, report)

    def parse_load_report(self) -> LoadReport | None:
        """Return the load report of the response, if it has one. Raises LoadReportError."""
        return parse_load_report(self.load_report.decode("latin-1")) if self.load_report else None

    # --- httptools callbacks

    def on_message_begin(self) -> None:
        """Detect a second response to the same request, which is an error."""
        self.has_excess = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the headers in use; trailers after the body are ignored."""
        if self.is_complete or self._in_body:
            return
        key = name.lower()
        if key == b"server-load":
            self.load_report = value
        elif key == b"not-started":
            self._not_started = value.strip() == b"1"
        elif key == b"content-type":
            self.content_type = value
        elif key == b"content-length":
            self._is_framed = True
            self.length = int(value) if value.strip().isdigit() else None
        elif key == b"transfer-encoding":
            self._is_framed = True

    def on_headers_complete(self) -> None:
        """Start streaming if the declared body is long. Raises ResponseTooLongError."""
        self._in_body = True
        if self.length is not None and self.length > MAX_BODY_BYTES:
            raise ResponseTooLongError
        if (
            not self.is_complete
            and self._has_status_ok
            and self.length is not None
            and self.length > MAX_BUFFERED_BODY_BYTES
        ):
            self._begin_streaming()

    @property
    def has_begun(self) -> bool:
        """Whether the head of a response with status 200 has come, and the response is not complete."""
        return self._in_body and not self.is_complete and self._has_status_ok

    @property
    def _has_status_ok(self) -> bool:
        status: int = self._parser.get_status_code()
        return status == STATUS_OK

    def on_body(self, body: bytes) -> None:
        """Stream or buffer a chunk of the body; bodies of statuses other than 200 are discarded."""
        self._header_limit.progress()
        if self.is_complete or not self._has_status_ok:
            return
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            raise ResponseTooLongError
        if self.sink is not None:
            self.sink.feed(body)
            return
        self.body += body
        if len(self.body) > MAX_BUFFERED_BODY_BYTES:
            self._begin_streaming()

    def on_message_complete(self) -> None:
        """Complete the response; after an interim one, wait for the final response."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.load_report = b""
            self.content_type = b""
            self._not_started = False
            self._in_body = False
            self._is_framed = False
            self.length = None
            return
        self.is_complete = True
        self.keep_alive = self._parser.should_keep_alive()
        self._status = status
