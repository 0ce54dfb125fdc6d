"""Decodes endpoint lists and watch events from discovery's JSON; long lists in time slices."""

from __future__ import annotations

import json
import sys
from collections.abc import Generator, Sequence
from dataclasses import replace
from functools import lru_cache
from mmap import MADV_DONTNEED, mmap
from sys import intern
from typing import Annotated, Any, Literal

import msgspec

from balancer import interface as api
from balancer.net.endpoints import (
    AddressError,
    EndpointListError,
    EndpointUpdate,
    Member,
    MemberLookup,
    is_canonical_address,
    no_member,
    parse_address,
)
from balancer.net.json_fields import FieldError, convert
from balancer.net.list_layout import ListLayout, UnusualLayoutError, scan_layout
from balancer.net.sharded_dict import ShardedDict

PHASES = {
    "in_service": api.EndpointPhase.IN_SERVICE,
    "terminating": api.EndpointPhase.DRAINING,
    "terminated": api.EndpointPhase.REMOVED,
}
RELEASED_BYTES_PER_SLICE = 1024 * 1024  # of a decoded list, returned to the system
RELEASED_MEMBERS_PER_SLICE = 512  # of a rejected list: to release all at once would be a long slice

# Few cells are in use and a list is long: one int object of each is enough.
_cell_number = lru_cache(4096)(int)

Amount = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
"""A finite number that is not negative. JSON integers are accepted."""


