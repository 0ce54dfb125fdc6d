"""Decode endpoint lists and watch events from discovery's JSON, long ones in slices of the event loop."""

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
# Decoded JSON and rejected lists are freed in steps, because freeing all at once would block the event loop.
RELEASED_BYTES_PER_SLICE = 1024 * 1024
RELEASED_MEMBERS_PER_SLICE = 512

# Long lists repeat few cell numbers, so the cache shares one int object for each of them.
_cell_number = lru_cache(4096)(int)

Amount = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
"""A finite number that is not negative. JSON integers are accepted."""


class EndpointRow(msgspec.Struct):
    """An entry of an endpoint list in JSON. Fields of type `Any` are converted to text or an integer."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    host_port: str
    phase: Literal["in_service", "terminating", "terminated"]
    locality: Any = ""
    flavor: Any = ""
    cell: Any = -1
    size: Amount = 1.0
    up_since_ms: Amount = 0.0


class EndpointListObject(msgspec.Struct):
    """A complete endpoint list or a watch event in JSON. Unknown fields are ignored."""

    revision: int
    members: list[EndpointRow]
    complete: bool = False


_list_decoder = msgspec.json.Decoder(EndpointListObject)
_rows_decoder = msgspec.json.Decoder(list[EndpointRow])


def update_from_json(raw: object) -> EndpointUpdate:
    """Convert decoded JSON to an update. Raises EndpointListError if an entry is invalid."""
    return _validated_update(_convert_list(raw))


def update_from_object(list_object: EndpointListObject, lookup: MemberLookup = no_member) -> EndpointUpdate:
    """Convert a typed object to an update, without a check for duplicate ids. Raises EndpointListError."""
    members = tuple(_members(list_object.members, 0, lookup))
    return EndpointUpdate(list_object.revision, list_object.complete, members)


def decode_update(data: bytes | bytearray, lookup: MemberLookup = no_member) -> EndpointUpdate:
    """Decode an update from JSON. Raises EndpointListError, or what `json.loads` raises on malformed JSON."""
    return _validated_update(_decode_list(data), lookup)


def decode_update_in_slices(
    data: mmap, lookup: MemberLookup = no_member
) -> Generator[None, None, EndpointUpdate]:
    """Decode an update like `decode_update`, in slices of a few milliseconds, and close `data`.

    A list with an unusual layout, such as a duplicate or escaped `members` key, takes one long slice.
    """
    try:
        for skip_rows in (True, False):
            members = list[Member]()
            failure = None
            try:
                layout = yield from scan_layout(data, skip_rows)
                update = yield from _decode_by_runs(data, layout, lookup, members)
                # The JSON is released before the complete update is allocated, which lowers peak memory.
                for at in range(0, len(data), RELEASED_BYTES_PER_SLICE):
                    data.madvise(MADV_DONTNEED, at, min(RELEASED_BYTES_PER_SLICE, len(data) - at))
                    yield
                return replace(update, members=tuple(members))
            except UnusualLayoutError:
                pass
            except (EndpointListError, ValueError, RecursionError) as err:
                # The frames of the traceback would keep all decoded members alive.
                failure = err.with_traceback(None)
            while members:
                del members[-RELEASED_MEMBERS_PER_SLICE:]
                yield
        if failure is not None:
            raise failure
        return decode_update(data[:], lookup)
    finally:
        data.close()


def _decode_by_runs(
    data: mmap, layout: ListLayout, lookup: MemberLookup, members: list[Member]
) -> Generator[None, None, EndpointUpdate]:
    """Decode a list run by run into `members`, and return the rest of it. Raises like `decode_update`."""
    head = _decode_list(data[: layout.first_row] + data[layout.rows_end :])
    seen = ShardedDict[Member]()
    begin = layout.first_row
    for end in layout.run_ends:
        run = b"[" + data[begin:end] + b"]"
        begin = end + 1
        rows = _members(_decode_rows(run, len(members)), len(members), lookup)
        if head.complete:
            _check_distinct(rows, len(members), seen)
        members += rows
        yield
    return EndpointUpdate(head.revision, head.complete, (), by_id=seen if head.complete else None)


def _validated_update(list_object: EndpointListObject, lookup: MemberLookup = no_member) -> EndpointUpdate:
    update = update_from_object(list_object, lookup)
    if update.complete:
        _check_distinct(update.members, 0, ShardedDict())
    return update


def _check_distinct(members: Sequence[Member], first_index: int, seen: ShardedDict[Member]) -> None:
    """Add the members of a complete list to `seen`. Raises EndpointListError on a duplicate backend."""
    shard_of = seen.shard
    for index, member in enumerate(members, first_index):
        name = member.backend
        shard = shard_of(name)
        if name in shard:
            raise EndpointListError(f"members[{index}].id must be unique, but {name!r:.120} is listed twice")
        shard[name] = member


def _convert_list(raw: object) -> EndpointListObject:
    try:
        return convert(raw, EndpointListObject)
    except FieldError as err:
        raise EndpointListError(str(err)) from None


def _decode_list(data: bytes | bytearray) -> EndpointListObject:
    try:
        return _list_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        # Decoding in two steps gives errors that name the field, and `json` accepts more than msgspec does:
        # NaN in an ignored field, and duplicate keys.
        return _convert_list(json.loads(data))


def _decode_rows(data: bytes | bytearray, first_index: int) -> list[EndpointRow]:
    """Decode the rows from index `first_index` of the list on. Raises like `decode_update`."""
    try:
        return _rows_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise ValueError(f"malformed JSON at or after members[{first_index}]: {err}") from None
        try:
            return [convert(row, EndpointRow, f"members[{i}]") for i, row in enumerate(raw, first_index)]
        except FieldError as err:
            raise EndpointListError(str(err)) from None


def _members(rows: Sequence[EndpointRow], first_index: int, lookup: MemberLookup) -> list[Member]:
    """Convert rows to members. Raises EndpointListError if a cell or an address is invalid.

    An unchanged row yields the member object already in use, so that a repeated list takes no extra memory.
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
            raise EndpointListError(
                f"members[{index}].cell must be an integer, got {row.cell!r:.120}"
            ) from None
        host_port = row.host_port
        if not is_canonical_address(host_port):
            try:
                host_port = "{}:{}".format(*parse_address(host_port))
            except AddressError:
                raise EndpointListError(
                    f"members[{index}].host_port must be IP:PORT, got {host_port!r:.120}"
                ) from None
        # Many backends share few zones, kinds and weights, so one object is shared for each of these values.
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
