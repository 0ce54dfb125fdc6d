"""Tests of the write-ahead log: frames, power cuts, damage, concurrent writers, failing disks."""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.durable import frames, layout, writer
from balancer.durable.filesystem import AppendFile
from balancer.durable.layout import IncompatibleDirectoryError
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.writer import FencedError, LogWriter
from balancer.sim.crash import (
    DIRECTORY_ID,
    NODE,
    History,
    all_records,
    explore_power_cuts,
    make_snapshot,
    run_workload,
)
from balancer.sim.disk import DiskCall, DiskImage, SimulatedDirectory, SimulatedDisk, no_fault
from balancer.sim.interleavings import explore_interleavings, run_predecessor, run_successor


def open_writer(directory: SimulatedDirectory) -> LogWriter:
    return LogWriter(directory, NODE, DIRECTORY_ID, make_snapshot)


def read_image(image: DiskImage) -> DirectoryContents:
    return read_directory(SimulatedDirectory(SimulatedDisk(image)), NODE)


def filled(seed: int = 3, steps: int = 6) -> tuple[DiskImage, History]:
    """Return the disk image after a workload, and the history of written records."""
    disk, history = SimulatedDisk(), History()
    run_workload(SimulatedDirectory(disk), seed, steps, history)
    return disk.image(), history


# --- Tests of frames.


@given(st.lists(st.binary(max_size=60), max_size=8), st.integers(0, 2**32 - 1))
def test_frames_are_read_as_they_were_written(payloads: list[bytes], chain: int) -> None:
    data, last_chain = b"", chain
    for number, payload in enumerate(payloads, 1):
        frame = frames.make_frame(number, 1, last_chain, payload)
        data, last_chain = data + frames.encode_frame(frame), frame.chain
    parsed = frames.parse_frames(data, 0, 0, chain)
    assert [frame.payload for frame in parsed.frames] == payloads and not parsed.trailing_bytes
    assert not payloads or frames.parse_frames(data, 0, 0, chain ^ 1).frames == []


def synced_frames(count: int) -> list[bytes]:
    """Return encoded frames that were each synced as a separate batch."""
    encoded, chain = [], 0
    for number in range(1, count + 1):
        frame = frames.make_frame(number, number, chain, b"payload")
        encoded.append(frames.encode_frame(frame))
        chain = frame.chain
    return encoded


def test_a_torn_tail_is_not_damage() -> None:
    parsed = frames.parse_frames(b"".join(synced_frames(4))[:-3], 0, 0, 0)
    assert len(parsed.frames) == 3 and parsed.trailing_bytes and not parsed.is_damaged


def test_a_hole_before_a_later_batch_is_damage() -> None:
    parts = synced_frames(4)
    parsed = frames.parse_frames(parts[0] + bytes(len(parts[1])) + parts[2] + parts[3], 0, 0, 0)
    assert len(parsed.frames) == 1 and parsed.is_damaged and parsed.last_lost_number == 3


def test_a_missing_frame_before_a_later_batch_is_damage() -> None:
    parts = synced_frames(4)
    parsed = frames.parse_frames(parts[0] + parts[2] + parts[3], 0, 0, 0)
    assert len(parsed.frames) == 1 and parsed.is_damaged


# --- Tests of power cuts.


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_power_cut_loses_an_acknowledged_record(seed: int) -> None:
    report = explore_power_cuts(seed, 6, 400)
    assert report.states > report.cuts > 20 and report.violations == []


class DirectoryWithoutNameSync(SimulatedDirectory):
    """Mutant of the directory that does not sync file names."""

    def sync_names(self) -> None:
        self.disk.record_call(DiskCall.SYNC_NAMES, "")


def directory_without_file_sync(prefix: str) -> type[SimulatedDirectory]:
    """Return a mutant of the directory that does not sync files whose name starts with `prefix`."""

    class DirectoryWithoutFileSync(SimulatedDirectory):
        def create(self, name: str) -> AppendFile:
            file = super().create(name)
            if name.startswith(prefix):
                file.sync = lambda: self.disk.record_call(DiskCall.SYNC, name)  # type: ignore[method-assign]
            return file

    return DirectoryWithoutFileSync


