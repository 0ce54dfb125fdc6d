"""Limit on the bytes of a message outside of its body: its head, the framing of chunks, trailers."""

from __future__ import annotations


class HeaderLimit:
    """Bytes received since the last progress of a message.

    httptools buffers a header or trailer of any length and calls back only at its end, so this bounds memory.
    """

    __slots__ = ("_byte_count", "_has_progressed", "_max_bytes")

    def __init__(self, max_bytes: int) -> None:
        """Create the limit of a message of which nothing has been received."""
        self._max_bytes = max_bytes
        self.reset()

    def reset(self) -> None:
        """Begin a message."""
        self._byte_count = 0
        self._has_progressed = False

    def progress(self) -> None:
        """Record that a head or a chunk of a body has been parsed; the next read counts from 0."""
        self._has_progressed = True

    def add(self, byte_count: int) -> None:
        """Count a read of `byte_count` bytes that has been parsed."""
        self._byte_count = 0 if self._has_progressed else self._byte_count + byte_count
        self._has_progressed = False

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes than allowed have been received without progress."""
        return self._byte_count > self._max_bytes
