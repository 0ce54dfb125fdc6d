"""Find row boundaries in the JSON of a long list, so that the list can be decoded in slices."""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from mmap import mmap

from balancer.net.json_stream import (
    BACKSLASH,
    BALANCED_TEXT,
    BRACE,
    BRACKET,
    COMMA,
    FLAT_VALUE,
    OPENING_OF,
    QUOTE,
    STRING,
    STRING_CONTENT,
    WHITESPACE_RUN,
    match_end,
)

ROWS_PER_MATCH = 64
MIN_RUN_BYTES = 16 * 1024
RUNS_PER_SLICE = 8
MEMBERS_KEY = b'"members"'
ARRAY_END = ord("]")

_WHITESPACE = rb"[ \t\r\n]*+"
_ROW = rb"\{[^\"{}\[\]]*+(?:" + STRING + rb"[^\"{}\[\]]*+)*+\}"
FLAT_ROWS = re.compile(
    _WHITESPACE
    + _ROW
    + _WHITESPACE
    + rb"(?:,"
    + _WHITESPACE
    + _ROW
    + _WHITESPACE
    + rb"){0,%d}+" % (ROWS_PER_MATCH - 1)
)
SCALAR = re.compile(rb'[^"{}\[\],]*+')
ROW_BOUNDARY = b"},"
COLON = re.compile(_WHITESPACE + rb":" + _WHITESPACE)


class UnusualLayoutError(Exception):
    """The JSON does not have the usual layout of a list, although it may still be a valid one."""


@dataclass(slots=True, frozen=True)
class ListLayout:
    """Offsets of the parts of a list in its JSON."""

    first_row: int
    # The offsets at which runs of rows end, each before a comma or the closing bracket of the array.
    run_ends: tuple[int, ...]
    # The offset of the closing bracket of the array of rows.
    rows_end: int


def scan_layout(data: bytes | mmap, skip_rows: bool = False) -> Generator[None, None, ListLayout]:
    """Scan a complete object with matching brackets, in slices. Raises UnusualLayoutError.

    All fields except `members` are expected to fit one slice; a longer field makes its slice longer. With
    `skip_rows` most rows are skipped instead of scanned, which takes almost no time. The boundaries of the
    runs are then guesses, which are right if each run decodes as an array of rows.
    """
    try:
        return (yield from _scan(data, skip_rows))
    except IndexError:  # Mismatched kinds of brackets make the scan run past the end of the data.
        raise UnusualLayoutError from None


def _scan(data: bytes | mmap, skip_rows: bool) -> Generator[None, None, ListLayout]:
    layout: ListLayout | None = None
    at = match_end(WHITESPACE_RUN, data, 0) + 1
    while True:
        at = match_end(WHITESPACE_RUN, data, at)
        key_begin = at
        at = _string_end(data, at)
        if BACKSLASH in data[key_begin:at]:  # A key with escapes may be "members".
            raise UnusualLayoutError
        key = data[key_begin:at]
        if (value := match_end(COLON, data, at)) == at:
            raise UnusualLayoutError
        if key == MEMBERS_KEY:
            if layout is not None or data[value] != BRACKET:
                raise UnusualLayoutError
            layout = yield from _scan_rows(data, value + 1, skip_rows)
            at = layout.rows_end + 1
        else:
            at = _value_end(data, value)
        at = match_end(WHITESPACE_RUN, data, at)
        if data[at] in OPENING_OF:
            break
        if data[at] != COMMA:
            raise UnusualLayoutError
        at += 1
    if layout is None:
        raise UnusualLayoutError
    return layout


def _scan_rows(data: bytes | mmap, first_row: int, skip_rows: bool) -> Generator[None, None, ListLayout]:
    at = run_begin = first_row
    run_ends = list[int]()
    while skip_rows:
        row_end = data.find(ROW_BOUNDARY, at + MIN_RUN_BYTES, at + 2 * MIN_RUN_BYTES)
        if row_end < 0:
            break
        run_ends.append(row_end + 1)
        at = run_begin = row_end + len(ROW_BOUNDARY)
    while True:
        stop = match_end(FLAT_ROWS, data, at)
        if stop == at:  # The row has nested values, or the value is not a row.
            stop = match_end(WHITESPACE_RUN, data, _value_end(data, match_end(WHITESPACE_RUN, data, at)))
        if data[stop] == ARRAY_END:
            return ListLayout(first_row, (*run_ends, stop), stop)
        if data[stop] != COMMA:
            raise UnusualLayoutError
        at = stop + 1
        if at - run_begin >= MIN_RUN_BYTES:
            run_begin = at
            run_ends.append(stop)
            if len(run_ends) % RUNS_PER_SLICE == 0:
                yield


def _string_end(data: bytes | mmap, at: int) -> int:
    if data[at] != QUOTE:
        raise UnusualLayoutError
    at = match_end(STRING_CONTENT, data, at + 1)
    if data[at] != QUOTE:
        raise UnusualLayoutError
    return at + 1


def _value_end(data: bytes | mmap, at: int) -> int:
    """Return the offset just past the value at `at`. Raises UnusualLayoutError if no value starts there."""
    if data[at] == QUOTE:
        return _string_end(data, at)
    if data[at] not in (BRACE, BRACKET):
        if (stop := match_end(SCALAR, data, at)) == at:
            raise UnusualLayoutError
        return stop
    if (stop := match_end(FLAT_VALUE, data, at)) > at:
        return stop
    depth = 0
    while True:  # Matching brackets guarantee that the loop reaches the end of the value.
        char = data[at]
        if char in OPENING_OF:
            depth -= 1
        elif char in (BRACE, BRACKET):
            depth += 1
        else:
            raise UnusualLayoutError
        at += 1
        if not depth:
            return at
        at = match_end(BALANCED_TEXT, data, at)
