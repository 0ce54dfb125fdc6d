"""The core of a tier's return: its register's laws, its datagrams, then its phases under a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import zlib
from collections import Counter
from collections.abc import Mapping
from typing import Any, TypeVar

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.recovery.actions import (
    Action,
    ApplyBan,
    CapacityGranted,
    PersistEntries,
    PhaseEntered,
    RequestList,
    RestrictSavedList,
    SendDatagram,
)
from balancer.recovery.ban_register import BUCKET_COUNT, BanEntry, BanRegister
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.demand_share import demand_weighted_share
from balancer.recovery.events import (
    BanRequested,
    DatagramReceived,
    DemandMeasured,
    DiskRead,
    Event,
    ListReceived,
    MembershipChanged,
    PeersChanged,
    SavedListLoaded,
    ShutdownStarted,
    StateInherited,
    Tick,
    WriteCompleted,
)
from balancer.recovery.messages import (
    MAX_DATAGRAM_BYTES,
    Digest,
    ListFilter,
    Message,
    MessageError,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
    UnknownKindError,
    decode,
    encode,
)
from balancer.recovery.phases import Phase, RecoveryPath, established_peers
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.trust import TRUST_TABLE, StateKind, TrustLevel, TrustRule

A = TypeVar("A", bound=Action)

NOW = 100_000.0
rows = st.builds(
    BanEntry, st.sampled_from(["a", "b", "c"]), st.integers(0, 3), st.integers(0, 2), st.integers(0, 3),
    st.booleans(), st.sampled_from([-math.inf, 0.0, NOW]),
)  # fmt: skip
many = st.lists(rows, max_size=12)
u8, u16, u32 = st.integers(0, 255), st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)
states = st.builds(
    NodeStatus,
    u32,
    u32.map(float),
    u8,
    u8,
    st.integers(0, 31).map(StatusFlag),
    u32,
    u32.map(lambda v: v / 10),
    st.integers(0, 2**32 - 2).map(lambda v: v / 10) | st.just(math.inf),
    u16,
    st.integers(0, 2**300),
)
sent = st.builds(
    RegisterPage,
    st.lists(rows, max_size=9).map(tuple),
    u32,
    u16,
    st.integers(0, 3),
    st.integers(4, 9),
    st.booleans(),
)
filters = st.builds(ListFilter, u32, st.integers(1, 9), st.binary(min_size=1, max_size=200))
digests = st.lists(u32, min_size=BUCKET_COUNT, max_size=BUCKET_COUNT).map(tuple).map(Digest)
messages = st.one_of(
    st.builds(
        Message,
        st.sampled_from([MessageKind.SURVEY, MessageKind.STATUS]),
        u16,
        st.integers(0, 2**64 - 1),
        states,
    ),
    st.builds(Message, st.just(MessageKind.DIGEST), u16, st.integers(0, 2**64 - 1), digests),
    st.builds(Message, st.just(MessageKind.ENTRIES), u16, st.integers(0, 2**64 - 1), sent),
    st.builds(Message, st.just(MessageKind.LIST_FILTER), u16, st.integers(0, 2**64 - 1), filters),
)


def register(*parts: list[BanEntry]) -> BanRegister:
    out = BanRegister(9, 1)
    for part in parts:
        out.merge(part)
    return out


def said(of: BanRegister) -> list[tuple[object, ...]]:
    """All rows, but for their ages, which order nothing."""
    return [row[:5] for row in of.entries()]


# --- register


@given(many, many, many)
def test_joins_commute_associate_and_are_idempotent(
    one: list[BanEntry], two: list[BanEntry], three: list[BanEntry]
) -> None:
    a, b = register(one, two, three), register(three, two, one, two)
    assert said(a) == said(b) and a.hash == b.hash and a.buckets == b.buckets
    assert not a.merge(b.entries()) and not b.merge(one)  # an old state changes nothing


@given(many, many)
def test_hashes_are_equal_exactly_where_rows_are(one: list[BanEntry], two: list[BanEntry]) -> None:
    a, b = register(one), register(two)
    assert (a.hash == b.hash) == (a.buckets == b.buckets) == (said(a) == said(b))


def test_a_ban_and_a_return_at_the_same_time_end_in_the_ban() -> None:
    one, two = BanRegister(1, 1), BanRegister(2, 1)
    one.commit([one.new_ban("a", 0.0)])
    two.merge(one.entries())
    again = one.new_ban("a", 5.0)  # a second word, that the return below does not know of
    two.commit(two.new_lift("a", 5.0))
    one.commit([again])
    one.merge(two.entries())
    two.merge(one.entries())
    assert one.is_banned("a") and two.is_banned("a") and one.hash == two.hash
    one.commit(one.new_lift("a", 9.0))
    two.merge(one.entries())
    assert not two.bans() and two.since("a") == 9.0


@given(st.lists(rows.map(lambda r: r._replace(node=0)), max_size=9), st.integers(0, 3))
def test_a_former_life_covers_no_ban_of_this_one(former: list[BanEntry], life: int) -> None:
    """The disk was lost, so lives begin anew: peers know rows of this node with greater counters."""
    here, there = BanRegister(0, life, sequence=1), register(former)
    here.commit([here.new_ban("a", 0.0)])
    there.merge(here.entries())
    here.merge(former)
    there.merge(here.entries())
    here.merge(there.entries())
    assert here.is_banned("a") and there.is_banned("a") and here.hash == there.hash
    late = here.new_ban("b", 1.0)
    here.commit([late])
    there.merge(here.entries())
    assert there.get("b", 0) == late


def test_a_call_that_waits_for_the_disk_is_issued_anew_above_a_former_life() -> None:
    here = BanRegister(0, 1)
    waiting = here.new_ban("a", 0.0)
    here.merge([BanEntry("a", 0, 7, 3, False, 0.0)])
    (again,) = here.commit([waiting])
    assert not here.is_banned("a") and again.counter > (7, 3)
    assert not here.commit([again]) and here.is_banned("a")


def test_no_counter_can_keep_a_node_from_its_bans() -> None:
    here = BanRegister(0, 1)
    here.merge([BanEntry("a", 0, 2**32 - 1, 0, False, 0.0), BanEntry("a", 0, 5, 2**32 - 1, False, 0.0)])
    assert not here.entries() and here.counts["impossible"] == 2
    here.merge([BanEntry("a", 0, 2**32 - 3, 2**32 - 2, False, 0.0)])
    here.commit([here.new_ban("a", 0.0)])
    assert here.is_banned("a")


# --- datagrams


@given(messages)
def test_a_datagram_is_read_as_it_was_written(message: Message) -> None:
    data = encode(message, NOW)
    assert len(data) <= MAX_DATAGRAM_BYTES and decode(data, NOW) == message
    assert decode(data, NOW + 5).hash == message.hash


@given(messages, st.data())
def test_a_flipped_bit_is_refused(message: Message, data: st.DataObject) -> None:
    bad = bytearray(encode(message, NOW))
    bit = data.draw(st.integers(0, len(bad) * 8 - 1))
    bad[bit // 8] ^= 1 << bit % 8
    with pytest.raises(MessageError):
        decode(bytes(bad), NOW)


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_an_error(data: bytes) -> None:
    for one in (data, zlib.crc32(data).to_bytes(4, "big") + data):
        try:
            decode(one, NOW)
        except MessageError:
            continue


def changed(data: bytes, at: int, value: int) -> bytes:
    body = bytearray(data[4:])
    body[at - 4] = value
    return zlib.crc32(body).to_bytes(4, "big") + bytes(body)


@given(messages, st.binary(max_size=9))
def test_later_versions_are_read_as_far_as_they_are_known(message: Message, more: bytes) -> None:
    data = changed(encode(message, NOW), 4, 2)[4:] + more
    data = zlib.crc32(data).to_bytes(4, "big") + data
    if len(data) <= MAX_DATAGRAM_BYTES:
        assert decode(data, NOW) == message
    with pytest.raises(UnknownKindError):
        decode(changed(encode(message, NOW), 5, 30), NOW)


# --- whole tiers


class Tier:
    """Cores under a virtual clock; datagrams take 1 ms, and some are lost. Disks sync at once."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.count, self.loss, self.random, self.now = count, loss, random.Random(seed), 0.0
        self.nodes: dict[int, Recovery] = {}
        self.disks: dict[int, tuple[BanEntry, ...]] = {}
        self.acts: dict[int, list[tuple[float, Action]]] = {n: [] for n in range(count)}
        self.side: dict[int, int] = {}  # partitions: nodes of different sides do not hear each other
        self.members = True
        self._mail: list[tuple[float, int, int, int, bytes]] = []
        self._number = 0

    def start(
        self, node: int, number: int = 1, table: Mapping[StateKind, TrustRule] = TRUST_TABLE, **kept: Any
    ) -> Recovery:
        """A process of a node, in its life of that number."""
        core = Recovery(RecoveryConfig(), node, self.count, number, node + 100 * number, self.now, table)
        self.nodes[node] = core
        self.acts[node] = []
        given: dict[str, Any] = {"sound": True, "fresh_disk": False, "entries": self.disks.get(node, ())}
        self.event(node, DiskRead(**{**given, **kept}))
        return core

    def event(self, node: int, event: Event) -> None:
        for act in self.nodes[node].handle(self.now, event):
            self.acts[node].append((self.now, act))
            if isinstance(act, SendDatagram):
                self._send(node, act)
            elif isinstance(act, PersistEntries):
                self.disks[node] = (*self.disks.get(node, ()), *act.entries)
                if act.token is not None:
                    self.event(node, WriteCompleted(act.token, True))

    def _send(self, sender: int, act: SendDatagram) -> None:
        for node in range(self.count) if act.node is None else [act.node]:
            apart = self.side.get(node, 0) != self.side.get(sender, 0)
            if node != sender and not apart and self.random.random() >= self.loss:
                self._number += 1
                heapq.heappush(self._mail, (self.now + 1.0, self._number, node, sender, act.data))

    def see(self) -> None:
        """Membership finds out who is there."""
        for node, core in self.nodes.items():
            there = {n: c.register.counter.incarnation for n, c in self.nodes.items()
                     if self.side.get(n, 0) == self.side.get(node, 0)}  # fmt: skip
            if core.phase > Phase.VERIFY:
                self.event(node, MembershipChanged(there, 2 * len(there) > self.count))

    def run(self, ms: float) -> None:
        until = self.now + ms
        steps = 0
        while (
            at := min(
                [m[0] for m in self._mail[:1]] + [c.next_wakeup for c in self.nodes.values()] + [math.inf]
            )
        ) <= until:
            steps += 1
            assert steps < 1_000_000, "a node is due for ever"
            self.now = max(self.now, at)
            while self._mail and self._mail[0][0] <= self.now:
                _, _, node, sender, data = heapq.heappop(self._mail)
                if node in self.nodes:
                    self.event(node, DatagramReceived(sender, data))
            for node, core in sorted(self.nodes.items()):
                if core.next_wakeup <= self.now:
                    self.event(node, Tick())
        self.now = until

    def _next(self, until: float) -> float:
        mail = (letter[0] for letter in self._mail[:1])
        return min((until + 1, *mail, *(core.next_wakeup for core in self.nodes.values())))

    def of(self, node: int, kind: type[A]) -> list[A]:
        return [act for _, act in self.acts[node] if isinstance(act, kind)]

    def phases(self) -> set[Phase]:
        return {core.phase for core in self.nodes.values()}

    def paths(self) -> set[RecoveryPath]:
        return {core.path for core in self.nodes.values()}


