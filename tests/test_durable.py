"""Tests of the durable store (acknowledgements, takeover, failing disks) and of `balancer state`."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from balancer.cli.app import app
from balancer.durable import frames
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.health import NotPersistedError
from balancer.durable.layout import IncompatibleDirectoryError
from balancer.durable.reader import read_directory
from balancer.durable.records import BanSet, IncarnationStarted
from balancer.durable.state import DurableState, replay
from balancer.durable.store import DurableStore
from balancer.durable.writer import LogWriter
from balancer.sim.crash import DIRECTORY_ID, NODE, make_snapshot

# REOPEN_WAIT_S is longer than the delay after which a failed directory is reopened.
REOPEN_WAIT_S = 3600.0


@dataclass
class SteppedClock:
    """The monotonic clock of the system plus an offset that a test sets."""

    offset_s: float = 0.0

    def __call__(self) -> float:
        """Return the shifted monotonic time in s."""
        return time.monotonic() + self.offset_s


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return the path of the state directory, which does not exist yet."""
    return tmp_path / "state"


@pytest.fixture
def clock() -> SteppedClock:
    """Return a clock for `open_store` that a test can advance."""
    return SteppedClock()


@asynccontextmanager
async def open_store(folder: Path, clock: SteppedClock | None = None) -> AsyncIterator[DurableStore]:
    """Open a store that has recovered the state and taken the directory over."""
    store = DurableStore.open(folder, NODE, clock or SteppedClock())
    store.recover()
    store.take_over()
    try:
        yield store
    finally:
        store.close()


def state_on_disk(folder: Path) -> DurableState:
    contents = read_directory(SystemDirectory(folder), NODE)
    return replay(contents.snapshot, contents.records)


def fail_every_sync(patch: pytest.MonkeyPatch) -> None:
    def fail(descriptor: int) -> None:
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    patch.setattr(os, "fdatasync", fail)


# --- Tests of the durable store.


async def test_concurrent_appends_share_syncs_and_are_persisted(folder: Path) -> None:
    async with open_store(folder) as store:
        await asyncio.gather(*(store.append(BanSet(f"b{number}", 1.0)) for number in range(50)))
        statistics = store.committer.statistics
        assert statistics.records == 50 and statistics.syncs < 50
        assert len(state_on_disk(folder).banned) == 50


async def test_a_successor_takes_over_and_its_predecessor_rejects_appends(folder: Path) -> None:
    async with open_store(folder) as old:
        await old.append(BanSet("a", 1.0))
        async with open_store(folder) as new:
            assert new.state.banned == {"a": 1.0}
            await new.append(BanSet("b", 2.0))
            with pytest.raises(NotPersistedError, match="another process"):
                await old.append(BanSet("c", 3.0))


async def test_a_predecessor_takes_the_directory_back_from_a_successor_that_has_ended(folder: Path) -> None:
    async with open_store(folder) as old:
        await old.append(BanSet("a", 1.0))
        async with open_store(folder) as new:
            await new.append(BanSet("b", 2.0))
            with pytest.raises(NotPersistedError):
                await old.append(BanSet("c", 3.0))
            old.take_over()
        await old.append(BanSet("d", 4.0))
        assert set(state_on_disk(folder).banned) == {"a", "b", "d"}


async def test_a_writer_with_a_failed_disk_does_not_take_over_from_its_successor(
    folder: Path, clock: SteppedClock
) -> None:
    async with open_store(folder, clock) as old:
        await old.append(BanSet("a", 1.0))
        async with open_store(folder) as new:
            await new.append(BanSet("b", 2.0))
            assert old.committer.writer is not None
            old.committer.writer.has_failed = True
            clock.offset_s += REOPEN_WAIT_S
            with pytest.raises(NotPersistedError, match="another process"):
                await old.append(BanSet("c", 3.0))
            await new.append(BanSet("d", 4.0))


async def test_appends_succeed_again_after_the_reopen_delay_of_a_failed_disk(
    folder: Path, clock: SteppedClock, caplog: pytest.LogCaptureFixture
) -> None:
    async with open_store(folder, clock) as store:
        await store.append(BanSet("a", 1.0))
        with pytest.MonkeyPatch.context() as patch:
            fail_every_sync(patch)
            for _ in range(3):
                with pytest.raises(NotPersistedError):
                    await store.append(BanSet("b", 2.0))
        clock.offset_s += REOPEN_WAIT_S
        await store.append(BanSet("c", 3.0))
        assert store.health.failures >= 1 and store.disabled_by is None
    assert sum("the node continues serving" in record.message for record in caplog.records) == 1


async def test_a_record_that_is_too_long_disables_the_store_without_blocking_callers(folder: Path) -> None:
    async with open_store(folder) as store:
        for _ in range(2):
            with pytest.raises(frames.RecordTooLongError):
                await asyncio.wait_for(store.append(BanSet("a" * frames.MAX_PAYLOAD_BYTES, 1.0)), 10.0)
        assert store.stats()["off"]


async def test_a_directory_of_another_node_is_left_unchanged_and_logged_once(
    folder: Path, caplog: pytest.LogCaptureFixture
) -> None:
    directory = SystemDirectory(folder)
    directory.make()
    LogWriter(directory, "other", DIRECTORY_ID, make_snapshot).close()
    before = {name: directory.read(name) for name in directory.list_names()}
    async with open_store(folder) as store:
        assert store.state == DurableState()
        with pytest.raises(IncompatibleDirectoryError):
            await store.append(BanSet("a", 1.0))
    assert {name: directory.read(name) for name in before} == before
    assert sum("continues without durable state" in record.message for record in caplog.records) == 1


# --- Tests of the command `balancer state`.


def run_state(command: str, folder: Path, *options: str) -> Result:
    return CliRunner().invoke(app, ["state", command, str(folder), *options])


@pytest.fixture
async def written(folder: Path) -> Path:
    """Return the state directory of a process that has written two records and ended."""
    async with open_store(folder) as store:
        store.append_unsynced(IncarnationStarted(7, 1.0))
        await store.append(BanSet("a", 1000.0))
    return folder


async def test_compact_refuses_a_directory_in_use(folder: Path) -> None:
    async with open_store(folder) as store:
        await store.append(BanSet("a", 1000.0))
        done = run_state("compact", folder)
        assert done.exit_code == 2 and "a process of the node uses it" in done.stderr


async def test_show_prints_the_state(written: Path) -> None:
    shown = json.loads(run_state("show", written, "--json").stdout)
    assert shown["out"] == {"a": 1000.0} and shown["life"] == 7


async def test_a_compacted_directory_is_valid(written: Path) -> None:
    assert run_state("compact", written).exit_code == 0
    done = run_state("verify", written, "--json")
    assert done.exit_code == 0 and json.loads(done.stdout)["sound"]
    assert json.loads(run_state("show", written, "--json").stdout)["out"] == {"a": 1000.0}


async def test_verify_reports_an_invalid_snapshot_as_no_loss_of_records(written: Path) -> None:
    assert run_state("compact", written).exit_code == 0
    newest = max(written.glob("snap-*"))
    newest.write_bytes(newest.read_bytes()[:-1])
    done = run_state("verify", written, "--json")
    assert done.exit_code == 1 and not json.loads(done.stdout)["lost"]


def test_verify_refuses_a_missing_directory(tmp_path: Path) -> None:
    assert run_state("verify", tmp_path / "none").exit_code == 2
