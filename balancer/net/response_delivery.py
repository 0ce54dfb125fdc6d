"""Why the node cuts off a response that its client has not received completely."""

from __future__ import annotations

import enum

WRITE_STALL_TIMEOUT_S = 20.0  # A client that reads none of its response for 20 s is disconnected.


class CutReason(enum.Enum):
    """Why the node closed a client connection at once; the values are log texts."""

    MADE_ROOM = "the connection made room for a new one"
    NOT_READ = f"the client read nothing for {WRITE_STALL_TIMEOUT_S:g} s"
    LINGER_TIMEOUT = (
        f"the client had not read it {WRITE_STALL_TIMEOUT_S:g} s after the node ended the connection"
    )