def returned(count: int, seed: int = 1, loss: float = 0.0, spread: float = 200.0, **kept: Any) -> Tier:
    """A tier that comes back together, until its roll calls are over."""
    tier = Tier(count, seed, loss)
    for node in range(count):
        tier.start(node, **kept)
        tier.run(spread / count)
    tier.see()
    tier.run(2_100)
    return tier


def settled(count: int, **kept: Any) -> Tier:
    """A tier that went on for long."""
    tier = returned(count, **kept)
    for node in range(count):
        tier.event(node, ListReceived(5, (-20_000.0,), ("a", "b")))
    tier.run(70_000)
    assert tier.phases() == {Phase.FULL}
    return tier


OUT = BanEntry("a", 3, 1, 7, True, -9000.0)


def test_a_tier_that_returns_together_learns_bans_that_one_disk_knew() -> None:
    tier = Tier(16, loss=0.1)
    for node in range(16):
        tier.start(node, entries=(OUT,) if node == 3 else (), fresh_disk=node != 3)
        tier.run(10)
    tier.see()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.POWER} and tier.phases() == {Phase.LISTED}
    for node in range(16):
        (banned,) = [at for at, act in tier.acts[node] if isinstance(act, ApplyBan)]
        (listed,) = [
            at for at, act in tier.acts[node] if isinstance(act, PhaseEntered) and act.phase > Phase.ASK
        ]
        assert banned <= listed, node


