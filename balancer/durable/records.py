"""Record types of the write-ahead log.

Each record is a msgpack map with a tag. A later version may add fields and tags: records with an unknown tag
are preserved in snapshots, so that a temporary downgrade loses no data of the newer version. Tags, keys and
the order of array-like fields are the on-disk format; attribute names are not. Times are Unix time in ms.
"""

from __future__ import annotations

import msgspec

from balancer.durable.timestamp import Timestamp
from balancer.interface import LearnedState


class EndpointRow(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint of the saved endpoint list."""

    backend: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    weight: float
    phase: str
    started_at_ms: float


class BanSet(msgspec.Struct, frozen=True, tag="out"):
    """An operator has put a backend into maintenance."""

    backend: str
    at_ms: float = msgspec.field(name="at")


class BanLifted(msgspec.Struct, frozen=True, tag="back"):
    """An operator has ended the maintenance of a backend."""

    backend: str
    at_ms: float = msgspec.field(name="at")


class EndpointListReceived(msgspec.Struct, frozen=True, tag="list"):
    """Discovery has sent the complete endpoint list, or changes to it."""

    revision: int
    is_complete: bool = msgspec.field(name="whole")
    received_at_ms: float = msgspec.field(name="heard")
    endpoints: list[EndpointRow] = msgspec.field(name="rows")


class IncarnationStarted(msgspec.Struct, frozen=True, tag="start"):
    """A process has joined the membership with this incarnation number."""

    incarnation: int = msgspec.field(name="life")
    at_ms: float = msgspec.field(name="at")


class LearnedSample(msgspec.Struct, frozen=True, tag="learned"):
    """Periodic sample of the state that the balancing policy has learned.

    `request_rate` is the rate of requests per second at the node, or 0 if it is unknown.
    """

    taken_at: Timestamp = msgspec.field(name="at")
    learned: LearnedState
    request_rate: float = msgspec.field(name="rate", default=0.0)


class RegisterRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the replicated ban register (see `balancer/recovery/ban_register.py`).

    `is_active` means that the ban has not been lifted. `at_ms` is minus infinity if the time is unknown.
    """

    backend: str
    node: int
    incarnation: int
    sequence: int
    is_active: bool
    at_ms: float

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Return the merge key: of two rows for the same backend and node, the greater key wins."""
        return self.incarnation, self.sequence, not self.is_active


class RegisterRowsChanged(msgspec.Struct, frozen=True, tag="flags"):
    """Rows of the replicated ban register have changed."""

    rows: list[RegisterRow]


Record = BanSet | BanLifted | EndpointListReceived | IncarnationStarted | LearnedSample | RegisterRowsChanged
_decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the encoded record."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the decoded record, or None if this version cannot decode it."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