@pytest.mark.parametrize(
    "mutant",
    [DirectoryWithoutNameSync, directory_without_file_sync("draft-"), directory_without_file_sync("log-")],
)
def test_the_exploration_of_power_cuts_finds_a_missing_sync(mutant: type[SimulatedDirectory]) -> None:
    assert explore_power_cuts(1, 6, 400, mutant).violations


# --- Tests of damaged files.


def spliced(victim: DiskImage, donor: DiskImage) -> DiskImage:
    """Return an image whose newest log has its first record replaced by that of another log."""
    name = max(n for n in victim if n.startswith("log-"))
    mine, other = victim[name], donor[name]
    begin = mine.index(b"0:")
    end = mine.index(b"1:")
    begin_other, end_other = other.index(b"0:"), other.index(b"1:")
    header = frames.HEADER.size
    data = mine[: begin - header] + other[begin_other - header : end_other - header] + mine[end - header :]
    return victim | {name: data}


def test_the_checksum_chain_rejects_a_record_of_another_log(monkeypatch: pytest.MonkeyPatch) -> None:
    def written_by(fill: bytes, directory_id: str) -> DiskImage:
        disk = SimulatedDisk()
        log = LogWriter(SimulatedDirectory(disk), NODE, directory_id, make_snapshot)
        for number in range(3):
            log.append([b"%d:" % number + fill * 20], True)
        return disk.image()

    def read() -> list[bytes]:
        return read_image(spliced(written_by(b"a", "1" * 16), written_by(b"b", "2" * 16))).records

    assert read() == []
    # Without the chain the spliced record would be accepted.
    monkeypatch.setattr(frames, "chain_crc", lambda chain, crc: crc)
    assert [record[:3] for record in read()] == [b"0:b", b"1:a", b"2:a"]


