"""A long list cut into runs of its rows, so that it can be decoded in turns. It decodes nothing itself."""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from mmap import mmap

from balancer.net.json_stream import (
    BACKSLASH,
    BRACE,
    BRACKET,
    COMMA,
    FLAT,
    GAP,
    OPENING_OF,
    PLAIN,
    QUOTE,
    STRING,
    STRING_INSIDE,
    match_end,
)

STEP = 64  # rows that are looked at at once
RUN = 16 * 1024  # bytes of a run from which on it ends
LOOKS = 8  # runs that are cut in one turn
MEMBERS = b'"members"'
ENDING = ord("]")

_GAP = rb"[ \t\r\n]*+"
_ROW = rb"\{[^\"{}\[\]]*+(?:" + STRING + rb"[^\"{}\[\]]*+)*+\}"
FLAT_ROWS = re.compile(_GAP + _ROW + _GAP + rb"(?:," + _GAP + _ROW + _GAP + rb"){0,%d}+" % (STEP - 1))
SCALAR = re.compile(rb'[^"{}\[\],]*+')
MEET = b"},"
COLON = re.compile(_GAP + rb":" + _GAP)


class OddList(Exception):
    """The bytes are not laid out as lists are; they may still be one."""


@dataclass(slots=True, frozen=True)
class Layout:
    """Where the parts of a list lie among its bytes."""

    rows: int  # where the first row begins
    runs: tuple[int, ...]  # where each run of rows ends; a comma, or the array's end, follows
    last: int  # the array's end


def layout(data: bytes | mmap, leap: bool = False) -> Generator[None, None, Layout]:
    """Look through a whole object whose brackets match, in turns. Raises OddList.

    Everything but the rows of `members` must be short enough for one turn; what is not still comes right.
    With `leap` most of the rows are not looked at: that takes no time, and only where each run decodes by
    itself as an array of rows did it begin and end between two of them.
    """
    try:
        return (yield from _layout(data, leap))
    except IndexError:  # it ends before its brackets do: some close another kind
        raise OddList from None


def _layout(data: bytes | mmap, leap: bool) -> Generator[None, None, Layout]:
    found: Layout | None = None
    at = match_end(GAP, data, 0) + 1
    while True:
        at = match_end(GAP, data, at)
        key, at = at, _string(data, at)
        if BACKSLASH in data[key:at]:  # it may spell "members", too
            raise OddList
        name = data[key:at]
        if (value := match_end(COLON, data, at)) == at:
            raise OddList
        if name == MEMBERS:
            if found is not None or data[value] != BRACKET:
                raise OddList
            found = yield from _rows(data, value + 1, leap)
            at = found.last + 1
        else:
            at = _value(data, value)
        at = match_end(GAP, data, at)
        if data[at] in OPENING_OF:
            break
        if data[at] != COMMA:
            raise OddList
        at += 1
    if found is None:
        raise OddList
    return found


def _rows(data: bytes | mmap, at: int, leap: bool) -> Generator[None, None, Layout]:
    first, begin, runs = at, at, list[int]()
    while leap and (end_of_row := data.find(MEET, at + RUN, at + 2 * RUN)) >= 0:
        runs.append(end_of_row + 1)
        begin = at = end_of_row + len(MEET)
    while True:
        stop = match_end(FLAT_ROWS, data, at)
        if stop == at:  # a row that nests something, or is none
            stop = match_end(GAP, data, _value(data, match_end(GAP, data, at)))
        if data[stop] == ENDING:
            return Layout(first, (*runs, stop), stop)
        if data[stop] != COMMA:
            raise OddList
        at = stop + 1
        if at - begin >= RUN:
            begin = at
            runs.append(stop)
            if len(runs) % LOOKS == 0:
                yield


def _string(data: bytes | mmap, at: int) -> int:
    if data[at] != QUOTE:
        raise OddList
    at = match_end(STRING_INSIDE, data, at + 1)
    if data[at] != QUOTE:
        raise OddList
    return at + 1


def _value(data: bytes | mmap, at: int) -> int:
    """Behind the value that begins there; raises OddList where none does."""
    if data[at] == QUOTE:
        return _string(data, at)
    if data[at] not in (BRACE, BRACKET):
        if (stop := match_end(SCALAR, data, at)) == at:
            raise OddList
        return stop
    if (stop := match_end(FLAT, data, at)) > at:
        return stop
    depth = 0
    while True:  # the brackets match: it ends
        sign = data[at]
        if sign in OPENING_OF:
            depth -= 1
        elif sign in (BRACE, BRACKET):
            depth += 1
        else:
            raise OddList
        at += 1
        if not depth:
            return at
        at = match_end(PLAIN, data, at)