def test_phases_follow_each_other_by_discovery_and_the_ramp() -> None:
    tier = returned(4)
    told = tier.now
    for node in range(4):
        tier.event(node, ListReceived(5, (told - 1000.0,)))
    assert tier.phases() == {Phase.WARMING}
    assert [e.phase for e in tier.of(0, PhaseEntered)] == [Phase.ASK, Phase.LISTED, Phase.WARMING]
    tier.run(6_990)
    assert all(core.phase is Phase.WARMING for core in tier.nodes.values())
    tier.run(20)
    assert tier.phases() == {Phase.FULL}
    (admit,) = tier.of(3, CapacityGranted)
    assert admit.share == 0.25 and admit.cold_since == tier.nodes[3].context.started_at


def test_without_discovery_and_peers_a_node_is_full_in_the_stated_time_and_says_why() -> None:
    tier = Tier(5)
    tier.start(0)
    tier.run(999)
    assert tier.phases() == {Phase.ASK}
    tier.run(2)
    assert (tier.nodes[0].phase, tier.nodes[0].path) == (Phase.LISTED, RecoveryPath.ALONE)
    tier.run(24_000)
    assert tier.nodes[0].phase is Phase.FULL
    assert "no peer answers" in tier.of(0, PhaseEntered)[1].reason
    assert "discovery does not answer" in tier.of(0, PhaseEntered)[2].reason
    calls = [at for at, act in tier.acts[0] if isinstance(act, RequestList)]
    assert len(calls) > 2 and min(b - a for a, b in itertools.pairwise(calls)) >= 1000
    (admit,) = tier.of(0, CapacityGranted)
    assert admit.share == 0.2


