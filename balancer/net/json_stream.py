"""Split a byte stream into JSON objects by their brackets, independent of line breaks."""

from __future__ import annotations

import re
from collections.abc import Iterator
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap

from balancer.errors import BalancerError

WHITESPACE = b" \t\r\n"
# JsonSplitter yields this for empty lines between objects.
EMPTY_LINE = b""
QUOTE, BACKSLASH, COMMA, BRACE, BRACKET = b'"\\,{['
OPENING_OF = {ord("}"): BRACE, ord("]"): BRACKET}
# JSON objects longer than this are buffered in their own memory pages and decoded in slices of the event
# loop.
LONG_OBJECT_BYTES = 64 * 1024
MAX_NESTING_DEPTH = 64  # The brackets of an endpoint list are nested three deep.
# The buffer of a long object grows in steps of 1 MiB; pages that are not yet written take no memory.
BUFFER_GROWTH_BYTES = 1024 * 1024
MAX_QUOTED_BYTES = 60  # Errors quote at most 60 bytes of malformed JSON.

# Possessive quantifiers prevent backtracking over a string that continues in the next chunk.
_CHARACTERS = rb'[^"\\\x00-\x1f]*+'
_ESCAPED = rb"\\[^\x00-\x1f]" + _CHARACTERS
# The first alternative of this pattern matches strings without a backslash, which are the most common.
STRING = rb'"' + _CHARACTERS + rb'(?:"|(?:' + _ESCAPED + rb')+")'
_PLAIN_BYTES = rb'[^"{}\[\]]*+'
_FLAT_VALUE = rb"[{\[]" + _PLAIN_BYTES + rb"(?:" + STRING + _PLAIN_BYTES + rb")*[}\]]"
FLAT_VALUE = re.compile(_FLAT_VALUE)
# This pattern matches the content of a string up to its closing quote or to an invalid character.
STRING_CONTENT = re.compile(_CHARACTERS + rb"(?:" + _ESCAPED + rb")*")
BALANCED_TEXT = re.compile(
    _PLAIN_BYTES + rb"(?:(?:" + STRING + rb"|" + _FLAT_VALUE + rb")" + _PLAIN_BYTES + rb")*"
)
WHITESPACE_RUN = re.compile(rb"[ \t\r\n]*+")


class JsonStreamError(BalancerError):
    """Discovery sent something that is not a JSON object, is truncated or is too long.

    The objects after it in the stream cannot be identified.
    """

    code = "LST02"
    remedy = "check discovery and any proxy in front of it that may alter its responses"


