"""Input events and output actions of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.membership.messages import MemberState


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; delivered no later than `Membership.next_wakeup_ms`."""


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram arrived from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Leave:
    """The node is about to shut down gracefully, and answers peers until then."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The peer list was replaced: it has `count` nodes, and those in `replaced` have a new address."""

    count: int
    replaced: frozenset[int] = frozenset()


Event = Tick | DatagramReceived | Leave | PeersChanged


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one node, or broadcast it to the tier if `node` is None."""

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
    """The set of present members or their generations have changed; emitted at most once per event.

    `state_hash` covers the present members and their generations.
    """

    state_hash: int
    present_count: int
    has_quorum: bool
    reason: str


@dataclass(slots=True, frozen=True)
class DisagreementChanged:
    """Peers' views have differed for longer than `Config.disagreement_alert_ms`, or agree again.

    `agreement_ratio` is the fraction of the present peers heard from recently whose view equals this node's.
    """

    is_active: bool
    agreement_ratio: float


@dataclass(slots=True, frozen=True)
class SuspicionRefuted:
    """Peers claimed that this node is suspect, is dead or has left, and this node has refuted the claim."""

    claimed: MemberState


Action = SendDatagram | MemberChanged | ViewChanged | DisagreementChanged | SuspicionRefuted
