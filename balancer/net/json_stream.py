"""Splitting of a stream of bytes into JSON objects: each ends where its JSON ends, whatever the lines are."""

from __future__ import annotations

import re
from collections.abc import Iterator
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap

from balancer.errors import BalancerError

BLANKS = b" \t\r\n"
EMPTY_LINE = b""  # yielded for empty lines between objects
QUOTE, BACKSLASH, COMMA, BRACE, BRACKET = b'"\\,{['
OPENING_OF = {ord("}"): BRACE, ord("]"): BRACKET}
LONG_OBJECT_BYTES = 64 * 1024  # a longer object is decoded in turns
MAX_DEPTH = 64  # brackets within brackets; an endpoint list has three
BUFFER_STEP_BYTES = 1024 * 1024  # by which the buffer of a long object grows; unwritten pages take no memory
MAX_SHOWN_BYTES = 60  # of malformed JSON that an error shows

# The runs of characters are possessive: a string that goes on in the next piece is not scanned again.
_CHARACTERS = rb'[^"\\\x00-\x1f]*+'
_ESCAPED = rb"\\[^\x00-\x1f]" + _CHARACTERS
STRING = rb'"' + _CHARACTERS + rb'(?:"|(?:' + _ESCAPED + rb')+")'  # most have no backslash: one branch
_NO_STRUCTURE = rb'[^"{}\[\]]*+'
_FLAT = rb"[{\[]" + _NO_STRUCTURE + rb"(?:" + STRING + _NO_STRUCTURE + rb")*[}\]]"
FLAT = re.compile(_FLAT)  # an object or array that nests nothing
STRING_INSIDE = re.compile(_CHARACTERS + rb"(?:" + _ESCAPED + rb")*")  # up to its quote or to what breaks it
PLAIN = re.compile(_NO_STRUCTURE + rb"(?:(?:" + STRING + rb"|" + _FLAT + rb")" + _NO_STRUCTURE + rb")*")
GAP = re.compile(rb"[ \t\r\n]*+")


class JsonStreamError(BalancerError):
    """What discovery says is no JSON object, breaks off, or is too long; the rest cannot be told apart."""

    code = "LST02"
    remedy = "look at discovery, and at what stands before it and may spoil its answers"