def test_every_flipped_bit_is_reported_and_no_wrong_value_is_read() -> None:
    image, history = filled(steps=2)
    clean = read_image(image)
    assert clean.problems == [] and all_records(clean) == history.written
    for name, data in image.items():
        for bit in range(len(data) * 8):
            bad = bytearray(data)
            bad[bit // 8] ^= 1 << bit % 8
            try:
                contents = read_image(image | {name: bytes(bad)})
            # The flipped bit has turned the version into that of a newer program, which is refused.
            except IncompatibleDirectoryError:
                continue
            assert contents.problems, f"{name} bit {bit}"
            records = all_records(contents)
            assert records == history.written[: len(records)]


def test_an_invalid_snapshot_is_replaced_by_the_previous_generation() -> None:
    image, history = filled()
    newest = max(n for n in image if n.startswith("snap-"))
    contents = read_image(image | {newest: image[newest][:-1]})
    assert all_records(contents) == history.written
    assert contents.problems and not contents.has_lost_records


def test_zeroed_and_swapped_files_are_reported_and_do_not_prevent_a_takeover() -> None:
    image, history = filled()
    snapshots = sorted(n for n in image if n.startswith("snap-"))
    swapped = {snapshots[0]: image[snapshots[1]], snapshots[1]: image[snapshots[0]]}
    cases = [image | {name: bytes(len(data))} for name, data in image.items()]
    for case in [*cases, image | swapped]:
        contents = read_image(case)
        records = all_records(contents)
        assert contents.problems and records == history.written[: len(records)]
        open_writer(SimulatedDirectory(SimulatedDisk(case)))


def test_files_of_another_directory_are_ignored_and_reported() -> None:
    image, history = filled()
    snapshots = sorted(n for n in image if n.startswith("snap-"))
    foreign = SimulatedDisk()
    LogWriter(SimulatedDirectory(foreign), NODE, "f" * 16, make_snapshot).rotate(b"other")
    contents = read_image(image | {snapshots[1]: foreign.image()[snapshots[1]]})
    assert any("of another directory" in problem for problem in contents.problems)
    records = all_records(contents)
    assert records == history.written[: len(records)]


def test_a_directory_of_another_node_is_refused_and_left_unchanged() -> None:
    image, _ = filled()
    disk = SimulatedDisk(image)
    with pytest.raises(IncompatibleDirectoryError, match="belongs to node 'n0', this node is 'n1'"):
        LogWriter(SimulatedDirectory(disk), "n1", DIRECTORY_ID, make_snapshot)
    assert disk.image() == image


def test_a_directory_of_a_newer_version_is_refused_and_left_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    disk = SimulatedDisk()
    with monkeypatch.context() as newer:
        newer.setattr(layout, "VERSION", 2)
        open_writer(SimulatedDirectory(disk))
    before = disk.image()
    with pytest.raises(IncompatibleDirectoryError, match="version 2, this program reads up to 1"):
        open_writer(SimulatedDirectory(disk))
    assert disk.image() == before


# --- Tests of two concurrent writers.


def test_a_superseded_writer_cannot_overwrite_records_of_its_successor() -> None:
    directory = SimulatedDirectory(SimulatedDisk())
    old = open_writer(directory)
    old.append([b"one"], True)
    new = open_writer(directory)
    new.append([b"two"], True)
    with pytest.raises(FencedError):
        old.append([b"stray"], True)
    with pytest.raises(FencedError):
        old.rotate(b"stray")
    new.append([b"three"], True)
    assert all_records(read_directory(directory, NODE)) == [b"one", b"two", b"three"]
    newest = max(n for n in directory.disk.files if n.startswith("snap-"))
    # Reading from the previous generation must not bring the stray records back either.
    del directory.disk.files[newest]
    assert all_records(read_directory(directory, NODE)) == [b"one", b"two", b"three"]


def test_no_interleaving_of_two_writers_loses_an_acknowledged_record() -> None:
    report = explore_interleavings([run_predecessor, run_successor], max_preemptions=2, max_schedules=5000)
    assert report.is_exhaustive and report.schedules > 500 and report.violations == []


def disable_fence_check(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LogWriter, "check_fence", lambda self: None)


def read_before_fencing(monkeypatch: pytest.MonkeyPatch) -> None:
    # The list keeps the directories alive, so that no later directory has the identity of an earlier one.
    first: list[tuple[SimulatedDirectory, DirectoryContents]] = []

    def read_once(
        directory: SimulatedDirectory, node: str | None = None, *, all_generations: bool = True
    ) -> DirectoryContents:
        if all(known is not directory for known, _ in first):
            first.append((directory, read_directory(directory, node)))
        return next(contents for known, contents in first if known is directory)

    monkeypatch.setattr(writer, "read_directory", read_once)


@pytest.mark.parametrize("mutate", [disable_fence_check, read_before_fencing])
def test_the_exploration_of_interleavings_finds_writers_that_ignore_the_fence(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    report = explore_interleavings([run_predecessor, run_successor], max_preemptions=2, max_schedules=5000)
    assert any("acknowledged [" in violation for violation in report.violations)


def test_two_processes_cannot_take_a_directory_over_at_once() -> None:
    directory = SimulatedDirectory(SimulatedDisk())
    with directory.writer_lock(), pytest.raises(BlockingIOError):
        open_writer(directory)


# --- Tests of failing disks.

FAILING_CALLS = [DiskCall.WRITE, DiskCall.SYNC, DiskCall.RENAME, DiskCall.CREATE, DiskCall.SYNC_NAMES]


@pytest.mark.parametrize("failing", FAILING_CALLS)
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_a_failed_call_loses_no_acknowledged_record(failing: DiskCall, code: int) -> None:
    for successes in range(3):
        disk, history = SimulatedDisk(), History()
        left = [successes]

        def fail(count: int, call: DiskCall, name: str, left: list[int] = left) -> None:
            if call is failing:
                left[0] -= 1
                if left[0] < 0:
                    raise OSError(code, os.strerror(code))

        disk.before_call = fail
        with pytest.raises(OSError):
            run_workload(SimulatedDirectory(disk), 2, 12, history)
        disk.before_call = no_fault
        for image in disk.crash_images(random.Random(successes), 60):
            records = all_records(read_image(image))
            assert records == history.written[: len(records)] and len(records) >= history.acknowledged_count


def test_a_log_whose_sync_failed_is_not_appended_to_again() -> None:
    def fail_sync(count: int, call: DiskCall, name: str) -> None:
        if call is DiskCall.SYNC:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    disk = SimulatedDisk()
    log = open_writer(SimulatedDirectory(disk))
    disk.before_call = fail_sync
    with pytest.raises(OSError):
        log.append([b"lost"], True)
    disk.before_call = no_fault
    with pytest.raises(OSError, match="earlier write has failed"):
        log.append([b"again"], True)
