"""Address allocation: each run has its own block 127.S.x.y, and each pair of parties its own address in it.

Runs on one machine never share an address: the process of a run holds a file lock on its block.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from balancer.errors import BalancerError

SERVICE_PORT = 8080
FIRST_CONSOLE_PORT = 9800
MAX_NODES = 200
FIRST_BLOCK, LAST_BLOCK = 16, 250
ADDRESSES_PER_ROW = 250  # A row uses the hosts 1 to 250 of one network 127.S.x.0/24.
FIRST_BACKEND_ROW = 4
FIRST_DISCOVERY_ROW = 200
FIRST_CONSOLE_ROW = 220
FIRST_PEER_ROW = 240


class AddressError(BalancerError):
    """Raised when no address block is free, or when the fleet does not fit into one."""

    code = "LAB04"
    remedy = "run fewer nodes or backends, or wait until other runs have ended"


@dataclass(slots=True, frozen=True)
class AddressPlan:
    """The loopback addresses of one run, derived from its address block."""

    block: int
    backends: int

    def _host(self, row: int, index: int) -> str:
        return f"127.{self.block}.{row + index // ADDRESSES_PER_ROW}.{1 + index % ADDRESSES_PER_ROW}"

    def node(self, node: int) -> tuple[str, int]:
        """Return the address at which clients reach a node."""
        return self._host(0, node), SERVICE_PORT

    def backend(self, node: int, backend: int) -> tuple[str, int]:
        """Return the address at which a node reaches a backend."""
        return self._host(FIRST_BACKEND_ROW, node * self.backends + backend), SERVICE_PORT

    def discovery(self, node: int, moves: int = 0) -> tuple[str, int]:
        """Return the address at which a node reaches discovery after `moves` moves of discovery."""
        return self._host(FIRST_DISCOVERY_ROW, node), SERVICE_PORT + moves

    def console(self, node: int, process: int) -> tuple[str, int]:
        """Return the console address of a node's process."""
        return self._host(FIRST_CONSOLE_ROW, node), FIRST_CONSOLE_PORT + process

    def peer(self, node: int) -> tuple[str, int]:
        """Return the address at which a node receives datagrams."""
        return self._host(FIRST_PEER_ROW, node), SERVICE_PORT

    def relay(self, local: int, remote: int) -> tuple[str, int]:
        """Return the relay address through which node `local` exchanges datagrams with node `remote`."""
        return self._host(FIRST_PEER_ROW, local), SERVICE_PORT + 1 + remote


class AddressBlock:
    """File lock on an address block, held until `close` or until the process ends."""

    def __init__(self, nodes: int, backends: int) -> None:
        """Lock a free block; raises AddressError if none is free or if the fleet does not fit."""
        if (
            nodes * backends > (FIRST_DISCOVERY_ROW - FIRST_BACKEND_ROW) * ADDRESSES_PER_ROW
            or nodes > MAX_NODES
        ):
            raise AddressError(
                f"{nodes} nodes with {backends} backends each need more addresses than one address block has"
            )
        folder = Path(tempfile.gettempdir()) / f"balancer-lab-{os.getuid()}"
        folder.mkdir(mode=0o700, exist_ok=True)
        # The process ID decides where the search for a free block starts: sockets of a run that has just
        # ended may still hold addresses of its block.
        count = LAST_BLOCK - FIRST_BLOCK + 1
        for step in range(count):
            block = FIRST_BLOCK + (os.getpid() + step) % count
            self.lock = os.open(folder / f"block-{block}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self.lock)
                continue
            self.addresses = AddressPlan(block, backends)
            return
        raise AddressError("no address block is free: other runs hold the locks of all of them")

    def close(self) -> None:
        """Release the lock on the block."""
        os.close(self.lock)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"
