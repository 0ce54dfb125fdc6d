"""Flow control for streamed bodies, and the memory budget that they share."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # Bodies over 64 KiB are streamed instead of buffered.
MAX_BODY_BYTES = 32 * 1024 * 1024  # Request and response bodies over 32 MiB are rejected.
# A streamed request body can be sent again in a retry until more than two windows of it have been sent.
REPLAY_WINDOWS = 2
MIN_WINDOW_BYTES = 8 * 1024
MAX_WINDOW_BYTES = 64 * 1024
MAX_REPLAY_BYTES = REPLAY_WINDOWS * MAX_WINDOW_BYTES
# A stream holds the queued bytes, the bytes just read, their framed copy, and what a retry would send.
BUFFERS_PER_STREAM = 3 + REPLAY_WINDOWS
# A process uses 22 MB of memory without any bodies, including endpoint lists and small requests.
BASE_MEMORY_MB = 22
MIN_BUFFERED_BYTES = 1024 * 1024  # Under the smallest memory limits, short bodies share 1 MiB.
UPGRADE_PROCESS_COUNT = 2  # Two processes share the memory limit of the node during an upgrade.
# Allocators do not return all freed memory, so only half of it is planned for bodies.
USABLE_FRACTION = 1 / 2

# All reads share this buffer, because each read is copied out before the next one.
_read_buffer = memoryview(bytearray(MAX_WINDOW_BYTES))


class StreamMemory:
    """Memory budget for streamed bodies, divided evenly among the streams in progress.

    `window_bytes` is the high watermark of each stream's buffer and the maximum size of a read. The
    request bodies that are buffered whole have a budget of the same size.
    """

    def __init__(self, memory_mb: float) -> None:
        """Create the budget of a process in a node that may use `memory_mb`."""
        available_mb = max(0.0, memory_mb / UPGRADE_PROCESS_COUNT - BASE_MEMORY_MB)
        self.total_bytes = available_mb * USABLE_FRACTION * 1024 * 1024
        self.stream_count = 0
        self._buffered_bytes = 0  # Size of the request bodies that are buffered, or were until their answer.

    def buffer(self, byte_count: int) -> bool:
        """Add bytes of a request body to the buffered ones; return False if the budget is exhausted."""
        if self._buffered_bytes + byte_count > max(self.total_bytes, MIN_BUFFERED_BYTES):
            return False
        self._buffered_bytes += byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Take bytes of a request body off the buffered ones."""
        self._buffered_bytes -= byte_count

    @property
    def stream_count(self) -> int:
        """Number of streamed request and response bodies in progress."""
        return self._stream_count

    @stream_count.setter
    def stream_count(self, count: int) -> None:
        self._stream_count = count
        # The window is computed at each change of the count, because `read_buffer` is called for every read.
        fair_share = self.total_bytes / (BUFFERS_PER_STREAM * max(1, count))
        self.window_bytes = int(min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, fair_share)))
        self._view = _read_buffer[: self.window_bytes]

    def read_buffer(self) -> memoryview:
        """Return the buffer for the next read."""
        return self._view

    def copy_read(self, count: int) -> bytes:
        """Return a copy of the first `count` bytes of the buffer, which were just read."""
        return bytes(_read_buffer[:count])


class Upload:
    """Streamed request body, passed from a client to one backend connection at a time."""

    def __init__(self, size: int | None, memory: StreamMemory, set_reading: Callable[[bool], None]) -> None:
        """Begin a body of `size` bytes, if known; `set_reading` resumes or pauses reading from the client."""
        self.size = size
        self.is_complete = False  # True once the complete body has been received.
        # True once the start of the body is no longer buffered, so that no further attempt is possible.
        self.is_prefix_dropped = False
        self._memory = memory
        self._set_reading = set_reading
        self._replay = bytearray()  # Bytes that an attempt has sent, kept for a retry.
        self._pending = bytearray()  # Received bytes that no attempt has sent yet.
        self._paused = False
        self._discarded = False
        self._on_data: Callable[[], None] | None = None  # Callback of the attached attempt; None without one.
        memory.stream_count += 1

    def feed(self, data: bytes | bytearray) -> None:
        """Add received bytes; pause reading from the client at the high watermark."""
        if self._discarded:
            return
        self._pending += data
        if self._on_data is not None:
            self._on_data()
        if len(self._pending) >= self._memory.window_bytes and not self._paused:
            self._paused = True
            self._set_reading(False)

    def complete(self) -> None:
        """Mark the body as received completely."""
        if not self.is_complete and not self._discarded:
            self.is_complete = True
            if self._on_data is not None:
                self._on_data()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Restart the body for an attempt while its prefix is buffered; `on_data` signals new bytes."""
        self._pending[:0] = self._replay
        self._replay.clear()
        self._on_data = on_data

    def detach(self) -> None:
        """Detach the current attempt from the upload."""
        self._on_data = None

    def take(self) -> bytes:
        """Return the bytes to send next, and resume reading from the client."""
        data = bytes(self._pending)
        self._pending.clear()
        if not self.is_prefix_dropped:
            self._replay += data
            if len(self._replay) > REPLAY_WINDOWS * self._memory.window_bytes:
                self._replay = bytearray()
                self.is_prefix_dropped = True
        self._resume()
        return data

    def discard(self) -> None:
        """Release the buffers; bytes that still arrive from the client are read and dropped."""
        if not self._discarded:
            self._discarded = True
            self._on_data = None
            self._replay = bytearray()
            self._pending = bytearray()
            self._memory.stream_count -= 1
            self._resume()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._set_reading(True)
