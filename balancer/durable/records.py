"""Record types of the write-ahead log.

Each record is a msgpack map with a tag. A later version may add fields and tags: a record of an unknown tag
is kept in snapshots, so that an older program that runs for an hour loses nothing of a newer one's. Tags,
keys and the order of array-like fields are the format on disk; names of attributes are not. Times are Unix
time in ms.
"""

from __future__ import annotations

import msgspec

from balancer.durable.timestamp import Timestamp
from balancer.interface import LearnedState


class EndpointRow(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the endpoint list."""

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
    """An operator put a backend into maintenance."""

    backend: str
    at_ms: float = msgspec.field(name="at")


class BanLifted(msgspec.Struct, frozen=True, tag="back"):
    """An operator ended the maintenance of a backend."""

    backend: str
    at_ms: float = msgspec.field(name="at")


class EndpointListReceived(msgspec.Struct, frozen=True, tag="list"):
    """Discovery sent the endpoint list, or changes of it."""

    revision: int
    is_complete: bool = msgspec.field(name="whole")
    received_at_ms: float = msgspec.field(name="heard")
    endpoints: list[EndpointRow] = msgspec.field(name="rows")


class IncarnationStarted(msgspec.Struct, frozen=True, tag="start"):
    """A process joined the membership with this incarnation number."""

    incarnation: int = msgspec.field(name="life")
    at_ms: float = msgspec.field(name="at")


class LearnedSample(msgspec.Struct, frozen=True, tag="learned"):
    """A periodic sample of what the decision module has learned."""

    taken_at: Timestamp = msgspec.field(name="at")
    learned: LearnedState
    request_rate: float = msgspec.field(name="rate", default=0.0)  # requests/s of the node; 0: unknown


class RegisterRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the replicated ban register (see `balancer/recovery/register.py`)."""

    backend: str
    node: int
    incarnation: int
    sequence: int
    is_active: bool  # a ban that has not been lifted
    at_ms: float  # -inf if unknown

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Return the merge key: of two rows of one backend and node, the greater one wins."""
        return self.incarnation, self.sequence, not self.is_active


class RegisterRowsChanged(msgspec.Struct, frozen=True, tag="flags"):
    """Rows of the replicated ban register have changed."""

    rows: list[RegisterRow]


Record = BanSet | BanLifted | EndpointListReceived | IncarnationStarted | LearnedSample | RegisterRowsChanged
_decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the record of `data`, or None if this version does not know its type."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
