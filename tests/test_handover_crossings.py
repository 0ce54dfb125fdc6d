"""Test faults in the handover between two processes: damaged files, races, crashes, missing descriptors."""

from __future__ import annotations

import errno
import fcntl
import json
import logging
import math
import os
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from balancer.net import maintenance_file, process_slots, state_handover
from balancer.net.process_slots import ProcessSlots
from balancer.net.state_handover import consume_learned, write_learned

BACKEND = (0.0, 1.0, math.inf, 1, 90.0)
LEARNED = api.LearnedState(21.5, 0.9, 0.0, {"read": (30.0, 4.0, 0.1)}, {"b0": BACKEND})


def write_changed(path: Path, change: dict[str, Any]) -> None:
    """Write a handover file with some values changed."""
    write_learned(path, LEARNED)
    path.write_text(json.dumps(json.loads(path.read_text()) | change))


# --- the handover file


@pytest.mark.parametrize("cut", range(0, 100, 4))
def test_truncated_file_is_logged_once_and_removed(
    tmp_path: Path, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against reading and logging a damaged file again and again."""
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)
    path.write_bytes((whole := path.read_bytes())[: len(whole) * cut // 100])
    with caplog.at_level(logging.INFO):
        assert consume_learned(path) is None and consume_learned(path) is None
    assert not path.exists() and len(caplog.records) == 1
    write_learned(path, LEARNED)
    assert consume_learned(path) is not None


@pytest.mark.parametrize(
    "text",
    [b"\xff\xfe", b"\0" * 100, b"null", b"[]", b'""', b"[" * 100_000, b'{"at": 1' + b"0" * 400 + b"}"],
)
def test_invalid_file_raises_no_exception(tmp_path: Path, text: bytes) -> None:
    path = tmp_path / "x.learned"
    path.write_bytes(text)
    assert consume_learned(path) is None


@pytest.mark.parametrize("number", ["1e999", "1" + "0" * 400, "NaN", '"x"', "null", "[]"])
@pytest.mark.parametrize("place", range(5))
def test_invalid_number_raises_no_exception(tmp_path: Path, number: str, place: int) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)
    table = json.loads(path.read_text())
    table["learned"]["backends"]["b0"][place] = "here"
    path.write_text(json.dumps(table).replace('"here"', number))
    got = consume_learned(path)
    assert got is None or (place == 2 and got.learned == LEARNED)  # Only the third value may be infinite.


def test_file_written_twice_is_consumed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The second write happens between the successor's read and its removal of the file."""
    path, read = tmp_path / "x.learned", Path.read_text

    def read_text(self: Path, *args: Any) -> str:
        text = read(self, *args)
        write_learned(path, LEARNED)
        return text

    write_learned(path, LEARNED)
    monkeypatch.setattr(Path, "read_text", read_text)
    got = consume_learned(path)
    monkeypatch.undo()
    assert got is not None and got.learned == LEARNED and consume_learned(path) is None


@pytest.mark.parametrize("at", ["write_text", "replace"])
def test_crash_during_a_write_leaves_the_previous_file(
    tmp_path: Path, at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)

    def crash(*args: Any) -> None:
        raise SystemExit

    with monkeypatch.context() as patch:
        patch.setattr(*((os, at, crash) if at == "replace" else (Path, at, crash)))
        with pytest.raises(SystemExit):
            write_learned(path, api.LearnedState(1.0, 1.0, 0.0, {}, {}))
    got = consume_learned(path)
    assert got is not None and got.learned == LEARNED


def test_old_file_is_removed_and_not_used(tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    write_changed(path, {"at": 1000.0})
    assert consume_learned(path) is None and not path.exists()


@pytest.mark.parametrize("when", ["1" + "0" * 400, "1e999", "NaN", "-1", "true", '"x"'])
def test_invalid_time_of_the_end_of_maintenance_raises(when: str) -> None:
    with pytest.raises(ValueError):
        maintenance_file.parse_record('{"out": [], "back": {"b0": ' + when + "}}")


# --- process slots


def raise_emfile(*args: Any) -> int:
    """Fail like `os.open` when no descriptor is free."""
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


async def test_peer_is_kept_while_no_descriptor_is_free_to_check(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that takes over from a running successor because it cannot see it."""
    changes: list[bool] = []
    old, new = ProcessSlots(tmp_path / "x", changes.append), ProcessSlots(tmp_path / "x", changes.append)
    assert not old.acquire() and new.acquire()
    old.refresh()
    assert changes == [True]
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", raise_emfile)
        old.refresh()
        new.refresh()
        old.refresh_periodically()
    assert changes == [True] and old.has_peer and new.has_peer
    new.stop()
    new.release()
    old.refresh()
    assert changes == [True, False] and not old.has_peer
    old.stop()
    old.release()


async def test_process_that_cannot_check_at_its_start_detects_the_peer_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    changes: list[bool] = []
    one, other = (
        ProcessSlots(tmp_path / "x", changes.append),
        ProcessSlots(tmp_path / "x", lambda has_peer: None),
    )
    other.acquire()
    with monkeypatch.context() as patch:
        patch.setattr(process_slots, "read_slot", raise_emfile)
        assert not one.acquire()
    one.refresh_periodically()
    assert changes == [True] and one.has_peer
    for each in (one, other):
        each.stop()
        each.release()


async def test_end_of_a_process_and_start_of_the_next_are_both_detected(
    tmp_path: Path,
) -> None:
    changes: list[bool] = []
    old = ProcessSlots(tmp_path / "x", changes.append)
    old.acquire()
    for _ in range(2):  # Each new process ends before it listens.
        new = ProcessSlots(tmp_path / "x", lambda has_peer: None)
        assert new.acquire() and new.peer_started_first
        old.refresh()
        new.stop()
        new.release()
        old.refresh()
    assert changes == [True, False, True, False]
    old.stop()
    old.release()


async def test_check_of_a_slot_does_not_block_a_starting_process(tmp_path: Path) -> None:
    """The check locks a slot for a moment; a process that starts at that time takes the next slot."""
    one = ProcessSlots(tmp_path / "x", lambda has_peer: None)
    checking_fd = os.open(one.paths[0], os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(checking_fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    assert not one.acquire() and one.own_slot == 1
    os.close(checking_fd)
    other = ProcessSlots(tmp_path / "x", lambda has_peer: None)
    assert other.acquire() and other.own_slot == 0
    for each in (one, other):
        each.stop()
        each.release()
    assert not process_slots.read_slot(one.paths[0])


def test_file_with_an_age_outside_the_allowed_range_is_not_used(tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    for at, taken in ((0.0, True), (state_handover.MAX_AGE_MS + 1000.0, False), (-60_000.0, False)):
        write_learned(path, LEARNED)
        table = json.loads(path.read_text())
        path.write_text(json.dumps(table | {"at": table["at"] - at}))
        assert (consume_learned(path) is not None) == taken and not path.exists()
