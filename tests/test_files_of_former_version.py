"""Test compatibility with files of an earlier version: all values are read, and the same bytes written.

The files under `fixtures/revision-6c5b4ec` were written by that revision; the expected values are those of
`write_files` in `tests/equivalence/former.py`. The files must not be regenerated, because an upgrade has to
read the files that are on the disks of nodes.
"""

from __future__ import annotations

import shutil
import time
from pathlib import Path

import pytest

from balancer.durable import frames
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.layout import MAGIC, FileKind, FileName, decode_file_start, encode_file_start
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.records import (
    BanLifted,
    BanSet,
    EndpointListReceived,
    EndpointRow,
    IncarnationStarted,
    LearnedSample,
    Record,
    RegisterRow,
    RegisterRowsChanged,
    encode_record,
)
from balancer.durable.state import DurableState, replay
from balancer.durable.timestamp import Timestamp
from balancer.durable.writer import LogWriter
from balancer.interface import LearnedState
from balancer.net import maintenance_file, recovery_handover, state_handover
from balancer.net.shared_files import shared_path
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.shell import RecoveryHandover

FIXTURES = Path(__file__).parent / "fixtures" / "revision-6c5b4ec"
NODE = "n0"
WRITTEN_AT_S = 1_700_000_000.0
READ_AT_S = WRITTEN_AT_S + 1.0
WRITTEN_AT_MONOTONIC_MS = 50.0
READ_AT_MONOTONIC_MS = 150.0

LEARNED = LearnedState(7.5, 0.75, 0.125, {"c0": (20.0, 3.0, -0.5)}, {"b1": (5.0, 1.5, 2.0, 3, 250.0)})
SAMPLE = LearnedSample(
    taken_at=Timestamp(unix_ms=WRITTEN_AT_S * 1000, boot_id="boot", uptime_ms=4_000.0),
    learned=LEARNED,
    request_rate=12.5,
)
ENDPOINT_1 = EndpointRow(
    backend="b1", host="10.0.0.1", port=80, zone="a", kind="m2", cell=3, weight=1.5, phase="up",
    started_at_ms=5.0,
)  # fmt: skip
ENDPOINT_2 = EndpointRow(
    backend="b2", host="10.0.0.2", port=80, zone="b", kind="m2", cell=4, weight=1.0, phase="draining",
    started_at_ms=0.0,
)  # fmt: skip
ACTIVE_ROW = RegisterRow(backend="b2", node=1, incarnation=7, sequence=3, is_active=True, at_ms=900.0)
CLEARED_ROW = RegisterRow(backend="b2", node=0, incarnation=6, sequence=1, is_active=False, at_ms=800.0)
FIRST_LOG: list[Record] = [
    IncarnationStarted(7, 1_000.0),
    EndpointListReceived(41, True, 1_100.0, [ENDPOINT_1, ENDPOINT_2]),
    BanSet("b1", 1_200.0),
    RegisterRowsChanged([ACTIVE_ROW, CLEARED_ROW]),
    SAMPLE,
    BanLifted("b1", 1_300.0),
    BanSet("b3", 1_400.0),
]
SECOND_LOG: list[Record] = [EndpointListReceived(42, False, 1_500.0, [ENDPOINT_1])]
INHERITED = RecoveryHandover(
    Phase(3),
    RecoveryPath("power"),
    77.0,
    (BanEntry("b2", 1, 7, 3, True, 900.0), BanEntry("b2", 0, 6, 1, False, 800.0)),
)


@pytest.fixture
def tmpdir(tmp_path: Path) -> Path:
    """Return a copy of the files, because reading removes some of them."""
    return Path(shutil.copytree(FIXTURES, tmp_path / "copy"))


@pytest.fixture
def stem(tmpdir: Path) -> Path:
    """Return the path prefix that current processes of the node use for shared files."""
    return shared_path({"TMPDIR": str(tmpdir)}, NODE)


@pytest.fixture
def directory(tmpdir: Path) -> SystemDirectory:
    """Return the copy of the state directory."""
    return SystemDirectory(tmpdir / "state")


