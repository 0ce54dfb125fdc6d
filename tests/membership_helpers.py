"""Builders of protocol instances, datagrams and updates for the membership tests."""

from __future__ import annotations

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import Action, DatagramReceived, SendDatagram
from balancer.membership.messages import MemberState, Message, MessageKind, Update, decode, encode

NODE_COUNT = 6
# Generation of node 0, which is the node under test.
OWN_GENERATION = 100
# Generation of all peers of the node under test.
PEER_GENERATION = 50


def membership(*known_peers: int) -> Membership:
    """Return node 0 of a small tier, which has heard from `known_peers` at 1 ms."""
    core = Membership(Config(), 0, NODE_COUNT, OWN_GENERATION, 1, 0.0)
    for peer in known_peers:
        core.handle(1.0, received(peer))
    return core


def received(
    sender: int,
    *updates: Update,
    kind: MessageKind = MessageKind.GOSSIP,
    generation: int = PEER_GENERATION,
    subject: int = 0,
) -> DatagramReceived:
    """Return the event that a peer's datagram with these updates was received."""
    return DatagramReceived(
        sender, encode(Message(kind, sender, generation, 0, 7, 0, subject, updates=updates))
    )


def alive(member: int, incarnation: int = 0, *, generation: int = PEER_GENERATION) -> Update:
    """Return an update that claims a member to be alive."""
    return Update(member, generation, incarnation, MemberState.ALIVE)


def suspect(
    member: int, incarnation: int = 0, *, accuser: int = 1, generation: int = PEER_GENERATION
) -> Update:
    """Return an update that claims a member to be suspected by `accuser`."""
    return Update(member, generation, incarnation, MemberState.SUSPECT, accuser)


def dead(member: int, incarnation: int = 0, *, generation: int = PEER_GENERATION) -> Update:
    """Return an update that claims a member to be dead."""
    return Update(member, generation, incarnation, MemberState.DEAD)


def sent(actions: list[Action], kind: MessageKind) -> list[Message]:
    """Return the sent messages of one kind, decoded from the actions of an event."""
    messages = [decode(action.data) for action in actions if isinstance(action, SendDatagram)]
    return [message for message in messages if message.kind == kind]
