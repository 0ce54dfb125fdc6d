"""Durable state that results from replaying records, and its snapshot format."""

from __future__ import annotations

import msgspec

from balancer.durable.records import (
    BanLifted,
    BanSet,
    EndpointListReceived,
    EndpointRow,
    IncarnationStarted,
    LearnedSample,
    RegisterRow,
    RegisterRowsChanged,
    decode_record,
    encode_record,
)
from balancer.errors import BalancerError

MAX_UNKNOWN_RECORDS = 256


class SnapshotFormatError(BalancerError):
    """A snapshot cannot be decoded; if its checksum is valid, a newer version wrote it."""

    code = "STA02"
    remedy = "start the newer version again, or set durable.directory to an empty directory"


class DurableState(msgspec.Struct, array_like=True):
    """State after all records so far.

    Its msgpack encoding is the snapshot, so the order of the fields is fixed. All times are Unix time in ms.
    """

    # Backends in maintenance, with the time at which the ban was set.
    banned: dict[str, float] = {}
    # Backends whose maintenance has ended, with the time at which the ban was lifted.
    lifted: dict[str, float] = {}
    list_revision: int = 0
    list_received_at_ms: float = 0.0
    endpoints: dict[str, EndpointRow] = {}
    incarnation: int = 0
    learned_sample: LearnedSample | None = None
    unknown_records: list[bytes] = []
    # Register rows by backend and node. A snapshot stores them as the last unknown record, because versions
    # without the register preserve unknown records.
    register: dict[str, dict[int, RegisterRow]] = {}

    def apply(self, data: bytes) -> None:
        """Apply one encoded record to the state."""
        record = decode_record(data)
        match record:
            case None:
                self.unknown_records = [*self.unknown_records, data][-MAX_UNKNOWN_RECORDS:]
            case BanSet():
                self.banned[record.backend] = record.at_ms
                self.lifted.pop(record.backend, None)
            case BanLifted():
                self.banned.pop(record.backend, None)
                self.lifted[record.backend] = record.at_ms
            case EndpointListReceived():
                self._apply_list(record)
            case IncarnationStarted():
                self.incarnation = max(self.incarnation, record.incarnation)
            case LearnedSample():
                self.learned_sample = record
            case RegisterRowsChanged():
                self._merge_register(record.rows)
                for backend in {row.backend for row in record.rows}:
                    self._update_ban_from_register(backend)

    def _apply_list(self, record: EndpointListReceived) -> None:
        endpoints = {row.backend: row for row in record.endpoints}
        self.endpoints = endpoints if record.is_complete else self.endpoints | endpoints
        self.list_revision = record.revision
        self.list_received_at_ms = record.received_at_ms

    def _merge_register(self, rows: list[RegisterRow]) -> None:
        for row in rows:
            by_node = self.register.setdefault(row.backend, {})
            if row.node not in by_node or row.precedence > by_node[row.node].precedence:
                by_node[row.node] = row

    def _update_ban_from_register(self, backend: str) -> None:
        """Update the ban of a backend from its register rows, for a next start without the register."""
        rows = self.register[backend].values()
        if any(row.is_active for row in rows):
            self.banned[backend] = max(0.0, min(row.at_ms for row in rows if row.is_active))
            self.lifted.pop(backend, None)
        else:
            self.banned.pop(backend, None)
            self.lifted[backend] = max(0.0, max(row.at_ms for row in rows))

    def restore_register(self) -> None:
        """Merge register rows that an older version has preserved as unknown records.

        Bans are not derived from these rows, because the older version has written its own ban records.
        """
        unknown = []
        for data in self.unknown_records:
            record = decode_record(data)
            if record is None:
                unknown.append(data)
            elif isinstance(record, RegisterRowsChanged):
                self._merge_register(record.rows)
        self.unknown_records = unknown

    def encode_snapshot(self) -> bytes:
        """Return the encoded snapshot of this state."""
        rows = [row for by_node in self.register.values() for row in by_node.values()]
        extra = [encode_record(RegisterRowsChanged(rows))] if rows else []
        on_disk = msgspec.structs.replace(self, unknown_records=self.unknown_records + extra, register={})
        return msgspec.msgpack.encode(on_disk)

    def prune_lifted_bans(self, before_ms: float) -> None:
        """Remove entries of bans that were lifted before `before_ms`."""
        self.lifted = {name: at_ms for name, at_ms in self.lifted.items() if at_ms >= before_ms}


def replay(snapshot: bytes | None, records: list[bytes]) -> DurableState:
    """Return the state that a snapshot and the records after it describe.

    Raises:
        SnapshotFormatError: The snapshot cannot be decoded.
    """
    try:
        state = msgspec.msgpack.decode(snapshot, type=DurableState) if snapshot else DurableState()
    except msgspec.MsgspecError as err:
        raise SnapshotFormatError(f"this version cannot decode the snapshot: {err}") from None
    state.restore_register()
    for data in records:
        state.apply(data)
    return state
