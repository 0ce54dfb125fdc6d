"""Translate client request heads to balancer events, and render the requests to backends."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

import httptools

from balancer.interface import Idempotency, RequestArrived, RequestClass, Settings
from balancer.net.request_parser import BadRequestError, RequestParser

HEALTH_PATH = b"/up"
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")
MAX_WORK_HINT_DIGITS = 12


@dataclass(slots=True)
class RequestHead:
    """A request to balance; its deadline is set once its last byte has been received."""

    event: RequestArrived
    timeout_ms: float  # Time that the client allows after its last byte has been received.
    is_streamed: bool = False  # The class of the request has no deadline for a response that has begun.


def parse_timeout(value: bytes) -> float:
    """Return the value of a `Request-Timeout` header in ms. Raises BadRequestError."""
    found = TIMEOUT_PATTERN.fullmatch(value.strip())
    if found is None or not (number := float(found[1])):
        raise BadRequestError(400, "bad Request-Timeout")
    return number if found[2] == b"m" else number / 1000


def read_head(
    parser: RequestParser, classes: Mapping[str, RequestClass], settings: Settings
) -> RequestHead | None:
    """Return the parsed request head, or None for a health check of the node itself.

    An absolute-form target, as sent to a proxy, is replaced by its path and query.

    Raises:
        BadRequestError: the path names no request class, or a header required by the class is missing.
    """
    try:
        url = httptools.parse_url(parser.target)
    except httptools.HttpParserInvalidURLError:
        raise BadRequestError(400, "bad target") from None
    path = url.path or b"/"
    query = url.query or b""
    if url.schema:
        parser.target = path + (b"?" + query if query else b"")
    if path == HEALTH_PATH:
        return None
    headers = parser.headers
    class_name = path.removeprefix(b"/").partition(b"/")[0].decode("latin-1")
    request_class = classes.get(class_name)
    if request_class is None:
        raise BadRequestError(404, "unknown class")
    _check_class(request_class, parser)
    timeout_ms = request_class.deadline_ms
    event = _create_event(request_class, query, headers, settings)
    if b"request-timeout" in headers:
        timeout_ms = min(timeout_ms, parse_timeout(headers[b"request-timeout"]))
    return RequestHead(event, timeout_ms, request_class.streamed)


def _create_event(
    request_class: RequestClass, query: bytes, headers: Mapping[bytes, bytes], settings: Settings
) -> RequestArrived:
    """Return the arrival event of a request, with its deadline still unset. Raises BadRequestError."""
    name = headers.get(b"request-id", b"").decode("latin-1")
    if not name:
        raise BadRequestError(400, "no Request-Id")
    key = parse_qs(query.decode("latin-1")).get("obj")
    return RequestArrived(
        request=name,
        class_name=request_class.name,
        deadline=0.0,
        is_retry=headers.get(b"client-retry") == b"1",
        key=key[0] if key else None,
        tenant=headers[b"tenant"].decode("latin-1") if b"tenant" in headers else None,
        work_hint=_work_hint(headers),
        writes=request_class.idempotency is not Idempotency.IDEMPOTENT,
        settings=settings,
    )


def _check_class(request_class: RequestClass, parser: RequestParser) -> None:
    """Check that method and idempotency key suit the request class. Raises BadRequestError."""
    expected_method = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if parser.method != expected_method:
        raise BadRequestError(405, "the method does not go with the class")
    if request_class.idempotency is Idempotency.WITH_KEY and not parser.headers.get(b"idempotency-key"):
        raise BadRequestError(400, "no Idempotency-Key")


def _work_hint(headers: Mapping[bytes, bytes]) -> float | None:
    value = headers.get(b"work-hint", b"")
    return int(value) / 1000 if value.isdigit() and len(value) <= MAX_WORK_HINT_DIGITS else None


def render_request(
    method: bytes, target: bytes, headers: dict[bytes, bytes], framing: bytes, body: bytes, timeout_ms: float
) -> bytes:
    """Return the bytes of a request to a backend, with a header for the timeout of `timeout_ms`."""
    lines = [
        b"%b %b HTTP/1.1" % (method, target),
        b"Host: " + headers.get(b"host", b"backend"),
        b"Request-Id: " + headers[b"request-id"],
        b"Request-Timeout: %du" % max(1, int(timeout_ms * 1000)),
    ]
    if b"idempotency-key" in headers:
        lines.append(b"Idempotency-Key: " + headers[b"idempotency-key"])
    if b"content-type" in headers:
        lines.append(b"Content-Type: " + headers[b"content-type"])
    if framing:
        lines.append(framing)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