def test_a_crash_among_live_peers_waits_for_two_answers_only() -> None:
    tier = settled(16, entries=(OUT,))
    del tier.nodes[5]
    tier.run(30_000)
    since = tier.now
    core = tier.start(5, 2, entries=(), fresh_disk=True)
    tier.run(30)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH) and core.register.is_banned("a")
    entered = [(at - since, act) for at, act in tier.acts[5] if isinstance(act, PhaseEntered)]
    assert [act.phase for _, act in entered] == [Phase.ASK, Phase.LISTED, Phase.WARMING, Phase.FULL]
    assert entered[-1][0] < 20 and not tier.of(5, CapacityGranted) and len(tier.of(5, RequestList)) == 1


def test_a_crash_is_told_though_one_peer_missed_that_the_other_is_full() -> None:
    """Guards against a `split` where a datagram was lost: that peer takes the other for returning."""
    tier = settled(3)
    del tier.nodes[2]
    old = NodeStatus(1, 100_000.0, Phase.WARMING, 0, StatusFlag(0), 5, 0.0, math.inf, 0, 0b111)
    tier.event(
        1,
        DatagramReceived(
            0, encode(Message(MessageKind.STATUS, 0, tier.nodes[0].register.hash, old), tier.now)
        ),
    )
    core = tier.start(2, 2)
    tier.run(300)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_who_says_full_counts_as_running_and_fewer_than_half_are_no_tier() -> None:
    say = [
        NodeStatus(1, 1e5, Phase.FULL, 0, StatusFlag(0), 5, 0.0, math.inf, young, 0b111) for young in (2, 2)
    ]
    assert established_peers(say[:1], 3) == [] and established_peers(say, 3) == say
    assert established_peers(say, 4) == say and established_peers(say, 5) == []


