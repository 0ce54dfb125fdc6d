"""JSON objects cut out of a stream of bytes: each ends where its JSON ends, whatever the lines are."""

from __future__ import annotations

import re
from collections.abc import Iterator
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap

from balancer.errors import BalancerError

BLANK = b" \t\r\n"
NOTHING = b""  # an empty line between objects
QUOTE, BACKSLASH, COMMA, BRACE, BRACKET = b'"\\,{['
ENDS = {ord("}"): BRACE, ord("]"): BRACKET}
LONG = 64 * 1024  # bytes over which an object is decoded in turns
DEEPEST = 64  # brackets within brackets; a list has three
GROW = 1024 * 1024  # bytes by which the room of a long object grows; what is not written takes no memory
SHOWN = 60  # bytes of what is broken that an error shows

# The runs of characters are possessive: a string that goes on in the next piece is not gone over again.
_INK = rb'[^"\\\x00-\x1f]*+'
_MORE = rb"\\[^\x00-\x1f]" + _INK
STRING = rb'"' + _INK + rb'(?:"|(?:' + _MORE + rb')+")'  # most have no backslash, and cost one branch
_RUN = rb'[^"{}\[\]]*+'
_FLAT = rb"[{\[]" + _RUN + rb"(?:" + STRING + _RUN + rb")*[}\]]"  # an object or array that nests nothing
FLAT = re.compile(_FLAT)
TEXT = re.compile(_INK + rb"(?:" + _MORE + rb")*")  # a string's inside, up to its quote or to what breaks it
PLAIN = re.compile(_RUN + rb"(?:(?:" + STRING + rb"|" + _FLAT + rb")" + _RUN + rb")*")
GAP = re.compile(rb"[ \t\r\n]*+")


class BrokenObject(BalancerError):
    """What discovery says is no JSON object, breaks off, or is too long; the rest cannot be told apart."""

    code = "LST02"
    remedy = "look at discovery, and at what stands before it and may spoil its answers"


class Pages:
    """The bytes of a long object in pages of their own, which go back to the system as soon as it is closed.

    Guards against an allocator that keeps room for the longest list ever told, or scatters others over it.
    """

    def __init__(self, data: bytes | bytearray) -> None:
        self._map, self._size = mmap(-1, GROW, flags=MAP_PRIVATE | MAP_ANONYMOUS), 0
        self += data

    def __iadd__(self, data: bytes | bytearray) -> Pages:
        size = self._size + len(data)
        if size > len(self._map):
            self._map.resize(-(-size // GROW) * GROW)
        self._map[self._size : size] = data
        self._size = size
        return self

    def __len__(self) -> int:
        return self._size

    def last(self) -> int:
        """The last byte."""
        return self._map[self._size - 1]

    def whole(self) -> mmap:
        """All of it, to be closed by the caller; nothing may be added any more."""
        self._map.resize(self._size)
        return self._map


class Objects:
    """Cuts pieces of bytes, as they come, into whole objects. Checks nesting alone: decoding is the caller's.

    Takes time linear in the bytes, however they are cut: nothing is looked at twice. A broken object shows
    by the first bracket or line end that cannot stand where it does, mostly before the next object's end.
    """

    def __init__(self, most: int) -> None:
        """`most`: bytes that an object may have; blanks at the edges of pieces do not count."""
        self.most = most
        self.held: bytearray | Pages = bytearray()  # of the object that has begun
        self.nest = bytearray()  # its open brackets
        self.last = 0  # its last byte that is no blank
        self.quoted = self.escaped = False  # within a string; right after its backslash
        self.line = False  # an object has ended, its line has not

    @property
    def between(self) -> bool:
        """Whether no object is under way."""
        return not self.nest

    def feed(self, data: bytes) -> Iterator[bytes | mmap]:
        """The objects that end in `data`, NOTHING where empty lines stand; raises BrokenObject.

        Those of over `LONG` bytes are the caller's to close: they are not copied.
        """
        at = 0
        while at < len(data):
            if not self.nest:
                begin, at = at, end(GAP, data, at)
                ends = data.count(b"\n", begin, at)
                if ends > self.line:
                    yield NOTHING
                self.line = self.line and not ends
                if at == len(data):
                    return
                if data[at] != BRACE:
                    raise BrokenObject(f"no object: {data[at : at + SHOWN]!r}")
                self.nest.append(BRACE)
                self.last = BRACE
                begin, at = at, at + 1
            else:
                begin = at
            quoted = self.quoted
            at = self._scan(data, at)
            self._hold(data[begin:at], quoted)
            if not self.nest:
                whole, self.held, self.line = self.held, bytearray(), True
                yield whole.whole() if isinstance(whole, Pages) else bytes(whole)

    def _hold(self, piece: bytes, quoted: bool) -> None:
        """Keep a piece; blanks at its edges, unless in a string, are worth one."""
        if not quoted and piece[0] in BLANK:
            piece = b" " + piece.lstrip(BLANK)
        if not self.quoted and piece[-1] in BLANK:
            piece = piece.rstrip(BLANK) + b" "
        held = self.held
        if piece != b" " or not held or (held.last() if isinstance(held, Pages) else held[-1]) != BLANK[0]:
            self.held += piece  # type: ignore[operator]
        if len(held) > self.most:
            raise BrokenObject(f"an object of over {self.most} bytes")
        if isinstance(held, bytearray) and len(held) > LONG:
            self.held = Pages(held)

    def _scan(self, data: bytes, at: int) -> int:
        """Go on behind the end of the object, or to the end of the data."""
        while at < len(data):
            if self.quoted:
                at = self._string(data, at)
                continue
            begin, at = at, end(PLAIN, data, at)
            sign = data[at] if at < len(data) else 0
            if sign in ENDS:
                if self.nest.pop() != ENDS[sign]:
                    raise BrokenObject(f"brackets do not match: {data[max(0, at - SHOWN) : at + 1]!r}")
            else:
                if plain := data[begin:at].rstrip(BLANK):
                    self.last = plain[-1]
                if not sign:
                    return at
                if sign == QUOTE:
                    self.quoted = True
                    at += 1
                    continue
                self._open(sign, data, at)
            at += 1
            self.last = sign
            if not self.nest:
                return at
        return at

    def _open(self, sign: int, data: bytes, at: int) -> None:
        """Guards against an object that breaks off: the next one would count as part of it."""
        if self.last not in b":[" and (self.last, self.nest[-1]) != (COMMA, BRACKET):
            raise BrokenObject(f"an object breaks off: {data[max(0, at - SHOWN) : at + 1]!r}")
        if len(self.nest) >= DEEPEST:
            raise BrokenObject(f"more than {DEEPEST} brackets deep")
        self.nest.append(sign)

    def _string(self, data: bytes, at: int) -> int:
        if self.escaped:
            self.escaped = False
            at += 1
        at = end(TEXT, data, at)
        if at >= len(data):
            return at
        if data[at] == QUOTE:
            self.quoted, self.last = False, QUOTE
        elif data[at] == BACKSLASH and at + 1 == len(data):
            self.escaped = True
        else:
            raise BrokenObject(f"a string breaks off: {data[max(0, at - SHOWN) : at + 1]!r}")
        return at + 1


def end(pattern: re.Pattern[bytes], data: bytes | mmap, at: int) -> int:
    """Behind what the pattern matches there; `at` where it matches nothing."""
    found = pattern.match(data, at)
    return found.end() if found else at
