"""Protocol instances, datagrams and updates for the tests of membership."""

from __future__ import annotations

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import Action, DatagramReceived, SendDatagram
from balancer.membership.messages import MemberState, Message, MessageKind, Update, decode, encode

NODE_COUNT = 6
OWN_GENERATION = 100  # of node 0, which is tested
PEER_GENERATION = 50  # of its peers


def membership(*known_peers: int) -> Membership:
    """Return node 0 of a small tier, which has heard of some peers by 1 ms."""
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
    """Return the event of a datagram from a peer."""
    return DatagramReceived(
        sender, encode(Message(kind, sender, generation, 0, 7, 0, subject, updates=updates))
    )


def alive(member: int, incarnation: int = 0, *, generation: int = PEER_GENERATION) -> Update:
    """Return the update that a member is alive."""
    return Update(member, generation, incarnation, MemberState.ALIVE)


def suspect(
    member: int, incarnation: int = 0, *, accuser: int = 1, generation: int = PEER_GENERATION
) -> Update:
    """Return the update that a member is suspected by another."""
    return Update(member, generation, incarnation, MemberState.SUSPECT, accuser)


def dead(member: int, incarnation: int = 0, *, generation: int = PEER_GENERATION) -> Update:
    """Return the update that a member is dead."""
    return Update(member, generation, incarnation, MemberState.DEAD)


def sent(actions: list[Action], kind: MessageKind) -> list[Message]:
    """Return the messages of a kind among some actions."""
    messages = [decode(action.data) for action in actions if isinstance(action, SendDatagram)]
    return [message for message in messages if message.kind == kind]
