"""What crosses between two processes of a node: half a file, one written twice, an end, no descriptor."""

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


def left(path: Path, change: dict[str, Any]) -> None:
    """What a process leaves, with something changed."""
    write_learned(path, LEARNED)
    path.write_text(json.dumps(json.loads(path.read_text()) | change))


# --- the file


@pytest.mark.parametrize("cut", range(0, 100, 4))
def test_half_a_file_is_said_once_and_does_not_stay(
    tmp_path: Path, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against one that is looked at again and again."""
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
def test_a_file_that_makes_no_sense_is_no_exception(tmp_path: Path, text: bytes) -> None:
    path = tmp_path / "x.learned"
    path.write_bytes(text)
    assert consume_learned(path) is None


@pytest.mark.parametrize("number", ["1e999", "1" + "0" * 400, "NaN", '"x"', "null", "[]"])
@pytest.mark.parametrize("place", range(5))
def test_a_number_that_is_none_is_no_exception(tmp_path: Path, number: str, place: int) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)
    table = json.loads(path.read_text())
    table["learned"]["backends"]["b0"][place] = "here"
    path.write_text(json.dumps(table).replace('"here"', number))
    got = consume_learned(path)
    assert got is None or (place == 2 and got.learned == LEARNED)  # the one that may be infinite


def test_a_file_that_is_written_twice_is_taken_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The second time between the successor's reading it and its taking it away."""
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
def test_a_process_that_dies_while_it_writes_leaves_what_was_there(
    tmp_path: Path, at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "x.learned"
    write_learned(path, LEARNED)

    def dies(*args: Any) -> None:
        raise SystemExit

    with monkeypatch.context() as patch:
        patch.setattr(*((os, at, dies) if at == "replace" else (Path, at, dies)))
        with pytest.raises(SystemExit):
            write_learned(path, api.LearnedState(1.0, 1.0, 0.0, {}, {}))
    got = consume_learned(path)
    assert got is not None and got.learned == LEARNED


def test_a_successor_that_comes_back_late_goes_on_from_nothing_old(tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    left(path, {"at": 1000.0})
    assert consume_learned(path) is None and not path.exists()


@pytest.mark.parametrize("when", ["1" + "0" * 400, "1e999", "NaN", "-1", "true", '"x"'])
def test_a_time_of_return_that_is_none_is_a_broken_file(when: str) -> None:
    with pytest.raises(ValueError):
        maintenance_file.parse_record('{"out": [], "back": {"b0": ' + when + "}}")


# --- the slots


def no_descriptor(*args: Any) -> int:
    """As `os.open` while there is none left."""
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


async def test_without_a_descriptor_the_other_process_has_not_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that takes the place of its successor back, which is there."""
    told: list[bool] = []
    old, new = ProcessSlots(tmp_path / "x", told.append), ProcessSlots(tmp_path / "x", told.append)
    assert not old.acquire() and new.acquire()
    old.refresh()
    assert told == [True]
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", no_descriptor)
        old.refresh()
        new.refresh()
        old.refresh_periodically()
    assert told == [True] and old.has_peer and new.has_peer
    new.stop()
    new.release()
    old.refresh()
    assert told == [True, False] and not old.has_peer
    old.stop()
    old.release()


async def test_a_process_that_cannot_look_at_its_start_sees_the_other_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    told: list[bool] = []
    one, other = ProcessSlots(tmp_path / "x", told.append), ProcessSlots(tmp_path / "x", lambda beside: None)
    other.acquire()
    with monkeypatch.context() as patch:
        patch.setattr(process_slots, "read_slot", no_descriptor)
        assert not one.acquire()
    one.refresh_periodically()
    assert told == [True] and one.has_peer
    for each in (one, other):
        each.stop()
        each.release()


async def test_a_process_that_dies_with_its_lock_is_gone_and_one_that_follows_at_once_is_seen(
    tmp_path: Path,
) -> None:
    told: list[bool] = []
    old = ProcessSlots(tmp_path / "x", told.append)
    old.acquire()
    for _ in range(2):  # it never listens, and dies
        new = ProcessSlots(tmp_path / "x", lambda beside: None)
        assert new.acquire() and new.peer_started_first
        old.refresh()
        new.stop()
        new.release()
        old.refresh()
    assert told == [True, False, True, False]
    old.stop()
    old.release()


async def test_a_look_at_a_slot_keeps_no_newcomer_out(tmp_path: Path) -> None:
    """A shared lock for a moment: the newcomer takes the next slot."""
    one = ProcessSlots(tmp_path / "x", lambda beside: None)
    looks = os.open(one.paths[0], os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(looks, fcntl.LOCK_SH | fcntl.LOCK_NB)
    assert not one.acquire() and one.own_slot == 1
    os.close(looks)
    other = ProcessSlots(tmp_path / "x", lambda beside: None)
    assert other.acquire() and other.own_slot == 0
    for each in (one, other):
        each.stop()
        each.release()
    assert not process_slots.read_slot(one.paths[0])


def test_the_bound_of_age_is_in_force_at_both_ends(tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    for at, taken in ((0.0, True), (state_handover.MAX_AGE_MS + 1000.0, False), (-60_000.0, False)):
        write_learned(path, LEARNED)
        table = json.loads(path.read_text())
        path.write_text(json.dumps(table | {"at": table["at"] - at}))
        assert (consume_learned(path) is not None) == taken and not path.exists()
