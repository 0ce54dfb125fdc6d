"""Files of a state directory: their names, magic bytes and headers.

A generation is a snapshot `snap-GENERATION-FENCE` and the log `log-GENERATION-FENCE` of the records after it.
The file `fence` holds the fencing token of the writer that may write. A file in the making is a draft,
`draft-NAME-FENCE`.
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
NUMBER_BEFORE_HEADER = -1  # so that the header's frame has number 0
FILE_NAME = re.compile(r"(snap|log)-(\d{12})-(\d{8})")


class FileKind(StrEnum):
    """The kinds of files, by the beginning of their names."""

    SNAPSHOT = "snap"
    LOG = "log"
    FENCE = "fence"


# The magic bytes hold the program's former name: files outlive a rename.
MAGIC = {
    FileKind.SNAPSHOT: b"dillport snap\n",
    FileKind.LOG: b"dillport  log\n",
    FileKind.FENCE: b"dillport fenc\n",
}


class IncompatibleDirectoryError(BalancerError):
    """The directory is another node's or a newer program's. Nothing in it was changed."""

    code = "STA01"
    remedy = "let durable.directory name one that is this node's alone, or start the version that wrote it"


class InvalidFileError(Exception):
    """A file is not as it was written; the reader reports it and goes on with the others."""


@dataclass(frozen=True, order=True)
class GenerationId:
    """Identity of a generation; all generations of a later writer come after those of an earlier one."""

    fence: int
    number: int


@dataclass(frozen=True)
class FileName:
    """The parts of the name of a snapshot or log."""

    kind: FileKind
    generation: GenerationId

    @classmethod
    def parse(cls, name: str) -> FileName | None:
        """Return the parts of a name, or None if it is not that of a snapshot or log."""
        found = FILE_NAME.fullmatch(name)
        if found is None:
            return None
        kind, number, fence = found.groups()
        return cls(FileKind(kind), GenerationId(int(fence), int(number)))

    def __str__(self) -> str:
        """Return the name."""
        return f"{self.kind}-{self.generation.number:012d}-{self.generation.fence:08d}"


def list_generations(names: Sequence[str]) -> list[GenerationId]:
    """Return the generations of which there is a file, newest first."""
    parsed = map(FileName.parse, names)
    return sorted({name.generation for name in parsed if name is not None}, reverse=True)


def draft_name(name: str, fence: int) -> str:
    """Return the name of a file while the writer with this fencing token makes it."""
    return f"{DRAFT_PREFIX}{name}-{fence}"


def draft_fence(name: str) -> int | None:
    """Return the fencing token of the writer of a draft, or None if the name is not that of a draft."""
    fence = name.rpartition("-")[2] if name.startswith(DRAFT_PREFIX) else ""
    return int(fence) if fence.isdecimal() else None


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of each file: the directory it belongs to and its position. The order is fixed."""

    version: int
    directory_id: str  # drawn when the directory was first used, so that files of another one are detected
    node: str
    fence: int
    generation: int = 0
    number: int = 0  # of the last record before this file
    chain: int = 0  # of that record

    @property
    def generation_id(self) -> GenerationId:
        """Return the identity of the generation."""
        return GenerationId(self.fence, self.generation)

    def has_owner_of(self, other: Header) -> bool:
        """Return whether both files belong to the same directory and node."""
        return (self.directory_id, self.node) == (other.directory_id, other.node)


def encode_file_start(kind: FileKind, header: Header) -> bytes:
    """Return the magic bytes and header with which a file starts."""
    magic = MAGIC[kind]
    frame = frames.make_frame(0, 0, frames.crc32c(magic), msgspec.msgpack.encode(header))
    return magic + frames.encode_frame(frame)


@dataclass(frozen=True)
class FileStart:
    """The header of a file and the offset at which it ends."""

    header: Header
    end: int


def decode_file_start(data: bytes, kind: FileKind) -> FileStart:
    """Decode the magic bytes and header of a file.

    Raises:
        InvalidFileError: They are not as they were written.
        IncompatibleDirectoryError: A newer program wrote them.
    """
    magic = MAGIC[kind]
    if data[: len(magic)] != magic:
        raise InvalidFileError("its first bytes are not those of such a file")
    limit = len(magic) + MAX_HEADER_BYTES
    parsed = frames.parse_frames(data[:limit], len(magic), NUMBER_BEFORE_HEADER, frames.crc32c(magic))
    if not parsed.frames:
        raise InvalidFileError("its header is invalid")
    payload = parsed.frames[0].payload
    try:
        version = msgspec.msgpack.decode(payload, type=list[object])[0]
        if isinstance(version, int) and version > VERSION:
            raise IncompatibleDirectoryError(
                f"it is of version {version}, this program reads up to {VERSION}"
            )
        header = msgspec.msgpack.decode(payload, type=Header)
    except (msgspec.MsgspecError, IndexError):
        raise InvalidFileError("its header is invalid") from None
    return FileStart(header, len(magic) + frames.HEADER.size + len(payload))