@pytest.fixture
def contents(directory: SystemDirectory) -> DirectoryContents:
    """Return the contents as read by the current code."""
    return read_directory(directory, NODE)


@pytest.fixture(params=["newest snapshot", "previous generation's log"])
def state(request: pytest.FixtureRequest, directory: SystemDirectory) -> DurableState:
    """Return the state replayed from a snapshot (positional fields) or from a log (fields by key)."""
    if request.param != "newest snapshot":
        directory.remove("snap-000000000002-00000001")
    contents = read_directory(directory, NODE)
    return replay(contents.snapshot, contents.records)


@pytest.fixture
def _read_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: READ_AT_S)


@pytest.fixture
def _write_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: WRITTEN_AT_S)


# --- state directory: encoding of its files


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("fence", FileKind.FENCE),
        ("snap-000000000002-00000001", FileKind.SNAPSHOT),
        ("log-000000000002-00000001", FileKind.LOG),
    ],
)
class TestFileStart:
    def test_magic_bytes_are_unchanged(self, name: str, kind: FileKind) -> None:
        data = (FIXTURES / "state" / name).read_bytes()
        assert data[: len(MAGIC[kind])] == MAGIC[kind]

    def test_magic_bytes_and_header_are_encoded_to_the_same_bytes(self, name: str, kind: FileKind) -> None:
        data = (FIXTURES / "state" / name).read_bytes()
        start = decode_file_start(data, kind)
        assert encode_file_start(kind, start.header) == data[: start.end]


def test_file_names_are_those_of_generations() -> None:
    names = [path.name for path in sorted((FIXTURES / "state").iterdir())]
    generations = [name for name in names if "-" in name]
    assert [str(FileName.parse(name)) for name in generations] == generations
    assert sorted(set(names) - set(generations)) == ["fence", "lock"]


@pytest.mark.parametrize(("number", "records"), [(1, FIRST_LOG), (2, SECOND_LOG)])
def test_records_are_encoded_to_the_same_bytes(number: int, records: list[Record]) -> None:
    data = (FIXTURES / "state" / f"log-{number:012d}-00000001").read_bytes()
    start = decode_file_start(data, FileKind.LOG)
    chain = frames.crc32c(data[: start.end])
    parsed = frames.parse_frames(data, start.end, start.header.number, chain)
    assert [frame.payload for frame in parsed.frames] == [encode_record(record) for record in records]


def test_the_snapshot_is_encoded_to_the_same_bytes() -> None:
    data = (FIXTURES / "state" / "snap-000000000002-00000001").read_bytes()
    snapshot = replay(None, [encode_record(record) for record in FIRST_LOG]).encode_snapshot()
    assert data.endswith(snapshot)


# --- state directory: values read from it


def test_the_state_directory_is_valid(contents: DirectoryContents) -> None:
    assert contents.problems == [] and not contents.has_lost_records


def test_the_owner_of_the_state_directory_is_read(contents: DirectoryContents) -> None:
    assert (contents.directory_id, contents.node) == ("fresh", NODE)


def test_the_position_in_the_log_is_read(contents: DirectoryContents) -> None:
    assert (contents.fence, contents.generation, contents.last_number) == (1, 2, 8)


def test_bans_in_force_are_read(state: DurableState) -> None:
    assert state.banned == {"b2": 900.0, "b3": 1_400.0}


def test_lifted_bans_are_read(state: DurableState) -> None:
    assert state.lifted == {"b1": 1_300.0}


def test_the_revision_of_the_endpoint_list_is_read(state: DurableState) -> None:
    assert (state.list_revision, state.list_received_at_ms) == (42, 1_500.0)


def test_the_endpoint_list_is_read(state: DurableState) -> None:
    assert state.endpoints == {"b1": ENDPOINT_1, "b2": ENDPOINT_2}


def test_the_incarnation_is_read(state: DurableState) -> None:
    assert state.incarnation == 7


def test_the_learned_sample_is_read(state: DurableState) -> None:
    assert state.learned_sample == SAMPLE