class EndpointRow(msgspec.Struct):
    """An entry of a list in JSON. Fields of type `Any` are converted to text or a number."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    host_port: str
    phase: Literal["in_service", "terminating", "terminated"]
    locality: Any = ""
    flavor: Any = ""
    cell: Any = -1
    size: Amount = 1.0
    up_since_ms: Amount = 0.0


class EndpointListObject(msgspec.Struct):
    """A complete list or a watch event in JSON. Unknown fields are skipped."""

    revision: int
    members: list[EndpointRow]
    complete: bool = False


_list_decoder = msgspec.json.Decoder(EndpointListObject)
_rows_decoder = msgspec.json.Decoder(list[EndpointRow])


def update_from_json(raw: object) -> EndpointUpdate:
    """Return the update in decoded JSON. Raises EndpointListError."""
    return _checked_update(_converted_list(raw))


def update_from_object(decoded: EndpointListObject, lookup: MemberLookup = no_member) -> EndpointUpdate:
    """Return the update in a decoded object; ids may be listed twice. Raises EndpointListError."""
    members = tuple(_members(decoded.members, 0, lookup))
    return EndpointUpdate(decoded.revision, decoded.complete, members)


def decode_update(data: bytes | bytearray, lookup: MemberLookup = no_member) -> EndpointUpdate:
    """Decode an update. Raises EndpointListError, or what `json` raises where the data is no JSON."""
    return _checked_update(_decoded_list(data), lookup)


def decode_update_in_slices(
    data: mmap, lookup: MemberLookup = no_member
) -> Generator[None, None, EndpointUpdate]:
    """Decode an update as `decode_update` does, in slices of some milliseconds; closes `data`.

    A list with an unusual layout (`members` written with escapes, or there twice) takes one long slice.
    """
    try:
        for skip_rows in (True, False):
            members = list[Member]()
            failure = None
            try:
                layout = yield from scan_layout(data, skip_rows)
                update = yield from _decoded_by_runs(data, layout, lookup, members)
                for at in range(0, len(data), RELEASED_BYTES_PER_SLICE):  # before the update takes memory
                    data.madvise(MADV_DONTNEED, at, min(RELEASED_BYTES_PER_SLICE, len(data) - at))
                    yield
                return replace(update, members=tuple(members))
            except UnusualLayoutError:
                pass
            except (EndpointListError, ValueError, RecursionError) as err:
                failure = err.with_traceback(None)  # the traceback references all that was decoded
            while members:
                del members[-RELEASED_MEMBERS_PER_SLICE:]
                yield
        if failure is not None:
            raise failure
        return decode_update(data[:], lookup)
    finally:
        data.close()


def _decoded_by_runs(
    data: mmap, layout: ListLayout, lookup: MemberLookup, members: list[Member]
) -> Generator[None, None, EndpointUpdate]:
    """Decode run after run into `members`; returns the rest of the update. Raises as `decode_update`."""
    head = _decoded_list(data[: layout.first_row] + data[layout.rows_end :])
    seen = ShardedDict[Member]()
    begin = layout.first_row
    for end in layout.run_ends:
        run = b"[" + data[begin:end] + b"]"
        begin = end + 1
        rows = _members(_decoded_rows(run, len(members)), len(members), lookup)
        if head.complete:
            _check_distinct(rows, len(members), seen)
        members += rows
        yield
    return EndpointUpdate(head.revision, head.complete, (), by_id=seen if head.complete else None)


def _checked_update(decoded: EndpointListObject, lookup: MemberLookup = no_member) -> EndpointUpdate:
    update = update_from_object(decoded, lookup)
    if update.complete:
        _check_distinct(update.members, 0, ShardedDict())
    return update


def _check_distinct(members: Sequence[Member], first_index: int, seen: ShardedDict[Member]) -> None:
    """Raise EndpointListError where a complete list names a backend twice; adds the members to `seen`."""
    shard_of = seen.shard
    for index, member in enumerate(members, first_index):
        name = member.backend
        shard = shard_of(name)
        if name in shard:
            raise EndpointListError(f"members[{index}].id makes no sense: {name!r:.120} is there twice")
        shard[name] = member


def _converted_list(raw: object) -> EndpointListObject:
    try:
        return convert(raw, EndpointListObject)
    except FieldError as err:
        raise EndpointListError(str(err)) from None


def _decoded_list(data: bytes | bytearray) -> EndpointListObject:
    try:
        return _list_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        # Again in two steps: the error names the field, and `json` accepts slightly more (NaN in a field that
        # is not read, a duplicate key).
        return _converted_list(json.loads(data))


def _decoded_rows(data: bytes | bytearray, first_index: int) -> list[EndpointRow]:
    """Decode an array of rows that begins at an index of the list. Raises as `decode_update`."""
    try:
        return _rows_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise ValueError(f"from members[{first_index}] on: {err}") from None
        try:
            return [convert(row, EndpointRow, f"members[{i}]") for i, row in enumerate(raw, first_index)]
        except FieldError as err:
            raise EndpointListError(str(err)) from None


def _members(rows: Sequence[EndpointRow], first_index: int, lookup: MemberLookup) -> list[Member]:
    """Return the members of some rows. Raises EndpointListError.

    An unchanged row becomes the object that is in force, so that a list that is sent again takes no memory.
    """
    members = list[Member]()
    started_at = 0.0
    for index, row in enumerate(rows, first_index):
        current = lookup(row.id)
        if current is not None and _is_unchanged(row, current):
            members.append(current)
            continue
        try:
            cell = _cell_number(row.cell)
        except (TypeError, ValueError, OverflowError):
            raise EndpointListError(f"members[{index}].cell makes no sense: {row.cell!r:.120}") from None
        host_port = row.host_port
        if not is_canonical_address(host_port):
            try:
                host_port = "{}:{}".format(*parse_address(host_port))
            except AddressError:
                raise EndpointListError(
                    f"members[{index}].host_port makes no sense: {host_port!r:.120}"
                ) from None
        # Few distinct texts and sizes, and many backends: one object of each is enough.
        zone = intern(str(row.locality))
        kind = intern(str(row.flavor))
        weight = 1.0 if row.size == 1.0 else row.size
        if row.up_since_ms != started_at:
            started_at = row.up_since_ms
        members.append(Member(row.id, zone, cell, weight, PHASES[row.phase], started_at, kind, host_port))
    return members


def _is_unchanged(row: EndpointRow, current: Member) -> bool:
    return (
        row.host_port == current.host_port
        and PHASES[row.phase] is current.phase
        and row.locality == current.zone
        and row.cell == current.cell
        and row.size == current.weight
        and row.up_since_ms == current.started_at
        and row.flavor == current.kind
    )
