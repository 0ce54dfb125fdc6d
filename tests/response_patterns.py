"""Responses written piece by piece at given times, and how they end for their client."""

from __future__ import annotations

import asyncio
import enum
import itertools
from dataclasses import dataclass

from tests.sockets import Backend, Client, Message, Respond

MAX_OVERRUN_S = 0.5  # A short response that ends this long after its request's time is lost.
ALLOWED_DELAY_S = 0.15  # What a client of these tests may be late itself.
PATIENCE_S = 12.0  # Clients wait this long for the end of a response.
LAST_CHUNK = b"0\r\n\r\n"


class Framing(enum.Enum):
    """How a backend marks the end of a response; the values are header lines."""

    CHUNKED = b"Transfer-Encoding: chunked\r\n"
    CLOSE = b""
    LENGTH = b"Content-Length: %d\r\n"


UNKNOWN_LENGTH = (Framing.CHUNKED, Framing.CLOSE)


@dataclass(frozen=True)
class Piece:
    """A part of a response, written in one step."""

    size: int
    pause_s: float = 0.0  # Time between the part before and this one.


def steady(size: int, duration_s: float, count: int) -> list[Piece]:
    """Return `count` equal pieces written over `duration_s`."""
    return [Piece(size // count, 0.0 if not number else duration_s / count) for number in range(count)]


def lumps(*sizes: int, pause_s: float) -> list[Piece]:
    """Return pieces with equal pauses between them."""
    return [Piece(size, pause_s if number else 0.0) for number, size in enumerate(sizes)]


@dataclass(frozen=True)
class Play:
    """A response to play, and the time in s that its request has."""

    pieces: list[Piece]
    framing: Framing
    timeout_s: float

    @property
    def size(self) -> int:
        """Number of bytes of the whole body."""
        return sum(piece.size for piece in self.pieces)


class End(enum.Enum):
    """How a response ended for its client."""

    WHOLE = "whole"
    ERROR = "an error instead of it"
    TRUNCATED = "visibly truncated"
    NONE = "no end"


@dataclass(frozen=True)
class Ending:
    """End of a response, as its client saw it; times in s count from the write of the request."""

    play: Play
    end: End
    size: int  # Number of body bytes received.
    first_s: float  # When the first byte came.
    took_s: float

    @property
    def is_in_time(self) -> bool:
        """Whether the end came early enough for a response of up to 64 KiB."""
        return self.took_s < self.play.timeout_s + MAX_OVERRUN_S + ALLOWED_DELAY_S


class PlayingBackend(Backend):
    """Backend that answers each request with the play that its path names."""

    def __init__(self, name: str, plays: list[Play]) -> None:
        super().__init__(name, respond_with(plays))


def respond_with(plays: list[Play]) -> Respond:
    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await write_response(writer, plays[int(message.start_line.split(" ")[1].rpartition("/")[2])])

    return respond


async def write_response(writer: asyncio.StreamWriter, play: Play) -> None:
    """Write a response piece by piece."""
    is_chunked = play.framing is Framing.CHUNKED
    line = play.framing.value
    writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % (line % play.size if b"%" in line else line))
    for piece in play.pieces:
        await asyncio.sleep(piece.pause_s)
        body = b"x" * piece.size
        writer.write(b"%x\r\n%b\r\n" % (piece.size, body) if is_chunked else body)
        await writer.drain()
    if is_chunked:
        writer.write(LAST_CHUNK)
    elif play.framing is Framing.CLOSE:
        writer.close()


async def play_response(client: Client, plays: list[Play], number: int, class_name: str = "once") -> Ending:
    """Send the request for a play and read its response to the end."""
    play, loop = plays[number], asyncio.get_running_loop()
    begun = loop.time()
    client.send(
        f"/{class_name}/{number}", f"Request-Timeout: {play.timeout_s * 1000:.0f}m", method="POST", body=b"{}"
    )
    got, first_s, end = b"", 0.0, End.NONE
    try:
        async with asyncio.timeout(PATIENCE_S):
            while end is End.NONE:
                data = await client.reader.read(1 << 16)
                first_s = first_s or loop.time() - begun
                got += data
                end = ending_of(got, bool(data))
    except ConnectionError:
        end = End.TRUNCATED
    except TimeoutError:
        pass
    return Ending(play, end, body_size(got), first_s, loop.time() - begun)


def ending_of(got: bytes, is_open: bool) -> End:
    """Return the end of a response of which `got` has come; it has none yet while more may come."""
    head, separator, body = got.partition(b"\r\n\r\n")
    is_complete = b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"
    if separator and b" 200 " not in head and is_complete:
        return End.ERROR
    if separator and b"chunked" in head and body.endswith(LAST_CHUNK):
        return End.WHOLE
    if separator and b" 200 " in head and is_complete:
        return End.WHOLE
    return End.NONE if is_open else End.TRUNCATED


def body_size(got: bytes) -> int:
    """Return the number of bytes of a body that consists of `x` alone."""
    return got.partition(b"\r\n\r\n")[2].count(b"x")


def with_framings(patterns: list[list[Piece]], timeouts_s: list[float]) -> list[Play]:
    """Return each pattern in each framing without a length, and with each time."""
    return [Play(*drawn) for drawn in itertools.product(patterns, UNKNOWN_LENGTH, timeouts_s)]