def test_the_ban_register_is_read(state: DurableState) -> None:
    assert state.register == {"b2": {1: ACTIVE_ROW, 0: CLEARED_ROW}}


def test_every_record_type_is_known(state: DurableState) -> None:
    assert state.unknown_records == []


def test_new_writer_takes_over_the_directory_without_loss(
    directory: SystemDirectory, state: DurableState
) -> None:
    LogWriter(directory, NODE, "unused", lambda contents: state.encode_snapshot()).close()
    after = read_directory(directory, NODE)
    assert (after.directory_id, after.fence, after.last_number, after.problems) == ("fresh", 2, 8, [])
    assert replay(after.snapshot, after.records) == state


# --- files shared by the processes of a node


def test_processes_of_both_versions_use_the_same_file_name(stem: Path) -> None:
    assert {path.stem for path in FIXTURES.iterdir() if path.is_file()} == {stem.name}


def test_processes_of_both_versions_use_the_same_suffixes() -> None:
    suffixes = {path.suffix for path in FIXTURES.iterdir() if path.is_file()}
    assert suffixes == {".bans", ".lock", state_handover.LEARNED_SUFFIX, recovery_handover.HANDOVER_SUFFIX}


def test_the_bans_file_is_read(stem: Path) -> None:
    record = maintenance_file.parse_record(stem.with_suffix(".bans").read_text("utf-8"))
    assert record == maintenance_file.MaintenanceRecord(frozenset({"b2"}), {"b1": 3_000.0})


async def test_the_bans_file_is_written_to_the_same_bytes(tmp_path: Path, stem: Path) -> None:
    table = maintenance_file.MaintenanceFile(tmp_path / stem.name, lambda name, out, since: None)
    table.start(False)
    await table.set_ban("b1", True, 1_000.0, 10_000.0)
    await table.set_ban("b2", True, 2_000.0, 10_000.0)
    await table.set_ban("b1", False, 3_000.0, 10_000.0)
    table.stop()
    assert table.path.read_bytes() == stem.with_suffix(".bans").read_bytes()


@pytest.mark.usefixtures("_read_time")
def test_the_learned_state_of_a_predecessor_is_read(stem: Path) -> None:
    recovered = state_handover.consume_learned(stem.with_suffix(state_handover.LEARNED_SUFFIX))
    assert recovered is not None
    assert (recovered.learned, recovered.age_ms) == (LEARNED, 1_000.0)


@pytest.mark.usefixtures("_write_time")
def test_the_learned_state_is_written_to_the_same_bytes(tmp_path: Path, stem: Path) -> None:
    state_handover.write_learned(tmp_path / "new", LEARNED)
    assert (tmp_path / "new").read_bytes() == stem.with_suffix(state_handover.LEARNED_SUFFIX).read_bytes()


@pytest.mark.usefixtures("_read_time")
def test_recovery_state_of_a_predecessor_is_converted_to_the_clock_of_this_process(stem: Path) -> None:
    handover = recovery_handover.read_handover(
        stem.with_suffix(recovery_handover.HANDOVER_SUFFIX), READ_AT_MONOTONIC_MS
    )
    shift_ms = READ_AT_MONOTONIC_MS - WRITTEN_AT_MONOTONIC_MS
    rows = (
        BanEntry("b2", 1, 7, 3, True, 900.0 + shift_ms),
        BanEntry("b2", 0, 6, 1, False, 800.0 + shift_ms),
    )
    assert handover == RecoveryHandover(Phase(3), RecoveryPath("power"), 77.0 + shift_ms, rows)


@pytest.mark.usefixtures("_write_time")
def test_the_recovery_state_is_written_to_the_same_bytes(tmp_path: Path, stem: Path) -> None:
    recovery_handover.write_handover(tmp_path / "new", INHERITED, WRITTEN_AT_MONOTONIC_MS)
    assert (tmp_path / "new").read_bytes() == stem.with_suffix(recovery_handover.HANDOVER_SUFFIX).read_bytes()
