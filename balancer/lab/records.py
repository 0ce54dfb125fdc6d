"""The records of stubs and clients, as the judge reads them. Times are ms since the run's zero."""

from __future__ import annotations

from pathlib import Path

import msgspec


class ClientAttemptRecord(msgspec.Struct, array_like=True):
    """One attempt of a client."""

    ident: str
    operation: str  # ident of the operation's first try
    zone: str
    class_index: int  # index into the classes
    attempt_number: int
    node: int
    intended_at: float  # of the first try
    scheduled_at: float  # when this try was to be sent
    sent_at: float  # when its last byte was written; 0: never
    deadline: float
    ended_at: float
    outcome: str  # a `balancer.models.client.End`
    status: int = 0
    body: str = ""
    answered_at: float = 0.0  # when the last byte of an answer came, also past the deadline
    key: str = ""
    retry_after: float = 0.0  # ms, as the node advised
    new_connection: bool = False  # on a new connection
    response_started: bool = False  # a byte of an answer came
    resent_at: float = 0.0  # when a kept connection ended under it, and it was sent once more; 0: it did not
    is_last: bool = False  # no try followed


class BackendAttemptRecord(msgspec.Struct, array_like=True):
    """One attempt of a node at a backend."""

    ident: str
    node: int
    backend: int
    method: str
    path: str
    key: str
    first_byte_at: float  # its first byte came off the node's socket
    complete_at: float  # its last byte
    verdict: str  # a `balancer.models.backend.Verdict`; "lost" where the backend died with it
    ended_at: float  # the answer was written, or the connection broken; 0: never
    closed_at: float  # the node closed its connection or ended its sending; 0: it did not
    was_executed: bool
    request_body: str = ""  # the body that came
    body: str = ""  # the body that went back


class ListDeliveryRecord(msgspec.Struct, array_like=True):
    """Discovery has sent one entry to a node; to node -1: has learned of it itself."""

    node: int
    at: float
    backend: int
    phase: str
    up_since: float  # Unix time, ms


class CollapseRecord(msgspec.Struct, array_like=True):
    """The collapse of a cold backend under overload."""

    backend: int
    collapsed_at: float
    started_at: float
    work_by_node: dict[int, float]


class MaintenanceRecord(msgspec.Struct, array_like=True):
    """An operator's call out (`ended` is that of the call back; 0: none)."""

    node: int
    backend: int
    banned_at: float
    lifted_at: float


class ProcessRecord(msgspec.Struct, array_like=True):
    """One process of a node. Times are 0 where it did not happen; `code` None while it runs."""

    node: int
    process: int
    started_at: float
    ready_at: float = 0.0
    terminated_at: float = 0.0
    killed_at: float = 0.0  # the lab's own SIGKILL
    ended_at: float = 0.0
    exit_code: int | None = None
    failure: str = ""
    clock_offset_s: float = 0.0  # s by which its wall clock is off


class MemberViewRecord(msgspec.Struct, array_like=True):
    """A node's log says what it has come to think of a member: present, suspected, dead, left."""

    node: int
    at: float
    member: int
    state: str


class PhaseRecord(msgspec.Struct, array_like=True):
    """A node's log says that it has entered a phase of its recovery, on which path, and why."""

    node: int
    at: float
    phase: str
    path: str
    reason: str


class CapacityRecord(msgspec.Struct, array_like=True):
    """What some backends that have power bear, in ms of work a ms, when `slot` of 100 ms begins."""

    slot: int
    work: float


class DiscoveryCallRecord(msgspec.Struct, array_like=True):
    """A node has called discovery."""

    node: int
    at: float


class DatagramCountRecord(msgspec.Struct, array_like=True):
    """How many datagrams a node has sent in a second of the run; one to all counts once."""

    node: int
    second: int
    count: int


class ProcessSample(msgspec.Struct, array_like=True):
    """A look at one node's processes."""

    at: float
    node: int
    cpu_s: float  # since the process started
    rss_mb: float
    descriptors: int
    process: int = 0  # of the node, the first is 0
    cpu_wait_s: float = 0.0  # since it started: it could have run, and had no core


class RunRecords(msgspec.Struct):
    """All records of one process of the lab, or of a run; keys on disk are those of earlier versions."""

    client_attempts: list[ClientAttemptRecord] = msgspec.field(name="tries", default_factory=list)
    backend_attempts: list[BackendAttemptRecord] = msgspec.field(name="attempts", default_factory=list)
    list_deliveries: list[ListDeliveryRecord] = msgspec.field(name="told", default_factory=list)
    collapses: list[CollapseRecord] = msgspec.field(name="topples", default_factory=list)
    maintenance: list[MaintenanceRecord] = msgspec.field(name="bans", default_factory=list)
    processes: list[ProcessRecord] = msgspec.field(name="lives", default_factory=list)
    recovery_phases: list[PhaseRecord] = msgspec.field(name="phases", default_factory=list)
    capacities: list[CapacityRecord] = msgspec.field(name="bears", default_factory=list)
    discovery_calls: list[DiscoveryCallRecord] = msgspec.field(name="calls", default_factory=list)
    datagram_counts: list[DatagramCountRecord] = msgspec.field(name="datagrams", default_factory=list)
    samples: list[ProcessSample] = msgspec.field(default_factory=list)
    member_views: list[MemberViewRecord] = msgspec.field(name="views", default_factory=list)
    lateness: list[float] = msgspec.field(default_factory=list)  # ms, of each send of the harness
    loop_lag: list[float] = msgspec.field(
        default_factory=list
    )  # ms, of each process of the harness every 20 ms
    unknown: list[str] = msgspec.field(default_factory=list)  # requests in a form no client sent

    def add(self, other: RunRecords) -> None:
        """Add the records of another process."""
        for name in self.__struct_fields__:
            getattr(self, name).extend(getattr(other, name))


def write(run_records: RunRecords, path: Path) -> None:
    """Write the records; raises OSError, with no file left, where they do not fit."""
    draft = path.with_suffix(".part")
    try:
        draft.write_bytes(msgspec.msgpack.encode(run_records))
        draft.replace(path)
    except OSError:
        draft.unlink(missing_ok=True)
        raise


def read(path: Path) -> RunRecords:
    """Read the records of a run; raises OSError or msgspec.DecodeError."""
    return msgspec.msgpack.decode(path.read_bytes(), type=RunRecords)
