"""Records of stubs, clients and node processes in a run. All times are ms since the run's zero."""

from __future__ import annotations

from pathlib import Path

import msgspec


class ClientAttemptRecord(msgspec.Struct, array_like=True):
    """One attempt of a client at a node."""

    ident: str
    operation: str  # An operation is named by the request ID of its first attempt.
    zone: str
    class_index: int  # The index points into the experiment's request classes.
    attempt_number: int
    node: int
    intended_at: float  # The operation's first attempt was meant to be sent at this time.
    scheduled_at: float  # This attempt was meant to be sent at this time.
    sent_at: float  # The request was written at this time; 0 if it never was.
    deadline: float
    ended_at: float
    outcome: str  # The outcome is the value of a `balancer.models.client.Outcome`.
    status: int = 0
    response_body: str = ""
    answered_at: float = 0.0  # The response, even a late one, was complete at this time; 0 if none was.
    key: str = ""
    retry_after_ms: float = 0.0  # A response without `Retry-After` has 0 here.
    new_connection: bool = False
    response_started: bool = False  # The first byte of a response has arrived.
    resent_at: float = 0.0  # The request was resent then, as its reused connection had closed; 0 if not.
    is_last: bool = False  # The operation has no later attempt.


class BackendAttemptRecord(msgspec.Struct, array_like=True):
    """One attempt of a node at a backend."""

    ident: str
    node: int
    backend: int
    method: str
    path: str
    key: str
    first_byte_at: float  # The first byte of the request arrived at the backend's socket at this time.
    complete_at: float  # The last byte of the request arrived at the backend's socket at this time.
    verdict: str  # It is a `balancer.models.backend.Verdict`, or "lost" if the backend died.
    ended_at: float  # The response was written or the connection broke at this time; 0 if neither.
    closed_at: float  # The node closed its connection or its sending side at this time; 0 if not.
    was_executed: bool
    request_body: str = ""
    response_body: str = ""


class ListDeliveryRecord(msgspec.Struct, array_like=True):
    """Delivery of one list entry to a node; node -1 stands for discovery itself learning of it."""

    node: int
    at: float
    backend: int
    phase: str
    up_since: float  # The backend started at this Unix time (ms).


class CollapseRecord(msgspec.Struct, array_like=True):
    """The collapse of a cold backend under overload."""

    backend: int
    collapsed_at: float
    started_at: float
    work_by_node: dict[int, float]


class MaintenanceRecord(msgspec.Struct, array_like=True):
    """A maintenance ban by an operator's call at a node; `lifted_at` is 0 if no call lifted it."""

    node: int
    backend: int
    banned_at: float
    lifted_at: float


class ProcessRecord(msgspec.Struct, array_like=True):
    """One process of a node; a time is 0 if the event did not happen, `exit_code` is None while it runs."""

    node: int
    process: int
    started_at: float
    ready_at: float = 0.0
    terminated_at: float = 0.0
    killed_at: float = 0.0  # The lab itself sent SIGKILL at this time; 0 if it did not.
    ended_at: float = 0.0
    exit_code: int | None = None
    failure: str = ""
    clock_offset_s: float = 0.0  # The process sees the wall clock ahead by this offset.


class MemberViewRecord(msgspec.Struct, array_like=True):
    """A node's log line about the state of a member: present, suspected, dead or left."""

    node: int
    at: float
    member: int
    state: str


class PhaseRecord(msgspec.Struct, array_like=True):
    """A node's log line that it has entered a phase of its recovery, with path and reason."""

    node: int
    at: float
    phase: str
    path: str
    reason: str


class CapacityRecord(msgspec.Struct, array_like=True):
    """Capacity (ms of work per ms) of one process's backends with power when a slot of 100 ms begins."""

    slot: int
    work: float


class DiscoveryCallRecord(msgspec.Struct, array_like=True):
    """One call of a node to discovery."""

    node: int
    at: float


class DatagramCountRecord(msgspec.Struct, array_like=True):
    """Number of datagrams that a node sent in a second of the run; a broadcast counts once."""

    node: int
    second: int
    count: int


class ProcessSample(msgspec.Struct, array_like=True):
    """A sample of the resource usage of one node process."""

    at: float
    node: int
    cpu_s: float  # CPU time counts from the start of the process.
    rss_mb: float
    descriptors: int
    process: int = 0  # The processes of a node are numbered from 0.
    cpu_wait_s: float = 0.0  # The process was runnable without a core for this time since its start.


class RunRecords(msgspec.Struct):
    """All records of one lab process or of a run; the names on disk are those of earlier versions."""

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
    # The lateness (ms) of each request that the clients sent, against its scheduled time.
    lateness: list[float] = msgspec.field(default_factory=list)
    # The event loop delay (ms) of each harness process, sampled every 20 ms.
    loop_lag: list[float] = msgspec.field(default_factory=list)
    unknown: list[str] = msgspec.field(default_factory=list)  # Requests of unknown form are kept as text.

    def add(self, other: RunRecords) -> None:
        """Append the records of another process."""
        for name in self.__struct_fields__:
            getattr(self, name).extend(getattr(other, name))


def write(run_records: RunRecords, path: Path) -> None:
    """Write the records of a run; if they do not fit, raises OSError and leaves no file."""
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
