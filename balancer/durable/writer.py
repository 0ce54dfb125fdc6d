"""The writer of a state directory: appends records, rotates generations, and holds the fencing token.

A new generation begins at each start and when the log has grown: the snapshot is written as a draft, synced,
renamed, the directory synced and the snapshot read back; then the log is created; only then is the generation
before the previous one removed, so that two are kept.

A new writer raises the token in the file `fence` before it reads the log. The previous writer checks that
file after each sync, before it acknowledges. So an acknowledged record is one that the new writer has read,
however long the previous one was suspended. The files of two writers have different names: neither can
overwrite the other's.

Sources: etcd's write-ahead log; Serf's snapshot file; fencing tokens as the sequencers of Chubby.
"""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from balancer.durable import frames, layout
from balancer.durable.filesystem import AppendFile, Directory
from balancer.durable.layout import FENCE_NAME, FileKind, FileName, GenerationId, Header
from balancer.durable.reader import (
    SNAPSHOT_FRAME_NUMBER,
    DirectoryContents,
    Generation,
    read_directory,
    read_fence,
)

ROTATION_BYTES = 2 * 2**20  # length of a log from which a new generation is due
KEPT_GENERATIONS = 2


class FencedError(Exception):
    """Another writer has taken over: a signal to the caller, which knows what that means."""


@dataclass(frozen=True)
class Position:
    """The end of a log: its last record and the start of the batch that is not synced yet."""

    number: int
    chain: int
    batch: int


class LogWriter:
    """The writer of a state directory.

    Every method may raise OSError; after that nothing more can be written by this object.
    """

    def __init__(
        self,
        directory: Directory,
        node: str,
        new_directory_id: str,
        make_snapshot: Callable[[DirectoryContents], bytes],
    ) -> None:
        """Take the directory over from its current writer.

        Args:
            directory: The state directory.
            node: The node that it has to belong to, if it is not new.
            new_directory_id: Its identity if it is new.
            make_snapshot: Returns the snapshot of what was read.

        Raises:
            IncompatibleDirectoryError: It is a newer program's or another node's.
            RecordTooLongError: The snapshot is too long.
            BlockingIOError: Another process is opening it.
        """
        self.directory = directory
        self.node = node
        self.has_failed = False
        self.log_bytes = 0  # of records in the current log
        self._log: AppendFile | None = None
        with directory.writer_lock():
            # Before anything is changed: does the directory belong to this node, and can it be read?
            before = read_directory(directory, node, all_generations=False)
            self.directory_id = before.directory_id or new_directory_id
            self.fence = before.fence + 1
            del before  # may be large
            header = Header(layout.VERSION, self.directory_id, node, self.fence)
            self._write_file(FENCE_NAME, layout.encode_file_start(FileKind.FENCE, header))
            contents = read_directory(directory, node, all_generations=False)
            self.generation = contents.generation
            self._position = Position(contents.last_number, contents.last_chain, 0)
            self.rotate(make_snapshot(contents))

    @property
    def needs_rotation(self) -> bool:
        """Return whether a new generation is due."""
        return self.log_bytes >= ROTATION_BYTES

    def append(self, records: Sequence[bytes], sync: bool) -> None:
        """Append records; with `sync` they survive a power cut once this returns.

        Raises:
            FencedError: Another writer has taken over; none of the records may be acknowledged.
            RecordTooLongError: A record is too long; none is written.
        """
        if self.has_failed or self._log is None:
            raise OSError(errno.EIO, "an earlier write has failed")
        parts: list[bytes] = []
        end = self._position
        for payload in records:
            frame = frames.make_frame(end.number + 1, end.batch, end.chain, payload)
            parts.append(frames.encode_frame(frame))
            end = Position(frame.number, frame.chain, end.batch)
        data = b"".join(parts)
        try:
            self._log.write(data)
            if sync:
                self._log.sync()
        except OSError:
            self.has_failed = True  # what of it is on disk is unknown, so the file is not written to again
            raise
        self._position = Position(end.number, end.chain, end.number + 1) if sync else end
        self.log_bytes += len(data)
        self.check_fence()

    def check_fence(self) -> None:
        """Raise FencedError if another writer has taken over."""
        if self.is_superseded():
            self.has_failed = True
            raise FencedError

    def is_superseded(self) -> bool:
        """Return whether another writer has taken over, as far as the fence file can be read."""
        header = read_fence(self.directory, [FENCE_NAME], [])
        return header is not None and header.fence > self.fence

    def rotate(self, snapshot: bytes) -> None:
        """Begin a new generation with a snapshot of all records so far; the previous generation is kept."""
        self.check_fence()
        generation_id = GenerationId(self.fence, self.generation + 1)
        header = Header(
            layout.VERSION,
            self.directory_id,
            self.node,
            generation_id.fence,
            generation_id.number,
            self._position.number,
            self._position.chain,
        )
        self.has_failed = True  # until the rotation is complete
        self._write_snapshot(header, snapshot)
        names = self.directory.list_names()
        self._verify_snapshot(header, snapshot, names)
        self._start_log(header)
        self.generation = generation_id.number
        self.has_failed = False
        self._remove_old_files(names)

    def close(self) -> None:
        """Close the log; nothing more can be written."""
        if self._log is not None:
            self._log.close()
            self._log = None
        self.has_failed = True

    def _write_file(self, name: str, data: bytes) -> None:
        """Write a file atomically: as a draft, synced, renamed, directory synced."""
        draft = layout.draft_name(name, self.fence)
        with contextlib.suppress(FileNotFoundError):
            self.directory.remove(draft)
        file = self.directory.create(draft)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        self.directory.rename(draft, name)
        self.directory.sync_names()

    def _write_snapshot(self, header: Header, snapshot: bytes) -> None:
        start = layout.encode_file_start(FileKind.SNAPSHOT, header)
        number = SNAPSHOT_FRAME_NUMBER
        frame = frames.make_frame(number, number, frames.crc32c(start), snapshot)
        name = FileName(FileKind.SNAPSHOT, header.generation_id)
        self._write_file(str(name), start + frames.encode_frame(frame))

    def _verify_snapshot(self, header: Header, snapshot: bytes, names: Sequence[str]) -> None:
        written = Generation(self.directory, header.generation_id, names, DirectoryContents())
        if written.snapshot_header != header or written.snapshot != snapshot:
            raise OSError(errno.EIO, "a snapshot does not read as it was written")

    def _start_log(self, header: Header) -> None:
        if self._log is not None:
            self._log.close()
        start = layout.encode_file_start(FileKind.LOG, header)
        self._log = self.directory.create(str(FileName(FileKind.LOG, header.generation_id)))
        self._log.write(start)
        self._log.sync()
        self.directory.sync_names()
        self._position = Position(header.number, frames.crc32c(start), header.number + 1)
        self.log_bytes = 0

    def _remove_old_files(self, names: Sequence[str]) -> None:
        """Remove generations that are no longer kept, and drafts of earlier writers."""
        kept = layout.list_generations(names)[:KEPT_GENERATIONS]
        for name in names:
            file_name = FileName.parse(name)
            is_old = file_name is not None and file_name.generation not in kept
            fence = layout.draft_fence(name)
            is_abandoned = fence is not None and fence < self.fence  # a later writer's may be in the making
            if is_old or is_abandoned:
                with contextlib.suppress(OSError):
                    self.directory.remove(name)