def test_a_restart_of_all_one_by_one_is_no_power_cut() -> None:
    tier = settled(6)
    for node in range(6):
        core = tier.start(node, 2)
        tier.run(1_500)
        assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_two_that_lived_on_do_not_make_a_power_cut_a_crash() -> None:
    tier = settled(8)
    for node in range(2, 8):
        del tier.nodes[node]
    tier.see()
    tier.run(10_000)
    for node in range(2, 8):
        tier.start(node, 2)
        tier.run(100)
    tier.run(2_100)
    assert all(tier.nodes[node].path in (RecoveryPath.POWER, RecoveryPath.SPLIT) for node in range(2, 8))


def test_halves_that_return_apart_are_split_until_they_meet() -> None:
    tier = Tier(8)
    tier.side = {node: node % 2 for node in range(8)}
    tier.disks = {2: (OUT,)}
    for node in range(8):
        tier.start(node)
    tier.see()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.SPLIT}
    assert {core.quota.share for core in tier.nodes.values()} == {1 / 8}
    assert not tier.nodes[1].register.bans()
    tier.side = {}
    tier.see()
    tier.run(8_000)
    assert tier.paths() == {RecoveryPath.POWER} and all(
        core.register.is_banned("a") for core in tier.nodes.values()
    )


def test_a_call_is_told_once_it_is_on_the_disk() -> None:
    tier = settled(3)
    core = tier.nodes[0]
    (keep,) = core.handle(tier.now, BanRequested("a", True, tier.now, 7))
    assert isinstance(keep, PersistEntries) and keep.token == 7 and not core.register.bans()
    acts = core.handle(tier.now, WriteCompleted(7, True))
    (tell,) = [act for act in acts if isinstance(act, SendDatagram)]
    assert tell.node is None and ApplyBan("a", True, tier.now) in acts
    tier.event(1, DatagramReceived(0, tell.data))
    assert tier.of(1, ApplyBan)[-1].banned and tier.of(1, PersistEntries)[-1].token is None
    tier.run(400)
    assert core.stats()["counts"]["sent_rows"] == 2 and tier.nodes[2].register.is_banned("a")
    tier.event(2, BanRequested("a", False, tier.now, 1))
    tier.run(10)
    assert not any(node.register.bans() for node in tier.nodes.values())
    assert tier.of(0, ApplyBan)[-1] == ApplyBan("a", False, tier.now - 9)  # it took a millisecond


@pytest.mark.parametrize("out", [True, False])
def test_a_call_whose_sync_fails_leaves_nothing_behind(out: bool) -> None:
    tier = settled(3, entries=() if out else (OUT,))
    core = tier.nodes[0]
    before = core.register.bans()
    (keep,) = core.handle(tier.now, BanRequested("a", out, tier.now, 7))
    acts = core.handle(tier.now, WriteCompleted(7, False))
    assert core.register.bans() == before and not [act for act in acts if isinstance(act, ApplyBan)]
    assert isinstance(keep, PersistEntries)
    disk = register([*(() if out else (OUT,)), *keep.entries])  # it got there all the same
    disk.merge([row for act in acts if isinstance(act, PersistEntries) for row in act.entries])
    assert disk.bans().keys() == before.keys()


