"""Files of a state directory: names, magic bytes and headers.

A generation consists of a snapshot `snap-GENERATION-FENCE` and of the log `log-GENERATION-FENCE` with the
records after it. The file `fence` holds the fencing token of the current writer. A file is written under the
temporary name `draft-NAME-FENCE` and renamed once it is complete.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from balancer.durable import frames
from balancer.errors import BalancerError

VERSION = 1
FENCE_NAME = "fence"
DRAFT_PREFIX = "draft-"
MAX_HEADER_BYTES = 4096
# The header frame of a file has number 0, so the parser is called as if it followed number -1.
NUMBER_BEFORE_HEADER = -1
FILE_NAME = re.compile(r"(snap|log)-(\d{12})-(\d{8})")


class FileKind(StrEnum):
    """Kind of a file; the value is the prefix of its name."""

    SNAPSHOT = "snap"
    LOG = "log"
    FENCE = "fence"


# The magic bytes contain the former name of the program, because existing files must stay readable.
MAGIC = {
    FileKind.SNAPSHOT: b"dillport snap\n",
    FileKind.LOG: b"dillport  log\n",
    FileKind.FENCE: b"dillport fenc\n",
}


class IncompatibleDirectoryError(BalancerError):
    """The state directory belongs to another node or was written by a newer version; it was not changed."""

    code = "STA01"
    remedy = "set durable.directory to a directory of this node alone, or start the version that wrote it"


class InvalidFileError(Exception):
    """A file is corrupt; the reader reports it and continues with the other files."""


@dataclass(frozen=True, order=True)
class GenerationId:
    """Identity of a generation; generations are ordered by writer, then by number."""

    fence: int
    number: int


@dataclass(frozen=True)
class FileName:
    """Components of the name of a snapshot or log file."""

    kind: FileKind
    generation: GenerationId

    @classmethod
    def parse(cls, name: str) -> FileName | None:
        """Return the components of a file name, or None if it does not name a snapshot or log."""
        found = FILE_NAME.fullmatch(name)
        if found is None:
            return None
        kind, number, fence = found.groups()
        return cls(FileKind(kind), GenerationId(int(fence), int(number)))

    def __str__(self) -> str:
        """Return the file name."""
        return f"{self.kind}-{self.generation.number:012d}-{self.generation.fence:08d}"


def list_generations(names: Sequence[str]) -> list[GenerationId]:
    """Return the generations that have at least one file in `names`, newest first."""
    parsed = map(FileName.parse, names)
    return sorted({name.generation for name in parsed if name is not None}, reverse=True)


def draft_name(name: str, fence: int) -> str:
    """Return the temporary name of a file that the writer with this fencing token is writing."""
    return f"{DRAFT_PREFIX}{name}-{fence}"


def draft_fence(name: str) -> int | None:
    """Return the fencing token in the name of a draft, or None for any other name."""
    fence = name.rpartition("-")[2] if name.startswith(DRAFT_PREFIX) else ""
    return int(fence) if fence.isdecimal() else None


class Header(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each file: the directory that owns the file, and the file's position in the log.

    The directory id is drawn when a directory is first used, so that files from another one are detected.
    `number` and `chain` are those of the last record before the file. The order of the fields is part of the
    file format.
    """

    version: int
    directory_id: str
    node: str
    fence: int
    generation: int = 0
    number: int = 0
    chain: int = 0

    @property
    def generation_id(self) -> GenerationId:
        """Return the identity of the generation that the file belongs to."""
        return GenerationId(self.fence, self.generation)

    def has_same_owner(self, other: Header) -> bool:
        """Return whether two files belong to the same directory and node."""
        return (self.directory_id, self.node) == (other.directory_id, other.node)


def encode_file_start(kind: FileKind, header: Header) -> bytes:
    """Return the magic bytes and the header frame of a new file."""
    magic = MAGIC[kind]
    frame = frames.make_frame(0, 0, frames.crc32c(magic), msgspec.msgpack.encode(header))
    return magic + frames.encode_frame(frame)


@dataclass(frozen=True)
class FileStart:
    """Decoded header of a file, and the offset of the first byte after it."""

    header: Header
    end: int


def decode_file_start(data: bytes, kind: FileKind) -> FileStart:
    """Decode the magic bytes and header of a file.

    Raises:
        InvalidFileError: The magic bytes or the header are corrupt.
        IncompatibleDirectoryError: A newer version wrote the file.
    """
    magic = MAGIC[kind]
    if data[: len(magic)] != magic:
        raise InvalidFileError("the file does not start with the magic bytes of its kind")
    limit = len(magic) + MAX_HEADER_BYTES
    parsed = frames.parse_frames(data[:limit], len(magic), NUMBER_BEFORE_HEADER, frames.crc32c(magic))
    if not parsed.frames:
        raise InvalidFileError("the file header is missing or damaged")
    payload = parsed.frames[0].payload
    try:
        version = msgspec.msgpack.decode(payload, type=list[object])[0]
        if isinstance(version, int) and version > VERSION:
            raise IncompatibleDirectoryError(
                f"the file has format version {version}, this program reads up to {VERSION}"
            )
        header = msgspec.msgpack.decode(payload, type=Header)
    except (msgspec.MsgspecError, IndexError):
        raise InvalidFileError("the file header cannot be decoded") from None
    return FileStart(header, len(magic) + frames.HEADER.size + len(payload))