class PageBuffer:
    """The bytes of a long object in pages of their own, which go back to the system as soon as it is closed.

    An allocator would keep the memory of the longest list ever received, or scatter others over it.
    """

    def __init__(self, data: bytes | bytearray) -> None:
        """Make a buffer that begins with `data`."""
        self._map = mmap(-1, BUFFER_STEP_BYTES, flags=MAP_PRIVATE | MAP_ANONYMOUS)
        self._size = 0
        self += data

    def __iadd__(self, data: bytes | bytearray) -> PageBuffer:
        """Append bytes."""
        size = self._size + len(data)
        if size > len(self._map):
            self._map.resize(-(-size // BUFFER_STEP_BYTES) * BUFFER_STEP_BYTES)
        self._map[self._size : size] = data
        self._size = size
        return self

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def last_byte(self) -> int:
        """Return the last byte."""
        return self._map[self._size - 1]

    def finish(self) -> mmap:
        """Return all of it, to be closed by the caller; nothing may be appended any more."""
        self._map.resize(self._size)
        return self._map


class JsonSplitter:
    """Splits pieces of bytes, as they are received, into whole objects. Checks nesting only.

    Takes time linear in the bytes, however they are cut: nothing is scanned twice. A malformed object shows
    by the first bracket or line end that cannot stand where it does, mostly before the next object's end.
    """

    def __init__(self, max_bytes: int) -> None:
        """Make a splitter of objects up to `max_bytes`; blanks at the edges of pieces do not count."""
        self.max_bytes = max_bytes
        self._pending: bytearray | PageBuffer = bytearray()  # of the object that has begun
        self._brackets = bytearray()  # its open brackets
        self._last_byte = 0  # its last byte that is no blank
        self._in_string = False
        self._after_backslash = False  # in a string
        self._line_is_open = False  # an object has ended, its line has not

    @property
    def is_between_objects(self) -> bool:
        """Whether no object has begun."""
        return not self._brackets

    def feed(self, data: bytes) -> Iterator[bytes | mmap]:
        """Yield the objects that end in `data`, and EMPTY_LINE where empty lines stand.

        Those of over `LONG_OBJECT_BYTES` are not copied, and are the caller's to close.

        Raises:
            JsonStreamError: the bytes are no objects.
        """
        at = 0
        while at < len(data):
            if not self._brackets:
                begin = at
                at = match_end(GAP, data, at)
                line_ends = data.count(b"\n", begin, at)
                if line_ends > self._line_is_open:
                    yield EMPTY_LINE
                self._line_is_open = self._line_is_open and not line_ends
                if at == len(data):
                    return
                if data[at] != BRACE:
                    raise JsonStreamError(f"no object: {data[at : at + MAX_SHOWN_BYTES]!r}")
                self._brackets.append(BRACE)
                self._last_byte = BRACE
                begin = at
                at += 1
            else:
                begin = at
            began_in_string = self._in_string
            at = self._scan(data, at)
            self._append(data[begin:at], began_in_string)
            if not self._brackets:
                whole = self._pending
                self._pending = bytearray()
                self._line_is_open = True
                yield whole.finish() if isinstance(whole, PageBuffer) else bytes(whole)

    def _append(self, piece: bytes, began_in_string: bool) -> None:
        """Buffer a piece; blanks at its edges, unless in a string, become one."""
        if not began_in_string and piece[0] in BLANKS:
            piece = b" " + piece.lstrip(BLANKS)
        if not self._in_string and piece[-1] in BLANKS:
            piece = piece.rstrip(BLANKS) + b" "
        pending = self._pending
        if piece != b" " or not pending or _last_byte(pending) != BLANKS[0]:
            self._pending += piece  # type: ignore[operator]
        if len(pending) > self.max_bytes:
            raise JsonStreamError(f"an object of over {self.max_bytes} bytes")
        if isinstance(pending, bytearray) and len(pending) > LONG_OBJECT_BYTES:
            self._pending = PageBuffer(pending)

    def _scan(self, data: bytes, at: int) -> int:
        """Return the position behind the end of the object, or the end of the data."""
        while at < len(data):
            if self._in_string:
                at = self._scan_string(data, at)
                continue
            begin = at
            at = match_end(PLAIN, data, at)
            sign = data[at] if at < len(data) else 0
            if sign in OPENING_OF:
                if self._brackets.pop() != OPENING_OF[sign]:
                    raise JsonStreamError(f"brackets do not match: {_shown(data, at)}")
            else:
                if plain := data[begin:at].rstrip(BLANKS):
                    self._last_byte = plain[-1]
                if not sign:
                    return at
                if sign == QUOTE:
                    self._in_string = True
                    at += 1
                    continue
                self._open_bracket(sign, data, at)
            at += 1
            self._last_byte = sign
            if not self._brackets:
                return at
        return at

    def _open_bracket(self, sign: int, data: bytes, at: int) -> None:
        """Open a bracket where one may stand; behind an object that breaks off it would pass for a part."""
        if self._last_byte not in b":[" and (self._last_byte, self._brackets[-1]) != (COMMA, BRACKET):
            raise JsonStreamError(f"an object breaks off: {_shown(data, at)}")
        if len(self._brackets) >= MAX_DEPTH:
            raise JsonStreamError(f"more than {MAX_DEPTH} brackets deep")
        self._brackets.append(sign)

    def _scan_string(self, data: bytes, at: int) -> int:
        if self._after_backslash:
            self._after_backslash = False
            at += 1
        at = match_end(STRING_INSIDE, data, at)
        if at >= len(data):
            return at
        if data[at] == QUOTE:
            self._in_string = False
            self._last_byte = QUOTE
        elif data[at] == BACKSLASH and at + 1 == len(data):
            self._after_backslash = True
        else:
            raise JsonStreamError(f"a string breaks off: {_shown(data, at)}")
        return at + 1


def match_end(pattern: re.Pattern[bytes], data: bytes | mmap, at: int) -> int:
    """Return the position behind what the pattern matches at `at`, or `at` if it matches nothing."""
    found = pattern.match(data, at)
    return found.end() if found else at


def _last_byte(buffer: bytearray | PageBuffer) -> int:
    return buffer.last_byte() if isinstance(buffer, PageBuffer) else buffer[-1]


def _shown(data: bytes, at: int) -> str:
    return repr(data[max(0, at - MAX_SHOWN_BYTES) : at + 1])
