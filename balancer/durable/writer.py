"""Writer of a state directory: appends records, rotates generations and holds the fencing token.

A new generation begins at each start and whenever the log has grown to its size limit. The snapshot is
written as a draft, synced and renamed, the directory is synced, and the snapshot is read back. Then the log
is created. Only after that are older generations removed, so that two generations are always kept.

A new writer raises the token in the file `fence` before it reads the log. The previous writer checks that
file after each sync and before each acknowledgement. Any acknowledged record has therefore been read by the
new writer, however long the previous writer was suspended. The files of two writers have different names, so
neither can overwrite the files of the other.

The design follows etcd's write-ahead log, Serf's snapshot file and the sequencers of Chubby.
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

ROTATION_LOG_BYTES = 2 * 2**20
KEPT_GENERATIONS = 2


class FencedError(Exception):
    """Another writer has taken over the directory; callers handle this and do not report it."""


@dataclass(frozen=True)
class Position:
    """End of a log: number and chain value of its last record, and the first number of the open batch."""

    number: int
    chain: int
    batch: int


class LogWriter:
    """Writer of a state directory.

    Every method may raise OSError. After that this writer cannot write any more.
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
            node: The node that must own the directory unless it is new.
            new_directory_id: The directory id to use if the directory is new.
            make_snapshot: Returns the snapshot for the contents that were read.

        Raises:
            IncompatibleDirectoryError: A newer version or another node wrote the directory.
            RecordTooLongError: The snapshot exceeds the size limit.
            BlockingIOError: Another process is taking the directory over.
        """
        self.directory = directory
        self.node = node
        self.has_failed = False
        self.log_bytes = 0
        self._log: AppendFile | None = None
        with directory.writer_lock():
            # Check that the directory belongs to this node and is readable before changing it.
            before = read_directory(directory, node, all_generations=False)
            self.directory_id = before.directory_id or new_directory_id
            self.fence = before.fence + 1
            # The directory contents may be large and are read again after fencing, so they are freed first.
            del before
            header = Header(layout.VERSION, self.directory_id, node, self.fence)
            self._write_file(FENCE_NAME, layout.encode_file_start(FileKind.FENCE, header))
            contents = read_directory(directory, node, all_generations=False)
            self.generation = contents.generation
            self._position = Position(contents.last_number, contents.last_chain, 0)
            self.rotate(make_snapshot(contents))

    @property
    def needs_rotation(self) -> bool:
        """Return whether the log has grown to the size at which a new generation is due."""
        return self.log_bytes >= ROTATION_LOG_BYTES

    def append(self, records: Sequence[bytes], sync: bool) -> None:
        """Append records; with `sync` they survive a power cut once this method returns.

        Raises:
            FencedError: Another writer has taken over; none of the records may be acknowledged.
            RecordTooLongError: A record exceeds the size limit; no record is written.
        """
        if self.has_failed or self._log is None:
            raise OSError(errno.EIO, "an earlier write has failed, so this log cannot be written to any more")
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
            # It is unknown how much of the data is on disk, so this file must not be appended to again.
            self.has_failed = True
            raise
        self._position = Position(end.number, end.chain, end.number + 1) if sync else end
        self.log_bytes += len(data)
        self.check_fence()

    def check_fence(self) -> None:
        """Raise FencedError if another writer has taken the directory over."""
        if self.is_superseded():
            self.has_failed = True
            raise FencedError

    def is_superseded(self) -> bool:
        """Return whether the fence file names a later writer; an unreadable file counts as no."""
        header = read_fence(self.directory, [FENCE_NAME], [])
        return header is not None and header.fence > self.fence

    def rotate(self, snapshot: bytes) -> None:
        """Begin a new generation from a snapshot of all records so far; keep the previous generation."""
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
        # An exception during the rotation leaves the writer marked as failed.
        self.has_failed = True
        self._write_snapshot(header, snapshot)
        names = self.directory.list_names()
        self._verify_snapshot(header, snapshot, names)
        self._start_log(header)
        self.generation = generation_id.number
        self.has_failed = False
        self._remove_old_files(names)

    def close(self) -> None:
        """Close the log; this writer cannot write any more."""
        if self._log is not None:
            self._log.close()
            self._log = None
        self.has_failed = True

    def _write_file(self, name: str, data: bytes) -> None:
        """Write a file atomically: write and sync a draft, rename it, and sync the directory."""
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
            raise OSError(errno.EIO, "the snapshot read back differs from the one written")

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
        """Remove generations beyond `KEPT_GENERATIONS`, and drafts that earlier writers left behind."""
        kept = layout.list_generations(names)[:KEPT_GENERATIONS]
        for name in names:
            file_name = FileName.parse(name)
            is_old = file_name is not None and file_name.generation not in kept
            fence = layout.draft_fence(name)
            # A later writer may still be writing its draft, so only drafts of earlier writers are removed.
            is_abandoned = fence is not None and fence < self.fence
            if is_old or is_abandoned:
                with contextlib.suppress(OSError):
                    self.directory.remove(name)
