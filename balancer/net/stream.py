"""Flow control of bodies that are too long to be buffered, and the memory that they share."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer body is streamed
MAX_BODY_BYTES = 32 * 1024 * 1024  # of a request or a response
MAX_REPLAY_BYTES = 2 * MAX_BUFFERED_BODY_BYTES  # of a streamed request body that are buffered for a retry
MIN_WINDOW_BYTES = 8 * 1024
MAX_WINDOW_BYTES = 64 * 1024
BUFFERS_PER_STREAM = 3  # of a window each: what waits, what was just read, and its framed copy
BASE_MEMORY_MB = 22  # of a process without any bodies, including lists and small requests
UPGRADE_PROCESS_COUNT = 2  # processes that share the memory limit during an upgrade
USABLE_FRACTION = 1 / 2  # of the memory for bodies: allocators do not give all back

_read_buffer = memoryview(bytearray(MAX_WINDOW_BYTES))  # shared by all reads: each is copied out at once


class StreamMemory:
    """The memory for streamed bodies, divided evenly among the streams under way.

    `window_bytes` is the high watermark of one stream's buffer, and the size of the largest read.
    """

    def __init__(self, memory_mb: float) -> None:
        """Share out what a process that may use `memory_mb` has for bodies."""
        available_mb = max(0.0, memory_mb / UPGRADE_PROCESS_COUNT - BASE_MEMORY_MB)
        self.total_bytes = available_mb * USABLE_FRACTION * 1024 * 1024
        self.stream_count = 0

    @property
    def stream_count(self) -> int:
        """Number of streamed request and response bodies under way."""
        return self._stream_count

    @stream_count.setter
    def stream_count(self, count: int) -> None:
        self._stream_count = count
        # Computed here, not in `read_buffer`, which every read calls.
        fair_share = self.total_bytes / (BUFFERS_PER_STREAM * max(1, count))
        self.window_bytes = int(min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, fair_share)))
        self._view = _read_buffer[: self.window_bytes]

    def read_buffer(self) -> memoryview:
        """Return the buffer for the next read."""
        return self._view

    def copy_read(self, count: int) -> bytes:
        """Return a copy of the `count` bytes that were just read into the buffer."""
        return bytes(_read_buffer[:count])


class Upload:
    """A streamed request body on its way from one client to one backend connection at a time."""

    def __init__(self, size: int | None, memory: StreamMemory, set_reading: Callable[[bool], None]) -> None:
        """Begin a body of `size` bytes, if known; `set_reading` resumes or pauses reading from the client."""
        self.size = size
        self.is_complete = False  # all of it has been received
        self.is_prefix_dropped = False  # its beginning is no longer buffered, so no attempt may begin
        self._memory = memory
        self._set_reading = set_reading
        self._replay = bytearray()  # what an attempt has taken, for the next one
        self._pending = bytearray()  # what no attempt has taken
        self._paused = False
        self._discarded = False
        self._on_data: Callable[[], None] | None = None  # of the attached attempt
        memory.stream_count += 1

    def feed(self, data: bytes | bytearray) -> None:
        """Add received bytes; pauses the client at the high watermark."""
        if self._discarded:
            return
        self._pending += data
        if self._on_data is not None:
            self._on_data()
        if len(self._pending) >= self._memory.window_bytes and not self._paused:
            self._paused = True
            self._set_reading(False)

    def complete(self) -> None:
        """Note that the last byte was received."""
        if not self.is_complete and not self._discarded:
            self.is_complete = True
            if self._on_data is not None:
                self._on_data()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Start an attempt at the first byte, unless it is dropped; `on_data` is called for more bytes."""
        self._pending[:0] = self._replay
        self._replay.clear()
        self._on_data = on_data

    def detach(self) -> None:
        """End the attempt."""
        self._on_data = None

    def take(self) -> bytes:
        """Return the bytes that the attempt may write next, and let the client go on."""
        data = bytes(self._pending)
        self._pending.clear()
        if not self.is_prefix_dropped:
            self._replay += data
            if len(self._replay) > MAX_REPLAY_BYTES:
                self._replay = bytearray()
                self.is_prefix_dropped = True
        self._resume()
        return data

    def discard(self) -> None:
        """Free the memory: what still comes from the client is read and dropped."""
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