def test_ids_too_long_for_a_datagram_are_banned_here_alone() -> None:
    tier = settled(3)
    tier.event(0, BanRequested("x" * 97, True, tier.now, 1))
    tier.run(6_000)
    assert tier.nodes[0].register.bans() and not tier.nodes[1].register.bans()
    assert tier.nodes[0].stats()["counts"]["ids_not_shared"] == 1
    assert tier.nodes[0].register.hash == tier.nodes[1].register.hash


def test_a_peer_from_a_month_ago_changes_nothing_and_learns() -> None:
    tier = settled(5, entries=(OUT,))
    tier.event(0, BanRequested("a", False, tier.now, 1))
    tier.event(0, BanRequested("b", True, tier.now, 2))
    del tier.nodes[4]
    tier.run(1_000)
    old = tier.start(4, 2, entries=(OUT, BanEntry("b", 0, 1, 0, False, -math.inf)), age_ms=30 * 86_400_000.0)
    tier.run(300)
    assert {tuple(core.register.bans()) for core in tier.nodes.values()} == {("b",)}
    assert old.phase is Phase.FULL


def test_large_registers_agree_by_digests_under_loss_and_the_budget() -> None:
    tier = Tier(8, loss=0.1)
    for node in range(8):
        own = tuple(BanEntry(f"{node}-{i}", node, 1, i, bool(i % 3), 0.0) for i in range(20))
        tier.start(node, entries=own)
    tier.see()
    tier.run(20_000)
    assert {len(core.register) for core in tier.nodes.values()} == {160}
    for node, acts in tier.acts.items():
        sent = [at for at, act in acts if isinstance(act, SendDatagram)]
        worst = max(sum(at <= other < at + 1000 for other in sent) for at in sent)
        assert worst <= RecoveryConfig().burst + RecoveryConfig().datagrams_per_s, node


def test_the_trust_table_is_what_decides() -> None:
    def start(kind: StateKind, verdict: TrustLevel, **kept: Any) -> Tier:
        tier = Tier(3)
        tier.start(0, table={**TRUST_TABLE, kind: TrustRule(verdict)}, entries=(OUT,), **kept)
        tier.event(0, SavedListLoaded(("a", "b")))
        return tier

    early, late, never = (start(StateKind.BANS, verdict) for verdict in TrustLevel)
    assert early.of(0, ApplyBan) and not late.of(0, ApplyBan)
    for tier in (early, late, never):
        tier.run(1_100)
    assert late.of(0, ApplyBan) and not never.of(0, ApplyBan)
    tier = start(StateKind.LIFTED_BANS, TrustLevel.NEVER, sound=True)
    tier.event(0, DiskRead(True, False, entries=(OUT._replace(active=False),)))
    tier.run(1_100)
    assert tier.nodes[0].register.is_banned("a")
    tier = start(StateKind.LIST, TrustLevel.NEVER)
    tier.run(1_100)
    assert tier.of(0, RestrictSavedList) == [RestrictSavedList(frozenset("ab"))]
    assert (
        start(StateKind.INCARNATION, TrustLevel.NEVER, incarnation=9).nodes[0].register.counter.incarnation
        == 1
    )
    assert (
        start(StateKind.INCARNATION, TrustLevel.ALONE, incarnation=9).nodes[0].register.counter.incarnation
        == 9
    )
    assert start(StateKind.WARM_RATE, TrustLevel.NEVER, warm_rate=10.0).nodes[0].quota.tier_rate == 0
    assert start(StateKind.WARM_RATE, TrustLevel.ALONE, warm_rate=10.0).nodes[0].quota.tier_rate == 30
    for sound, fresh in ((False, False), (True, True)):
        tier = Tier(3)
        tier.start(0, entries=(OUT,), sound=sound, fresh_disk=fresh)
        tier.run(1_100)
        assert not tier.of(0, ApplyBan) and not any(tier.nodes[0].is_trusted(kind) for kind in StateKind)
    tier = Tier(3)
    tier.start(0, age_ms=2 * 3_600_000.0)
    tier.run(1_100)
    assert tier.nodes[0].is_trusted(StateKind.LIST) and not tier.nodes[0].is_trusted(StateKind.LEARNED)


