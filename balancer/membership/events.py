"""What the protocol is given (events) and what it asks for (actions)."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.membership.messages import MemberState


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due at `Membership.next_wakeup_ms` at the latest."""


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram came from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Leave:
    """The node is about to shut down gracefully. It goes on answering until it does."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The peer list was replaced: `count` nodes now, those in `replaced` at another address."""

    count: int
    replaced: frozenset[int] = frozenset()


Event = Tick | DatagramReceived | Leave | PeersChanged


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one node, or broadcast it to the tier where `node` is None."""

    node: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member's state or generation has changed in this node's view."""

    member: int
    before: MemberState
    after: MemberState
    generation: int


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """The set of present members, or their generations, has changed; at most one for each event."""

    state_hash: int  # of the present members and their generations
    present_count: int
    has_quorum: bool
    reason: str


@dataclass(slots=True, frozen=True)
class DisagreementChanged:
    """Peers' views have differed for longer than `Config.disagreement_alert_ms`, or agree again."""

    is_active: bool
    agreement_ratio: float  # of the present peers heard recently


@dataclass(slots=True, frozen=True)
class SuspicionRefuted:
    """Others claimed that this node is suspect, dead or has left; it has refuted that."""

    claimed: MemberState


Action = SendDatagram | MemberChanged | ViewChanged | DisagreementChanged | SuspicionRefuted