class PageBuffer:
    """A buffer for a long object in its own memory pages, which return to the system when it is closed.

    The allocator would retain the memory of the longest list ever received, or fragment it.
    """

    def __init__(self, data: bytes | bytearray) -> None:
        """Create a buffer that starts with `data`."""
        self._map = mmap(-1, BUFFER_GROWTH_BYTES, flags=MAP_PRIVATE | MAP_ANONYMOUS)
        self._size = 0
        self += data

    def __iadd__(self, data: bytes | bytearray) -> PageBuffer:
        """Append bytes to the buffer."""
        size = self._size + len(data)
        if size > len(self._map):
            self._map.resize(-(-size // BUFFER_GROWTH_BYTES) * BUFFER_GROWTH_BYTES)
        self._map[self._size : size] = data
        self._size = size
        return self

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return self._size

    def last_byte(self) -> int:
        """Return the last byte of the buffer."""
        return self._map[self._size - 1]

    def finish(self) -> mmap:
        """Return the memory map, which the caller has to close. Nothing may be appended after that."""
        self._map.resize(self._size)
        return self._map


class JsonSplitter:
    """Splits chunks of bytes into complete JSON objects, checking only how brackets and strings nest.

    It takes time linear in the number of bytes, however they are split into chunks: no byte is scanned twice.
    A malformed object is detected at the first misplaced bracket or line end, usually before the next object
    ends.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create a splitter of objects up to `max_bytes`, not counting whitespace at the edges of chunks."""
        self.max_bytes = max_bytes
        self._incomplete_object: bytearray | PageBuffer = bytearray()
        self._open_brackets = bytearray()
        self._last_significant_byte = 0
        self._in_string = False
        self._after_backslash = False
        # The first line end after an object closes the object's line and is not reported as an empty line.
        self._awaits_line_end = False

    @property
    def is_between_objects(self) -> bool:
        """Whether the bytes received so far end outside any object."""
        return not self._open_brackets

    def feed(self, data: bytes) -> Iterator[bytes | mmap]:
        """Yield the objects that `data` completes, and EMPTY_LINE for empty lines between objects.

        Objects longer than `LONG_OBJECT_BYTES` are yielded as memory maps, which the caller has to close.

        Raises:
            JsonStreamError: The bytes are not a sequence of JSON objects.
        """
        at = 0
        while at < len(data):
            if not self._open_brackets:
                begin = at
                at = match_end(WHITESPACE_RUN, data, at)
                line_ends = data.count(b"\n", begin, at)
                if line_ends > self._awaits_line_end:
                    yield EMPTY_LINE
                self._awaits_line_end = self._awaits_line_end and not line_ends
                if at == len(data):
                    return
                if data[at] != BRACE:
                    raise JsonStreamError(f"expected a JSON object, got {data[at : at + MAX_QUOTED_BYTES]!r}")
                self._open_brackets.append(BRACE)
                self._last_significant_byte = BRACE
                begin = at
                at += 1
            else:
                begin = at
            began_in_string = self._in_string
            at = self._scan(data, at)
            self._append(data[begin:at], began_in_string)
            if not self._open_brackets:
                complete = self._incomplete_object
                self._incomplete_object = bytearray()
                self._awaits_line_end = True
                yield complete.finish() if isinstance(complete, PageBuffer) else bytes(complete)

    def _append(self, piece: bytes, began_in_string: bool) -> None:
        """Buffer a chunk; whitespace at its edges and outside strings is collapsed to one space."""
        if not began_in_string and piece[0] in WHITESPACE:
            piece = b" " + piece.lstrip(WHITESPACE)
        if not self._in_string and piece[-1] in WHITESPACE:
            piece = piece.rstrip(WHITESPACE) + b" "
        pending = self._incomplete_object
        if piece != b" " or not pending or _last_byte(pending) != WHITESPACE[0]:
            self._incomplete_object += piece  # type: ignore[operator]
        if len(pending) > self.max_bytes:
            raise JsonStreamError(f"JSON object exceeds the limit of {self.max_bytes} bytes")
        if isinstance(pending, bytearray) and len(pending) > LONG_OBJECT_BYTES:
            self._incomplete_object = PageBuffer(pending)

    def _scan(self, data: bytes, at: int) -> int:
        """Return the offset just past the end of the object, or of the data if the object continues."""
        while at < len(data):
            if self._in_string:
                at = self._scan_string(data, at)
                continue
            begin = at
            at = match_end(BALANCED_TEXT, data, at)
            char = data[at] if at < len(data) else 0
            if char in OPENING_OF:
                if self._open_brackets.pop() != OPENING_OF[char]:
                    raise JsonStreamError(f"closing bracket does not match the open one: {_quoted(data, at)}")
            else:
                if plain := data[begin:at].rstrip(WHITESPACE):
                    self._last_significant_byte = plain[-1]
                if not char:
                    return at
                if char == QUOTE:
                    self._in_string = True
                    at += 1
                    continue
                self._open_bracket(char, data, at)
            at += 1
            self._last_significant_byte = char
            if not self._open_brackets:
                return at
        return at

    def _open_bracket(self, char: int, data: bytes, at: int) -> None:
        """Open a bracket. Raises JsonStreamError if none may follow the last byte.

        Without this check an object that follows a truncated one would be parsed as part of it.
        """
        if self._last_significant_byte not in b":[" and (
            self._last_significant_byte,
            self._open_brackets[-1],
        ) != (COMMA, BRACKET):
            raise JsonStreamError(f"bracket opens where no value may start: {_quoted(data, at)}")
        if len(self._open_brackets) >= MAX_NESTING_DEPTH:
            raise JsonStreamError(f"JSON has more than {MAX_NESTING_DEPTH} nested brackets")
        self._open_brackets.append(char)

    def _scan_string(self, data: bytes, at: int) -> int:
        if self._after_backslash:
            self._after_backslash = False
            at += 1
        at = match_end(STRING_CONTENT, data, at)
        if at >= len(data):
            return at
        if data[at] == QUOTE:
            self._in_string = False
            self._last_significant_byte = QUOTE
        elif data[at] == BACKSLASH and at + 1 == len(data):
            self._after_backslash = True
        else:
            raise JsonStreamError(f"string has an invalid character or escape: {_quoted(data, at)}")
        return at + 1


def match_end(pattern: re.Pattern[bytes], data: bytes | mmap, at: int) -> int:
    """Return the offset just past the pattern's match at `at`, or `at` if it does not match there."""
    found = pattern.match(data, at)
    return found.end() if found else at


def _last_byte(buffer: bytearray | PageBuffer) -> int:
    return buffer.last_byte() if isinstance(buffer, PageBuffer) else buffer[-1]


def _quoted(data: bytes, at: int) -> str:
    return repr(data[max(0, at - MAX_QUOTED_BYTES) : at + 1])