def test_peers_only_restrict_a_saved_list_and_half_of_it_at_most() -> None:
    tier = returned(3, revision=4)
    tier.event(0, SavedListLoaded(("a", "b", "c", "d")))
    tier.event(1, SavedListLoaded(("a", "w", "x", "y")))
    tier.event(2, ListReceived(5, (0.0,), ("a", "b", "c", "new")))
    for node in (0, 1):
        tier.event(node, ShutdownStarted())  # as it serves on, it is told all the same
    tier.event(
        2,
        DatagramReceived(
            0, encode(Message(MessageKind.STATUS, 0, 0, tier.nodes[0].status(StatusFlag.REPLY)), tier.now)
        ),
    )
    tier.run(5_000)
    assert tier.of(0, RestrictSavedList) == [RestrictSavedList(frozenset("d"))] and not tier.of(
        1, RestrictSavedList
    )
    tier.event(0, ListReceived(4, (0.0,), ("a",)))
    assert tier.of(0, RestrictSavedList)[-1] == RestrictSavedList(frozenset())


def test_discovery_is_asked_in_turns() -> None:
    tier = returned(40, spread=0)
    tier.run(2_000)
    first = [next(at for at, act in acts if isinstance(act, RequestList)) for acts in tier.acts.values()]
    assert max(sum(at <= other < at + 1000 for other in first) for at in first) <= 41
    assert max(first) - min(first) <= 40 * 25 + 300


@pytest.mark.parametrize("took", [0.0, 2_000.0, 3_050.0])
@pytest.mark.parametrize("count", [10, 80, 200])
def test_a_failed_turn_keeps_its_place_however_long_the_call_took(count: int, took: float) -> None:
    """From one call to the next: what discovery has by then is due 6 s after it is back."""
    calls = list[float]()
    for me in range(count):
        turns = PollSchedule(me, 25.0)
        turns.schedule_first(0.0, range(count))
        own = list[float]()
        while (now := turns.next_poll_at) < 40_000.0:
            own.append(now)
            turns.poll_started(now, count)
            turns.poll_failed(now + took, count)
        steps = [b - a for a, b in itertools.pairwise(own)]
        assert 1_000.0 <= min(steps) <= max(steps) <= 5_000.0
        calls += own
    assert max(sum(at <= other < at + 1_000.0 for other in calls) for at in calls[:: count // 10]) <= 40


def test_a_successor_takes_the_phase_over_and_leaves_it_only_forward() -> None:
    tier = returned(3, entries=(OUT,))
    old = tier.nodes[0]
    heir = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    acts = heir.handle(
        tier.now, StateInherited(old.phase, old.path, old.cold_since, tuple(old.register.entries()))
    )
    assert (heir.phase, heir.path, heir.cold_since) == (Phase.LISTED, RecoveryPath.UPGRADE, old.cold_since)
    assert ApplyBan("a", True, OUT.changed_at) in acts and RequestList() in acts
    heir.handle(tier.now, DiskRead(True, False, entries=(OUT,)))
    heir.handle(tier.now, StateInherited(Phase.LISTED, old.path, old.cold_since))
    heir.handle(tier.now, ListReceived(5, (tier.now - 9_000,)))
    assert heir.phase is Phase.FULL
    asking = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    asking.handle(tier.now, StateInherited(Phase.ASK, RecoveryPath.UNDECIDED, 0.0))
    assert asking.phase is Phase.ASK


def test_strange_datagrams_are_counted_and_change_nothing() -> None:
    tier = settled(3)
    core = tier.nodes[0]
    good = encode(Message(MessageKind.ENTRIES, 1, 0, RegisterPage((OUT,))), tier.now)
    before = core.stats()
    for source, data in ((2, good), (1, good[:-1]), (1, changed(good, 5, 31)), (0, good), (7, good)):
        core.handle(tier.now, DatagramReceived(source, data))
    assert not core.register.entries()
    new = Counter(core.stats()["counts"]) - Counter(before["counts"])
    assert new == {"wrong_sender": 3, "unreadable": 1, "unknown_kinds": 1}


def test_the_same_events_bring_the_same_actions() -> None:
    one, two = (returned(9, loss=0.2, entries=(OUT,)) for _ in range(2))
    assert one.acts == two.acts


def test_another_tier_forgets_who_is_gone_but_no_bans() -> None:
    tier = returned(5, entries=(OUT,))
    core = tier.nodes[0]
    core.handle(tier.now, PeersChanged(3, frozenset({2})))
    core.handle(tier.now, MembershipChanged({0: 1, 1: 1}, True))
    assert core.stats()["heard"] == 1 and core.register.is_banned("a") and core.quota.share == 1 / 2


@given(st.lists(messages, max_size=9), st.integers(0, 3))
def test_no_datagrams_keep_a_node_from_full(what: list[Message], ahead: int) -> None:
    tier = Tier(4)
    core = tier.start(0)
    for message in what:
        sender = message.sender % 3 + 1
        data = encode(Message(message.kind, sender, message.hash, message.body), tier.now)
        tier.event(0, DatagramReceived(sender, data))
        tier.run(300 * ahead)
    tier.run(30_000)
    assert core.phase is Phase.FULL
    assert [e.phase for e in tier.of(0, PhaseEntered)] == sorted(e.phase for e in tier.of(0, PhaseEntered))


def test_the_share_follows_demand_and_no_peer_takes_all_of_it() -> None:
    tier = returned(4)
    for demand in (30.0, 30.0):
        for node in range(4):
            tier.event(node, DemandMeasured(demand if node else 9 * demand))
        tier.run(1_000)
    shares = [tier.nodes[node].quota.share for node in range(4)]
    assert shares == [pytest.approx(0.8 * 9 / 12 + 0.05), *[pytest.approx(0.8 / 12 + 0.05)] * 3]
    assert tier.of(0, CapacityGranted)[-1].share == pytest.approx(shares[0], rel=0.05)
    assert demand_weighted_share(1.0, [1e9]) == pytest.approx(0.26) and demand_weighted_share(
        0.0, [0.0, 0.0]
    ) == pytest.approx(1 / 3)
    assert (
        demand_weighted_share(math.inf, [2.0, math.inf]) == pytest.approx(1 / 3)
        and demand_weighted_share(5.0, []) == 1.0
    )


def test_a_node_whose_clock_is_off_goes_by_the_others() -> None:
    tier = returned(5)
    told = tier.now
    for node in range(5):
        tier.event(node, DemandMeasured(1.0))
    tier.run(400)
    for node, shift in enumerate((0.0, 0.0, 0.0, -600_000.0, 600_000.0)):
        tier.event(node, ListReceived(5, (told + shift,)))
        tier.event(node, DemandMeasured(1.0))
    for _ in range(9):
        tier.run(1_000)
        tier.event(4, ListReceived(5, (told + 600_000.0, told)))
        for node in range(5):
            tier.event(node, DemandMeasured(1.0))
    full = [
        next(at for at, act in tier.acts[node] if isinstance(act, PhaseEntered) and act.phase is Phase.FULL)
        for node in range(5)
    ]
    assert min(full) >= told + 7_900 and max(full) <= told + 9_500


def test_a_crash_waits_for_what_a_peer_is_known_to_know() -> None:
    tier = settled(6)
    tier.nodes[1].register.merge([OUT])
    tier.nodes[1].exchange.register_changed([OUT])
    core = tier.start(5, 2, fresh_disk=True)
    tier.run(1_000)
    (banned,) = [at for at, act in tier.acts[5] if isinstance(act, ApplyBan)]
    assert core.path is RecoveryPath.CRASH
    assert banned <= min(
        at for at, act in tier.acts[5] if isinstance(act, PhaseEntered) and act.phase > Phase.ASK
    )
